package placement

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// loadReportTTL is how long a load report is used. Requests last about half
	// a second, so an older report says nothing about the current ones.
	loadReportTTL = time.Second
	// latencyGain is the weight of one response in an upstream's mean latency.
	latencyGain = 1.0 / 12
	// recentResponsePeriod is how long after a response a refused connection is
	// attributed to load: an upstream with a long queue accepts fewer
	// connections.
	recentResponsePeriod = 500 * time.Millisecond
	// shedEjectAfter is how long an upstream must have refused all requests
	// before refusals count as failures. An upstream that still answers some is
	// overloaded, whatever it reports of its slots; ejecting it would overload
	// the next ones and make their objects cold.
	shedEjectAfter = 3 * time.Second
	// latencySamples is the number of responses before a mean latency is used.
	latencySamples = 8
)

// upstream is the picker's record of one upstream.
type upstream struct {
	announcement azurestair.Announcement
	seed         uint64

	// inFlight counts this entry's attempts, late slots included.
	inFlight  int
	lateUntil []time.Time

	// otherLoad is the load in the last report beyond this entry's own
	// attempts.
	otherLoad  float64
	reportedAt time.Time

	meanLatency   float64
	responseCount int
	// answeredAt is when the last complete response arrived.
	answeredAt time.Time
	// shedSince is when the upstream first refused a request since then; zero
	// if it has not.
	shedSince time.Time

	health health
	cold   coldLimiter
	// listedCold is the cold time of the last listing.
	listedCold listedColdTime

	// listed is true if the last snapshot lists the upstream.
	listed bool
	// leaving is true once the upstream has said so in a response. It stays
	// true, whatever later snapshots say, until a new incarnation replaces this
	// record.
	leaving bool
	// removed is true while the upstream is not in byRegion although the
	// snapshot lists it as usable.
	removed bool
	// pausedUntil is the time until which the upstream wants no requests.
	pausedUntil time.Time
}

// listedColdTime identifies the cold time of a listing. Later snapshots repeat it
// until another one is published.
type listedColdTime struct {
	sequence  azurestair.Sequence
	left      azurestair.Millis
	confirmed bool
}

// endTrial ends the trial of an upstream without an outcome if the attempt was
// the trial.
func (u *upstream) endTrial(c azurestair.Choice) {
	if c.Trial {
		u.health.trialInFlight = false
	}
}

// updateColdTime applies the cold time of a listing, which counts from the first
// snapshot that contains it. A listing that no announcement has confirmed comes from
// a new leader, which may not know how long the upstream is cold. It reports whether
// the upstream is cold for longer than was known.
func (u *upstream) updateColdTime(info azurestair.UpstreamInfo, now time.Time) bool {
	a := info.Announcement
	listed := listedColdTime{sequence: a.Sequence, left: a.ColdMs, confirmed: info.Confirmed}
	if a.Incarnation != u.announcement.Incarnation || listed == u.listedCold {
		return false
	}
	u.listedCold = listed
	end, before := a.ColdEnd(now), u.cold.until
	if info.Confirmed || end.After(before) {
		u.cold.until = end
	}
	return end.After(now) && end.Sub(before) > azurestair.ColdTolerance
}

// isPaused reports whether the upstream has asked for no requests.
func (u *upstream) isPaused(now time.Time) bool { return now.Before(u.pausedUntil) }

// load returns the fraction of the upstream's slots that is in use, queued
// requests included.
func (u *upstream) load(now time.Time) float64 {
	n := float64(u.inFlight)
	if age := now.Sub(u.reportedAt); age < loadReportTTL {
		n += u.otherLoad * (1 - float64(age)/float64(loadReportTTL))
	}
	return n / float64(u.announcement.Slots)
}

// setLoadReport records the load that the upstream reported.
func (u *upstream) setLoadReport(l azurestair.Load, now time.Time) {
	// The reported load, like inFlight, still includes the attempt that is
	// about to end.
	u.otherLoad = max(0, float64(l.InFlight+l.Queued)-float64(u.inFlight))
	u.reportedAt = now
}

// addLatency adds the latency of a response to the mean.
func (u *upstream) addLatency(d time.Duration) {
	v := float64(max(d, 0))
	if u.responseCount == 0 {
		u.meanLatency = v
	}
	u.responseCount++
	u.meanLatency += latencyGain * (v - u.meanLatency)
}

// releaseExpired releases the late slots whose time has passed.
func (u *upstream) releaseExpired(now time.Time) {
	n := 0
	for n < len(u.lateUntil) && !now.Before(u.lateUntil[n]) {
		n++
	}
	if n > 0 {
		u.lateUntil = slices.Delete(u.lateUntil, 0, n)
		u.inFlight -= n
	}
}

// recordShed records a refusal and reports whether the upstream has refused all
// requests for at least shedEjectAfter.
func (u *upstream) recordShed(now time.Time) bool {
	if u.shedSince.IsZero() {
		u.shedSince = now
	}
	return now.Sub(u.shedSince) >= shedEjectAfter
}
