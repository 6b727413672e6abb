package instance

import (
	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

// storeJob is a raft.Ready to be stored by the writer, or a request to record
// that this instance has joined the log.
type storeJob struct {
	ready  raft.Ready
	joined bool
}

// Store is a log store that also records whether its instance is still joining
// the log.
type Store interface {
	azurestair.LogStore
	joinRecorder
	// Joining reports whether the instance has not yet been admitted as a
	// learner.
	Joining() (bool, error)
}

type joinRecorder interface {
	// EndJoining records that the log lists the instance as a member.
	EndJoining() error
}

// logWriter stores log entries and snapshots in order. After each job it sends
// the messages that may be sent only once the job is stored.
type logWriter struct {
	store     azurestair.LogStore
	transport azurestair.Transport
	jobs      chan *storeJob
	post      func(event)
}

// run stores jobs until the channel is closed. After an error it stores nothing
// more, since a failed sync may have lost the data that it covered.
func (w *logWriter) run() {
	for job := range w.jobs {
		err := w.write(job)
		w.post(storeDoneEvent{job: job, err: err})
		if err != nil {
			break
		}
		for _, m := range job.ready.AfterStore {
			w.transport.Send(m)
		}
	}
	// Drop the jobs that follow an error.
	for range w.jobs {
	}
}

func (w *logWriter) write(job *storeJob) error {
	if s, ok := w.store.(joinRecorder); ok && job.joined {
		return s.EndJoining()
	}
	rd := job.ready
	if rd.HardState != nil {
		if err := w.store.Append(*rd.HardState, rd.Entries); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil {
		return w.store.SaveSnapshot(rd.Snapshot.Meta, rd.Snapshot.Data)
	}
	return nil
}

// imageEncoder encodes images of the state machine outside the control
// goroutine.
type imageEncoder struct {
	codec peer.Codec
	jobs  chan control.Image
	post  func(event)
}

// run encodes images until the channel is closed.
func (i *imageEncoder) run() {
	for image := range i.jobs {
		data, err := i.codec.Marshal(&image)
		i.post(imageEncodedEvent{index: image.Applied, data: data, err: err})
	}
}
