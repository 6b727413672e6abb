package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// contactRetention is how long an instance that is no longer listed stays in an
// address book. Instances that stop together are listed again only once they
// have found the leader, for which the book may be needed.
const contactRetention = 10 * time.Minute

// AddressBook remembers the addresses of the instances of a fleet beyond the
// snapshots that list them. A control instance stores it, so that a fleet whose
// instances have all stopped can find itself again, whatever instances the
// settings name by then. The book is only a hint where to look: it never
// decides who is a member of the log.
//
// There is one contact for an address, because an instance that lost its disk
// has another id at the same address. The zero value is an empty book.
type AddressBook struct {
	fleet   azurestair.FleetID
	entries map[string]addressBookEntry
	// list is the sorted content; nil while it has to be built.
	list     []azurestair.Contact
	observed *azurestair.Snapshot
}

type addressBookEntry struct {
	contact  azurestair.Contact
	listedAt time.Time
}

// NewAddressBook returns a book with the contacts of a stored list.
func NewAddressBook(l azurestair.ContactList, now time.Time) *AddressBook {
	b := &AddressBook{fleet: l.Fleet}
	for _, c := range l.Contacts {
		b.add(c, now)
	}
	return b
}

func (b *AddressBook) add(c azurestair.Contact, now time.Time) bool {
	if b.entries == nil {
		b.entries = map[string]addressBookEntry{}
	}
	old, known := b.entries[c.Addr]
	if !known && len(b.entries) >= azurestair.MaxContacts {
		return false
	}
	b.entries[c.Addr] = addressBookEntry{contact: c, listedAt: now}
	if known && old.contact == c {
		return false
	}
	b.list = nil
	return true
}

// Observe adds the instances of a snapshot and removes those that have not been
// listed for contactRetention. It reports whether the book has changed. A
// snapshot of another fleet changes nothing.
func (b *AddressBook) Observe(s *azurestair.Snapshot, now time.Time) bool {
	if s == nil || s == b.observed || b.fleet.Conflicts(s.Fleet) {
		return false
	}
	b.observed = s
	changed := b.fleet != s.Fleet && s.Fleet != ""
	b.fleet = cmp.Or(b.fleet, s.Fleet)
	for _, i := range s.Instances {
		if i.PeerAddr != "" && b.add(azurestair.Contact{ID: i.ID, Addr: i.PeerAddr, Control: i.Control}, now) {
			changed = true
		}
	}
	for addr, e := range b.entries {
		if now.Sub(e.listedAt) > contactRetention {
			delete(b.entries, addr)
			b.list, changed = nil, true
		}
	}
	return changed
}

// List returns the content of the book. The caller must not modify it.
func (b *AddressBook) List() azurestair.ContactList {
	if b.list == nil {
		b.list = make([]azurestair.Contact, 0, len(b.entries))
		for _, e := range b.entries {
			b.list = append(b.list, e.contact)
		}
		slices.SortFunc(b.list, func(a, c azurestair.Contact) int { return cmp.Compare(a.Addr, c.Addr) })
	}
	return azurestair.ContactList{Fleet: b.fleet, Contacts: b.list}
}

// offersPerEntry is how many control instances offer their snapshot to an entry
// after a start: one of them may be down.
const offersPerEntry = 2

// EntriesToNotify returns the entries to which the control instance at an
// address offers its snapshot. The control instances share the entries by
// rendezvous hashing.
func (b *AddressBook) EntriesToNotify(self string) []azurestair.Contact {
	var out []azurestair.Contact
	for _, e := range b.List().Contacts {
		if e.Control {
			continue
		}
		own, before := rendezvous(self, e.Addr), 0
		for _, c := range b.List().Contacts {
			if c.Control && c.Addr != self && rendezvous(c.Addr, e.Addr) > own {
				before++
			}
		}
		if before < offersPerEntry {
			out = append(out, e)
		}
	}
	return out
}

// rendezvous returns the weight of a control instance for an entry. FNV alone
// hardly mixes the last bytes, in which addresses differ.
func rendezvous(control, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(control + "/" + entry))
	v := h.Sum64()
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// Addr returns the address of an instance, or an empty string if it is unknown.
func (b *AddressBook) Addr(id azurestair.InstanceID) string {
	for _, c := range b.List().Contacts {
		if c.ID == id {
			return c.Addr
		}
	}
	return ""
}
