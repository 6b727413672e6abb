package instance

import (
	"errors"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

// storeRetryInterval is the interval at which a call to the store is repeated
// while the disk is full.
const storeRetryInterval = 250 * time.Millisecond

// storeJob is a raft.Ready to be stored by the writer, a request to record that
// this instance has joined the log, or one to repair the log.
type storeJob struct {
	ready  raft.Ready
	joined bool
	repair bool
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

// repairer is a Store whose disk may have been full when it was opened.
type repairer interface {
	// NeedsRepair reports whether the log that was read is not known to be
	// durable before Repair has succeeded.
	NeedsRepair() bool
	Repair() error
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
	// stop ends the repetition of a call while the disk is full.
	stop chan struct{}
}

func newLogWriter(store azurestair.LogStore, transport azurestair.Transport, post func(event)) *logWriter {
	return &logWriter{store: store, transport: transport, jobs: make(chan *storeJob, maxStoreJobs), post: post, stop: make(chan struct{})}
}

// run stores jobs until the channel is closed. A full disk makes it wait. After
// another error it stores nothing more, since a failed sync may have lost the
// data that it covered.
func (w *logWriter) run() {
	for job := range w.jobs {
		err := w.write(job)
		for errors.Is(err, azurestair.ErrNoSpace) && w.waitForSpace(err) {
			err = w.write(job)
		}
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

// waitForSpace reports the full disk and returns true when the call is to be
// repeated, or false if the writer is stopped.
func (w *logWriter) waitForSpace(err error) bool {
	w.post(storeFullEvent{err: err})
	t := time.NewTimer(storeRetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.stop:
		return false
	}
}

func (w *logWriter) write(job *storeJob) error {
	if s, ok := w.store.(repairer); ok && job.repair {
		return s.Repair()
	}
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
