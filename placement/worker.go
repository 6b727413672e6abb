package placement

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

const (
	// reportHold is how long a load report counts. Requests last about half a
	// second, so that an older report says nothing about the present ones.
	reportHold = time.Second
	// latencyGain is the weight of one answer in a worker's mean latency.
	latencyGain = 1.0 / 12
	// aliveFor is how long after an answer a refused connection is put down to
	// load: an upstream with a long queue takes fewer connections.
	aliveFor = 500 * time.Millisecond
	// shedsFor is how long a worker must have refused all requests for that to
	// count as failures. One that answers others is only loaded, whatever it says
	// of its slots: taking it out makes the next ones as loaded, and their objects
	// cold.
	shedsFor = 3 * time.Second
	// latencySamples is the number of answers before a mean latency counts.
	latencySamples = 8
)

// worker is one upstream as the picker sees it.
type worker struct {
	info azurestair.Announcement
	seed uint64

	// inFlight counts this entry's attempts, late ones included.
	inFlight  int
	lateUntil []time.Time

	// others is what a load report counted beyond this entry's own attempts.
	others     float64
	reportedAt time.Time

	latency float64
	answers int
	// answeredAt is when the last whole answer came.
	answeredAt time.Time
	// shedSince is when it first refused a request since; zero for none.
	shedSince time.Time

	health health
	cold   cold
}

// load returns the share of the worker's slots that is in use, queued work included.
func (w *worker) load(now time.Time) float64 {
	n := float64(w.inFlight)
	if age := now.Sub(w.reportedAt); age < reportHold {
		n += w.others * (1 - float64(age)/float64(reportHold))
	}
	return n / float64(w.info.Slots)
}

// report takes over what the worker says of its load.
func (w *worker) report(l azurestair.Load, now time.Time) {
	// The report was made before this attempt's end was counted.
	w.others = max(0, float64(l.InFlight+l.Queued)-float64(w.inFlight))
	w.reportedAt = now
}

// observe takes the latency of an answer into account.
func (w *worker) observe(d time.Duration) {
	v := float64(max(d, 0))
	if w.answers == 0 {
		w.latency = v
	}
	w.answers++
	w.latency += latencyGain * (v - w.latency)
}

// releaseDue ends the late slots whose bound has passed.
func (w *worker) releaseDue(now time.Time) {
	n := 0
	for n < len(w.lateUntil) && !now.Before(w.lateUntil[n]) {
		n++
	}
	if n > 0 {
		w.lateUntil = slices.Delete(w.lateUntil, 0, n)
		w.inFlight -= n
	}
}

// onlySheds takes account of a refusal and reports whether the worker has given
// nothing else for long.
func (w *worker) onlySheds(now time.Time) bool {
	if w.shedSince.IsZero() {
		w.shedSince = now
	}
	return now.Sub(w.shedSince) >= shedsFor
}
