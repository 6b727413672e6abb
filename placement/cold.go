package placement

import (
	"cmp"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// coldEntries is how many entries send to one cold worker. Few entries with
	// a larger part each waste less of it than many; two entries that disagree
	// on the list for a moment still stay below what a worker tolerates.
	coldEntries = 3
	// coldWindow is the span in which an entry sends its part. It is longer than
	// the second of the bound by the differences in delay on the way.
	coldWindow = 1150 * time.Millisecond
)

// cold limits what an entry sends to a worker that has just started.
type cold struct {
	until time.Time
	// part is how many requests this entry may send within coldWindow.
	part int
	sent []time.Time
}

func (c *cold) isCold(now time.Time) bool { return now.Before(c.until) }

// allows reports whether a request may be sent now.
func (c *cold) allows(now time.Time) bool {
	if !c.isCold(now) {
		return true
	}
	c.forget(now)
	return len(c.sent) < c.part
}

// note counts a request. It counts warm workers too: one may turn out to be
// cold just after requests were sent.
func (c *cold) note(now time.Time) {
	c.forget(now)
	c.sent = append(c.sent, now)
}

func (c *cold) forget(now time.Time) {
	n := 0
	for n < len(c.sent) && now.Sub(c.sent[n]) >= coldWindow {
		n++
	}
	c.sent = slices.Delete(c.sent, 0, n)
}

// coldPart returns how many requests within coldWindow this entry may send to
// a cold worker that tolerates perSecond from all entries.
func coldPart(w uint64, self azurestair.InstanceID, entries []azurestair.InstanceID, perSecond float64) int {
	if perSecond <= 0 {
		return int(azurestair.MaxSlots)
	}
	type ranked struct {
		id  azurestair.InstanceID
		sum uint64
	}
	list := make([]ranked, len(entries))
	for i, id := range entries {
		list[i] = ranked{id: id, sum: mix(w, hashOf(string(id)))}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.sum, a.sum) })
	n := min(coldEntries, len(list))
	for _, r := range list[:n] {
		if r.id == self {
			return max(1, int(perSecond)/n)
		}
	}
	return 0
}
