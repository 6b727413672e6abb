package instance

import (
	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

// storeJob is one Ready whose storing has been handed to the writer, or the
// end of this instance's joining.
type storeJob struct {
	ready  raft.Ready
	joined bool
}

// Store is a log store that remembers that its instance is joining the log.
type Store interface {
	azurestair.LogStore
	joiner
	// Joining reports whether the instance has not yet been admitted as a learner.
	Joining() (bool, error)
}

type joiner interface {
	// EndJoining records that the log lists the instance.
	EndJoining() error
}

// logWriter stores what the log has to store, in order, and then sends the
// messages that promise it.
type logWriter struct {
	store     azurestair.LogStore
	transport azurestair.Transport
	jobs      chan *storeJob
	post      func(event)
}

// run stores jobs until the channel is closed. After an error it stores
// nothing more, since a failed sync may have lost what it covered.
func (w *logWriter) run() {
	for job := range w.jobs {
		err := w.storeOne(job)
		w.post(storedEvent{job: job, err: err})
		if err != nil {
			break
		}
		for _, m := range job.ready.AfterStore {
			w.transport.Send(m)
		}
	}
	// Jobs that come after an error are dropped.
	for range w.jobs {
	}
}

func (w *logWriter) storeOne(job *storeJob) error {
	if s, ok := w.store.(joiner); ok && job.joined {
		return s.EndJoining()
	}
	rd := job.ready
	if rd.Hard != nil {
		if err := w.store.Append(*rd.Hard, rd.Entries); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil {
		return w.store.SaveSnapshot(rd.Snapshot.Meta, rd.Snapshot.Data)
	}
	return nil
}

// imager encodes images of the state machine away from the control goroutine.
type imager struct {
	codec peer.Codec
	jobs  chan control.Image
	post  func(event)
}

// run encodes images until the channel is closed.
func (i *imager) run() {
	for image := range i.jobs {
		data, err := i.codec.Marshal(&image)
		i.post(imageEvent{index: image.Applied, data: data, err: err})
	}
}
