package instance

import (
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/settings"
)

const (
	// maxOffers and offerInterval spread the offers of a stored snapshot over
	// the time in which instances that lost power together start.
	maxOffers     = 4
	offerInterval = 150 * time.Millisecond
)

// contactBook is the address book of a control instance and its leader's
// introductions. Only the control goroutine uses it.
type contactBook struct {
	self       string
	book       control.AddressBook
	introducer control.Introducer
	seeds      []peer.Address
	// offersLeft and nextOfferAt control the offers of a stored snapshot to
	// entries after a start.
	offersLeft  int
	nextOfferAt time.Time
	// writer stores the book; it is nil in tests.
	writer *hintWriter[azurestair.ContactList]
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

// dueOffers returns the entries to which a snapshot must be offered now.
func (b *contactBook) dueOffers(now time.Time) []azurestair.Contact {
	if b.offersLeft == 0 || now.Before(b.nextOfferAt) {
		return nil
	}
	b.offersLeft--
	b.nextOfferAt = now.Add(offerInterval)
	return b.book.EntriesToNotify(b.self)
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

// otherVoters returns the configured voters without this instance.
func otherVoters(s settings.Settings) []peer.Address {
	var out []peer.Address
	for _, a := range addresses(s) {
		if a.ID != s.Instance.ID {
			out = append(out, a)
		}
	}
	return out
}
