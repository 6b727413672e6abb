package control

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// minIntroductionInterval and maxIntroductionInterval bound the interval
	// between introductions to an instance that does not report. It doubles
	// with each introduction.
	minIntroductionInterval = 100 * time.Millisecond
	maxIntroductionInterval = 2 * time.Second
	// introductionSilence is how long an instance must not have reported before
	// the leader introduces itself again. It is the lease of an instance in the
	// registry.
	introductionSilence = InstanceLease
	// noticePause is how long an instance that has been notified has to report.
	noticePause = 500 * time.Millisecond
	// maxIntroductions bounds the introductions of one step, so that the calls
	// to instances that do not answer remain few.
	maxIntroductions = 32
)

// Introducer decides to which instances a leader introduces itself. Instances
// that have just started know only the control instances of their settings, and
// these may not know the leader either. The zero value knows no instances.
type Introducer struct {
	// introductions are keyed by address, because an instance that lost its
	// disk has another id at the same address.
	introductions map[string]*introduction
	// nextAt is a lower bound of the next time at which one is due.
	nextAt time.Time
}

type introduction struct {
	contact  azurestair.Contact
	heardAt  time.Time
	dueAt    time.Time
	interval time.Duration
}

// SetContacts replaces the known instances. New ones are due at once.
func (i *Introducer) SetContacts(contacts []azurestair.Contact, now time.Time) {
	next := make(map[string]*introduction, len(contacts))
	for _, c := range contacts {
		known := i.introductions[c.Addr]
		if known == nil {
			known = &introduction{dueAt: now}
		}
		known.contact = c
		next[c.Addr] = known
	}
	i.introductions, i.nextAt = next, now
}

// MarkHeard records that the instance at an address has reported to this
// leader.
func (i *Introducer) MarkHeard(addr string, now time.Time) {
	if known := i.introductions[addr]; known != nil {
		known.heardAt, known.interval = now, 0
		known.dueAt = now.Add(introductionSilence)
	}
}

// MarkNotified records that the instance at an address is being notified of this
// leader by other means.
func (i *Introducer) MarkNotified(addr string, now time.Time) {
	if known := i.introductions[addr]; known != nil {
		known.dueAt = now.Add(noticePause)
	}
}

// Due returns the instances to which the leader must introduce itself now,
// control instances first, because these pass the leader on to others.
func (i *Introducer) Due(now time.Time) []azurestair.Contact {
	if len(i.introductions) == 0 || now.Before(i.nextAt) {
		return nil
	}
	var due []*introduction
	for _, n := range i.introductions {
		if !now.Before(n.dueAt) {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, compareIntroductions)
	var out []azurestair.Contact
	for _, n := range due[:min(len(due), maxIntroductions)] {
		n.interval = min(max(2*n.interval, minIntroductionInterval), maxIntroductionInterval)
		n.dueAt = now.Add(n.interval)
		out = append(out, n.contact)
	}
	i.nextAt = now.Add(maxIntroductionInterval)
	for _, n := range i.introductions {
		if n.dueAt.Before(i.nextAt) {
			i.nextAt = n.dueAt
		}
	}
	return out
}

func compareIntroductions(a, b *introduction) int {
	if a.contact.Control != b.contact.Control {
		if a.contact.Control {
			return -1
		}
		return 1
	}
	return cmp.Or(a.dueAt.Compare(b.dueAt), cmp.Compare(a.contact.Addr, b.contact.Addr))
}

// NextDeadline returns when Due must be called, or zero if it need not be.
func (i *Introducer) NextDeadline() time.Time {
	if len(i.introductions) == 0 {
		return time.Time{}
	}
	return i.nextAt
}
