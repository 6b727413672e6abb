package placement

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// coldSenders is how many entries send to one cold upstream. A few entries
	// with larger quotas waste less of its capacity than many entries with
	// small ones. If two entries briefly disagree on the list of entries, the
	// total still stays below what an upstream tolerates.
	coldSenders = 3
	// coldWindow is the interval to which an entry's quota applies. It is
	// longer than the one second of the configured limit, to allow for
	// differences in network delay.
	coldWindow = 1150 * time.Millisecond
)

// coldLimiter limits the requests that this entry sends to an upstream that has
// just started.
type coldLimiter struct {
	until time.Time
	// quota is how many requests this entry may send within coldWindow.
	quota int
	sent  []time.Time
}

func (c *coldLimiter) isCold(now time.Time) bool { return now.Before(c.until) }

// allows reports whether a request may be sent now.
func (c *coldLimiter) allows(now time.Time) bool {
	if !c.isCold(now) {
		return true
	}
	c.dropExpired(now)
	return len(c.sent) < c.quota
}

// recordSent counts a request. It also counts requests to warm upstreams,
// because the news that an upstream is cold may arrive just after they were
// sent.
func (c *coldLimiter) recordSent(now time.Time) {
	c.dropExpired(now)
	c.sent = append(c.sent, now)
}

func (c *coldLimiter) dropExpired(now time.Time) {
	n := 0
	for n < len(c.sent) && now.Sub(c.sent[n]) >= coldWindow {
		n++
	}
	c.sent = slices.Delete(c.sent, 0, n)
}

// coldQuota returns how many requests within coldWindow the entry self may send
// to a cold upstream that tolerates perSecond from all entries. The entries,
// given by the hashes of their ids, are ranked by rendezvous hashing; those
// beyond the first coldSenders may send none.
func coldQuota(upstreamSeed, self uint64, entries []uint64, perSecond float64) int {
	if perSecond <= 0 {
		return int(azurestair.MaxSlots)
	}
	own, before, listed := combineHashes(upstreamSeed, self), 0, false
	for _, e := range entries {
		if combineHashes(upstreamSeed, e) > own {
			before++
		}
		listed = listed || e == self
	}
	n := min(coldSenders, len(entries))
	if !listed || before >= n {
		return 0
	}
	return max(1, int(perSecond)/n)
}
