package instance

import (
	"fmt"
	"log/slog"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/disk"
	"azurestair.example/azurestair/peer"
)

// hintStore stores one hint of a control instance.
type hintStore interface {
	Load() ([]byte, error)
	Save(payload []byte) error
}

var _ hintStore = disk.HintFile{}

// hintWriter encodes and stores hints outside the control goroutine. A hint that
// cannot be stored is lost; the next one replaces it.
type hintWriter[T any] struct {
	name   string
	store  hintStore
	encode func(T) ([]byte, error)
	log    *slog.Logger
	// interval is the minimum time between two writes.
	interval time.Duration
	// jobs holds the latest hint that run has not received yet.
	jobs chan T
	stop chan struct{}
}

func newHintWriter[T any](name string, store hintStore, encode func(T) ([]byte, error), interval time.Duration, log *slog.Logger) *hintWriter[T] {
	return &hintWriter[T]{name: name, store: store, encode: encode, log: log, interval: interval, jobs: make(chan T, 1), stop: make(chan struct{})}
}

// save queues a hint in place of a queued one. It does not block.
func (w *hintWriter[T]) save(hint T) {
	select {
	case <-w.jobs:
	default:
	}
	select {
	case w.jobs <- hint:
	default:
	}
}

// close makes run store the queued hint and end. No hint may be queued later.
func (w *hintWriter[T]) close() {
	close(w.stop)
	close(w.jobs)
}

// run stores hints until close is called.
func (w *hintWriter[T]) run() {
	for hint := range w.jobs {
		data, err := w.encode(hint)
		if err == nil {
			err = w.store.Save(data)
		}
		if err != nil {
			w.log.Warn("hint not stored", "hint", w.name, "err", err)
		}
		t := time.NewTimer(w.interval)
		select {
		case <-t.C:
		case <-w.stop:
			t.Stop()
		}
	}
}

const (
	// contactsInterval and snapshotInterval are the minimum times between two
	// writes of the contacts and of the snapshot.
	contactsInterval = 250 * time.Millisecond
	snapshotInterval = time.Second
)

// loadContacts returns the stored contacts. They are only hints, so that an
// instance without readable ones starts with none, as it does with those of
// another fleet.
func loadContacts(store hintStore, fleet azurestair.FleetID, log *slog.Logger) azurestair.ContactList {
	var l azurestair.ContactList
	data, err := store.Load()
	if err == nil && data != nil {
		err = peer.Codec{}.Unmarshal(data, &l)
	}
	if err == nil && fleet.Conflicts(l.Fleet) {
		err = fmt.Errorf("%w: %s", azurestair.ErrOtherFleet, l.Fleet)
	}
	if err != nil {
		log.Warn("hint not used", "hint", "contacts", "err", err)
		return azurestair.ContactList{}
	}
	return l
}

// loadSnapshot returns the stored snapshot, or nil if there is none that can be
// used: one of the same fleet, with a configuration for which nothing is leased.
func loadSnapshot(store hintStore, fleet azurestair.FleetID, log *slog.Logger) *azurestair.Snapshot {
	data, err := store.Load()
	if err == nil && data == nil {
		return nil
	}
	var s *azurestair.Snapshot
	if err == nil {
		s, err = peer.DecodeSnapshot(data)
	}
	if err == nil && fleet.Conflicts(s.Fleet) {
		err = fmt.Errorf("%w: %s", azurestair.ErrOtherFleet, s.Fleet)
	}
	if err != nil {
		log.Warn("hint not used", "hint", "snapshot", "err", err)
		return nil
	}
	if !isProvisionallyUsable(s) {
		return nil
	}
	return s
}

// isProvisionallyUsable reports whether an instance may use a snapshot that no
// leader has confirmed in this run. Budgets must be leased by a leader.
func isProvisionallyUsable(s *azurestair.Snapshot) bool {
	return s.ConfigVersion() > 0 && !s.Config.LeasesBudgets()
}
