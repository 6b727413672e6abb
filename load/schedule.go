package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Rate is a number of arrivals a second.
type Rate float64

// maxArrivals bounds the arrivals of one schedule.
const maxArrivals = 200_000

// Schedule fixes when requests are due: at even distances from the start.
type Schedule struct {
	Rate     Rate
	Duration time.Duration
}

// Count returns the number of arrivals.
func (s Schedule) Count() int {
	return min(maxArrivals, int(float64(s.Rate)*s.Duration.Seconds()))
}

// Due returns when arrival i is due after the start.
func (s Schedule) Due(i int) time.Duration {
	return time.Duration(float64(i) / float64(s.Rate) * float64(time.Second))
}

// Verdict says what became of a request.
type Verdict uint8

const (
	// Answered means a whole answer in time.
	Answered Verdict = iota
	// Refused means an honest refusal.
	Refused
	// Failed means anything else: an unknown outcome, an error, or an answer too late.
	Failed
	numVerdicts
)

// Sender sends request i.
type Sender interface {
	Send(ctx context.Context, i int) Verdict
}

// SenderFunc adapts a function to Sender.
type SenderFunc func(ctx context.Context, i int) Verdict

// Send calls f.
func (f SenderFunc) Send(ctx context.Context, i int) Verdict { return f(ctx, i) }

// Bounds of the recorded latency in microseconds.
const (
	minLatency   = 1
	maxLatency   = 60_000_000
	latencyScale = 3
)

// Sample is what a schedule brought. It is safe for concurrent use.
type Sample struct {
	mu       sync.Mutex
	verdicts [numVerdicts]int
	skipped  int
	// inWindow counts the answers that came before the schedule ended, and window is its length.
	inWindow int
	window   time.Duration
	latency  *hdrhistogram.Histogram
}

// NewSample returns an empty sample.
func NewSample() *Sample {
	return &Sample{latency: hdrhistogram.New(minLatency, maxLatency, latencyScale)}
}

// add records a request that ended the given time after it was due.
func (s *Sample) add(v Verdict, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts[v]++
	if v == Answered {
		_ = s.latency.RecordValue(min(maxLatency, max(minLatency, latency.Microseconds())))
	}
}

func (s *Sample) skip() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped++
}

// Count returns the number of requests with the verdict.
func (s *Sample) Count(v Verdict) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts[v]
}

// Skipped returns how many arrivals were not sent because too many were open.
func (s *Sample) Skipped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.skipped
}

// Share returns the share of the sent requests with the verdict.
func (s *Sample) Share(v Verdict) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.verdicts {
		total += n
	}
	return float64(s.verdicts[v]) / float64(max(1, total))
}

// Throughput returns the requests answered in a second while the schedule
// lasted. Answers that came from a queue after its end do not count.
func (s *Sample) Throughput() Rate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Rate(float64(s.inWindow) / max(s.window.Seconds(), 1e-9))
}

// answerInWindow counts an answer that came while the schedule lasted.
func (s *Sample) answerInWindow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inWindow++
}

// Quantile returns a quantile of the latency of the requests done; q is in percent.
func (s *Sample) Quantile(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// maxOpen bounds the requests of one schedule that are open at once. An
// arrival beyond it is counted as skipped, never sent later.
const maxOpen = 4096

// Run sends the arrivals of the schedule at their due times and waits for them.
func (s Schedule) Run(ctx context.Context, to Sender, into *Sample) {
	var wg sync.WaitGroup
	open := make(chan struct{}, maxOpen)
	start := time.Now()
	into.mu.Lock()
	into.window = s.Duration
	into.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range s.Count() {
		due := start.Add(s.Due(i))
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		select {
		case open <- struct{}{}:
		default:
			into.skip()
			continue
		}
		a := arrival{to: to, index: i, due: due, end: start.Add(s.Duration), into: into, open: open}
		wg.Go(func() { a.run(ctx) })
	}
	wg.Wait()
}

// arrival is one request of a schedule.
type arrival struct {
	to    Sender
	index int
	due   time.Time
	end   time.Time
	into  *Sample
	open  <-chan struct{}
}

func (a arrival) run(ctx context.Context) {
	v := a.to.Send(ctx, a.index)
	now := time.Now()
	a.into.add(v, now.Sub(a.due))
	if v == Answered && now.Before(a.end) {
		a.into.answerInWindow()
	}
	<-a.open
}
