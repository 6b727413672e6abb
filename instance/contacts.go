package instance

import (
	"log/slog"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/disk"
	"azurestair.example/azurestair/peer"
)

// contactBook is the address book of a control instance and its leader's
// introductions. Only the control goroutine uses it.
type contactBook struct {
	self       string
	book       control.AddressBook
	introducer control.Introducer
	seeds      []peer.Address
	// writer stores the book; it is nil in tests.
	writer *contactWriter
}

// observe updates the book from the snapshot that this instance holds.
func (b *contactBook) observe(s *azurestair.Snapshot, now time.Time) {
	if !b.book.Observe(s, now) {
		return
	}
	b.introducer.SetContacts(b.contacts(), now)
	if b.writer != nil {
		b.writer.save(b.book.List())
	}
}

// startTerm makes all known instances due for an introduction to a new leader,
// except those that are notified because the leader's first snapshot lists
// them.
func (b *contactBook) startTerm(listed []azurestair.InstanceInfo, now time.Time) {
	b.introducer = control.Introducer{}
	b.introducer.SetContacts(b.contacts(), now)
	for _, i := range listed {
		b.introducer.MarkNotified(i.PeerAddr, now)
	}
}

// contacts lists the instances of the book and the seeds, except this one.
func (b *contactBook) contacts() []azurestair.Contact {
	known := map[string]bool{b.self: true}
	var out []azurestair.Contact
	add := func(c azurestair.Contact) {
		if !known[c.Addr] {
			known[c.Addr] = true
			out = append(out, c)
		}
	}
	for _, c := range b.book.List().Contacts {
		add(c)
	}
	for _, s := range b.seeds {
		add(azurestair.Contact{ID: s.ID, Addr: s.Addr, Control: true})
	}
	return out
}

// controlAddresses lists the control instances in a list of contacts.
func controlAddresses(contacts []azurestair.Contact) []peer.Address {
	var out []peer.Address
	for _, c := range contacts {
		if c.Control {
			out = append(out, peer.Address{ID: c.ID, Addr: c.Addr})
		}
	}
	return out
}

// contactStore stores the contacts of a control instance.
type contactStore interface {
	Load() (azurestair.ContactList, error)
	Save(l azurestair.ContactList) error
}

var _ contactStore = disk.ContactFile{}

// contactWriter stores address books outside the control goroutine.
type contactWriter struct {
	store contactStore
	log   *slog.Logger
	// jobs holds the latest list that run has not received yet.
	jobs chan azurestair.ContactList
}

func newContactWriter(store contactStore, log *slog.Logger) *contactWriter {
	return &contactWriter{store: store, log: log, jobs: make(chan azurestair.ContactList, 1)}
}

// save queues a list in place of a queued one. It does not block.
func (w *contactWriter) save(l azurestair.ContactList) {
	select {
	case <-w.jobs:
	default:
	}
	select {
	case w.jobs <- l:
	default:
	}
}

// run stores lists until the channel is closed. A list that cannot be stored is
// lost; the next one replaces it.
func (w *contactWriter) run() {
	for l := range w.jobs {
		if err := w.store.Save(l); err != nil {
			w.log.Warn("contacts not stored", "contacts", len(l.Contacts), "err", err)
		}
	}
}

// loadContacts returns the stored contacts. They are only hints, so that an
// instance without readable ones starts with none, as it does with those of
// another fleet.
func loadContacts(store contactStore, fleet azurestair.FleetID, log *slog.Logger) azurestair.ContactList {
	l, err := store.Load()
	if err != nil {
		log.Warn("stored contacts not used", "err", err)
		return azurestair.ContactList{}
	}
	if fleet.Conflicts(l.Fleet) {
		log.Warn("stored contacts not used", "theirFleet", l.Fleet, "fleet", fleet)
		return azurestair.ContactList{}
	}
	return l
}
