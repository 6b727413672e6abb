package admission

import (
	"maps"
	"time"

	"azurestair.example/azurestair"
)

const (
	// maxLinkUtilization is the fraction of the instance's own link that
	// requests may use. The estimate of request sizes is on the high side,
	// which leaves capacity for lookups and control messages. With 0.85, a
	// tenth of a day's requests were refused on links that were not full.
	maxLinkUtilization = 1.0
	// messageOverhead is the number of bytes that a request and its response
	// use in addition to their bodies: the headers in both directions and the
	// packet headers, about 1 KB in both deployments.
	messageOverhead azurestair.Bytes = 1200
	// sizeSmoothing is the weight of one request in the moving average of the
	// size of its operation.
	sizeSmoothing = 1.0 / 16
	// defaultMessageSize is the expected size of an operation before its first
	// response.
	defaultMessageSize azurestair.Bytes = 6 << 10
)

// maxBacklog is the backlog, as transmission time on the link, up to which
// requests of each rank are admitted. Urgent requests are still admitted when
// other ranks are refused.
var maxBacklog = [azurestair.NumRanks]time.Duration{
	azurestair.RankDeferred:    300 * time.Millisecond,
	azurestair.RankInteractive: 600 * time.Millisecond,
	azurestair.RankUrgent:      1200 * time.Millisecond,
}

// LinkLimiter limits requests by the bandwidth of the instance's own link,
// using the expected sizes of their bodies and responses. The backlog drains at
// the rate of the link. A request adds its expected size when it is admitted,
// because its response follows within about a second in any case. The zero
// value has no limit and admits everything.
type LinkLimiter struct {
	// Rate is the bandwidth of the link in each direction.
	Rate azurestair.BytesPerSecond

	backlog   float64
	updatedAt time.Time
	sizes     map[azurestair.OperationName]float64
}

// Admit reports whether a request may be served. If so, it adds the request's
// expected size to the backlog.
func (l *LinkLimiter) Admit(op azurestair.OperationName, r azurestair.Rank, now time.Time) bool {
	if l.Rate <= 0 || r.Validate() != nil {
		return true
	}
	rate := maxLinkUtilization * float64(l.Rate)
	if elapsed := now.Sub(l.updatedAt).Seconds(); elapsed > 0 {
		l.backlog = max(0, l.backlog-elapsed*rate)
		l.updatedAt = now
	}
	if l.backlog > maxBacklog[r].Seconds()*rate {
		return false
	}
	l.backlog += l.expectedSize(op)
	return true
}

func (l *LinkLimiter) expectedSize(op azurestair.OperationName) float64 {
	if size, ok := l.sizes[op]; ok {
		return size
	}
	return float64(defaultMessageSize)
}

// Retain forgets the expected sizes of the operations for which keep returns false.
func (l *LinkLimiter) Retain(keep func(azurestair.OperationName) bool) {
	maps.DeleteFunc(l.sizes, func(o azurestair.OperationName, _ float64) bool { return !keep(o) })
}

// Observe updates the expected size of the operation with the bytes that a
// request's body and its response took. One response at most doubles it, so that
// no single one closes the link to all others.
func (l *LinkLimiter) Observe(op azurestair.OperationName, body azurestair.Bytes) {
	if l.Rate <= 0 {
		return
	}
	if l.sizes == nil {
		l.sizes = map[azurestair.OperationName]float64{}
	}
	old := l.expectedSize(op)
	size := min(float64(max(body, 0))+float64(messageOverhead), old+old/sizeSmoothing)
	l.sizes[op] = old + sizeSmoothing*(size-old)
}
