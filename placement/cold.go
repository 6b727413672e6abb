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
// just started, or that may have.
type coldLimiter struct {
	until time.Time
	// quota is how many requests this entry may send within coldWindow.
	quota int
	sent  []time.Time

	// failedConns is the number of connections that have failed since the last
	// response, and firstFailedAt the time of the first of them.
	failedConns   int
	firstFailedAt time.Time
	// suspectedSince is the time of the first failure that led to the suspicion
	// of a restart; zero if there is none. Only a connection that was open before
	// it is known to lead to the earlier process.
	suspectedSince time.Time
	// suspectedUntil is the time until which the upstream is cold if it started
	// just before its first response since then; zero if there was none.
	suspectedUntil time.Time
	// evenQuota is this entry's part of what a cold upstream tolerates if all
	// entries send to it; zero if upstreams are not cold after a start. Entries
	// that do not know of a restart do not agree on a few senders.
	evenQuota int
}

func (c *coldLimiter) isCold(now time.Time) bool { return now.Before(c.until) }

// minFailedConns is the number of connections that fail in a row before a restart
// is suspected of an upstream that has just responded. Upstreams lose single
// connections without having crashed, and a suspicion costs them requests. An
// entry with one request in progress does not notice a crash that is over before
// its next request.
const minFailedConns = 2

// recordFailedConn records that a connection was lost or could not be opened. The
// process that responds next may be another one, and the entry may learn of it
// much later. silent is true if the upstream has not responded for a while either.
func (c *coldLimiter) recordFailedConn(silent bool, now time.Time) {
	suspected := c.isSuspected(now)
	if c.failedConns++; c.failedConns == 1 {
		c.firstFailedAt = now
	}
	if !suspected {
		if c.failedConns < minFailedConns && !silent {
			return
		}
		c.suspectedSince = c.firstFailedAt
	}
	c.suspectedUntil = time.Time{}
}

// recordResponse records a response on a connection that was opened at the given
// time, from an upstream that is cold for coldTime after it has started.
func (c *coldLimiter) recordResponse(connectedAt time.Time, coldTime time.Duration, now time.Time) {
	c.failedConns = 0
	switch {
	case c.suspectedSince.IsZero():
	case connectedAt.Before(c.suspectedSince):
		c.suspectedSince, c.suspectedUntil = time.Time{}, time.Time{}
	case c.suspectedUntil.IsZero():
		c.suspectedUntil = now.Add(coldTime)
	}
}

// isSuspected reports whether the upstream may be a cold process that the entry
// does not know of.
func (c *coldLimiter) isSuspected(now time.Time) bool {
	return c.evenQuota > 0 && !c.suspectedSince.IsZero() && (c.suspectedUntil.IsZero() || now.Before(c.suspectedUntil))
}

// allows reports whether a request may be sent now.
func (c *coldLimiter) allows(now time.Time) bool {
	limit := c.quota
	switch {
	case c.isCold(now):
	case c.isSuspected(now):
		limit = c.evenQuota
	default:
		return true
	}
	c.dropExpired(now)
	return len(c.sent) < limit
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

// evenColdQuota returns how many requests within coldWindow the entry self may
// send to an upstream of the service that may have just started, or zero if there
// is no limit. entries are all entries; a list without self is incomplete.
func evenColdQuota(self uint64, entries []uint64, s azurestair.Service) int {
	switch {
	case s.ColdPerSecond <= 0 || s.ColdMs <= 0:
		return 0
	case !slices.Contains(entries, self):
		return 1
	default:
		return max(1, int(s.ColdPerSecond)/len(entries))
	}
}
