package admission

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// linkShare is the part of an instance's own link that requests may use. The
	// estimate of their sizes is on the high side, which leaves room for look-ups
	// and control messages; with 0.85 a tenth of a day's requests was refused on
	// links that were not full.
	linkShare = 1.0
	// messageBytes is what a request and its answer cost beyond their bodies:
	// two heads each way and the packets round them, about 1 KB in both deployments.
	messageBytes azurestair.Bytes = 1200
	// sizeGain is the weight of one request in the expected size of its kind.
	sizeGain = 1.0 / 16
	// firstSize is the expected size before the first answer.
	firstSize azurestair.Bytes = 6 << 10
)

// backlogOf is the backlog, in time on the link, up to which work of a rank is
// admitted. Urgent work is admitted when other work is refused already.
var backlogOf = [azurestair.NumRanks]time.Duration{
	azurestair.RankDeferred:    300 * time.Millisecond,
	azurestair.RankInteractive: 600 * time.Millisecond,
	azurestair.RankUrgent:      1200 * time.Millisecond,
}

// Link admits requests by what their bodies and answers take of the instance's
// own link. The backlog drains at the rate of the link; a request adds its
// expected size when it is admitted, because its answer follows within about a
// second whatever happens. The zero value has no limit and admits everything.
type Link struct {
	// Rate is the bandwidth of the link in each direction.
	Rate azurestair.BytesPerSecond

	backlog float64
	at      time.Time
	sizes   map[azurestair.OperationName]float64
}

// Admit reports whether a request may be served, and counts it if so.
func (l *Link) Admit(op azurestair.OperationName, r azurestair.Rank, now time.Time) bool {
	if l.Rate <= 0 || r.Validate() != nil {
		return true
	}
	rate := linkShare * float64(l.Rate)
	if elapsed := now.Sub(l.at).Seconds(); elapsed > 0 {
		l.backlog = max(0, l.backlog-elapsed*rate)
		l.at = now
	}
	if l.backlog > backlogOf[r].Seconds()*rate {
		return false
	}
	l.backlog += l.expected(op)
	return true
}

func (l *Link) expected(op azurestair.OperationName) float64 {
	if size, ok := l.sizes[op]; ok {
		return size
	}
	return float64(firstSize)
}

// Observe takes the size of a request's body and its answer into account.
func (l *Link) Observe(op azurestair.OperationName, body azurestair.Bytes) {
	if l.Rate <= 0 {
		return
	}
	if l.sizes == nil {
		l.sizes = map[azurestair.OperationName]float64{}
	}
	old := l.expected(op)
	l.sizes[op] = old + sizeGain*(float64(max(body, 0)+messageBytes)-old)
}
