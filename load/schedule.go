package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Rate is a number of requests per second.
type Rate float64

// maxArrivals limits the number of arrivals in one schedule.
const maxArrivals = 200_000

// Schedule is an open-loop schedule of requests at a constant rate.
type Schedule struct {
	Rate     Rate
	Duration time.Duration
}

// Count returns the number of arrivals.
func (s Schedule) Count() int {
	return min(maxArrivals, int(float64(s.Rate)*s.Duration.Seconds()))
}

// Due returns the due time of arrival i, relative to the start.
func (s Schedule) Due(i int) time.Duration {
	return time.Duration(float64(i) / float64(s.Rate) * float64(time.Second))
}

// Result is the result of a request.
type Result uint8

const (
	// Answered means that a complete response arrived in time.
	Answered Result = iota
	// Refused means that the request was refused without running.
	Refused
	// Failed means an unknown outcome, an error or a late response.
	Failed
	numResults
)

// Sender sends the requests of a schedule.
type Sender interface {
	Send(ctx context.Context, i int) Result
}

// SenderFunc adapts a function to Sender.
type SenderFunc func(ctx context.Context, i int) Result

// Send calls f.
func (f SenderFunc) Send(ctx context.Context, i int) Result { return f(ctx, i) }

// Range of the recorded latency in microseconds and its number of significant
// digits.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// Sample collects the results and latencies of a schedule. It is safe for
// concurrent use.
type Sample struct {
	mu      sync.Mutex
	results [numResults]int
	skipped int
	// answeredInWindow counts the responses that arrived before the schedule
	// ended; window is the length of the schedule.
	answeredInWindow int
	window           time.Duration
	latency          *hdrhistogram.Histogram
}

// NewSample returns an empty sample.
func NewSample() *Sample {
	return &Sample{latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// record adds a request that completed with the given latency after its due
// time. Only answered requests count towards the latency.
func (s *Sample) record(result Result, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[result]++
	if result == Answered {
		_ = s.latency.RecordValue(min(maxLatency, max(minLatency, latency.Microseconds())))
	}
}

func (s *Sample) recordSkipped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped++
}

// Count returns the number of requests with the result.
func (s *Sample) Count(result Result) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.results[result]
}

// Skipped returns the number of arrivals that were not sent because maxInFlight
// requests were in flight.
func (s *Sample) Skipped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.skipped
}

// Share returns the fraction of the sent requests that have the result.
func (s *Sample) Share(result Result) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.results {
		total += n
	}
	return float64(s.results[result]) / float64(max(1, total))
}

// Throughput returns the number of answered requests per second during the
// schedule. Responses after its end, for example from queues, do not count.
func (s *Sample) Throughput() Rate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Rate(float64(s.answeredInWindow) / max(s.window.Seconds(), 1e-9))
}

// recordInWindow counts a response that arrived before the schedule ended.
func (s *Sample) recordInWindow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredInWindow++
}

// Quantile returns a quantile of the latency of the answered requests; q is in
// percent.
func (s *Sample) Quantile(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// maxInFlight limits the requests of one schedule that are in flight. An
// arrival beyond the limit is counted as skipped and never sent later.
const maxInFlight = 4096

// Run sends the requests at their due times and waits until all have completed.
func (s Schedule) Run(ctx context.Context, sender Sender, sample *Sample) {
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	start := time.Now()
	sample.mu.Lock()
	sample.window = s.Duration
	sample.mu.Unlock()
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
		case inFlight <- struct{}{}:
		default:
			sample.recordSkipped()
			continue
		}
		a := arrival{sender: sender, index: i, due: due, end: start.Add(s.Duration), sample: sample, inFlight: inFlight}
		wg.Go(func() { a.run(ctx) })
	}
	wg.Wait()
}

// arrival is one scheduled request.
type arrival struct {
	sender   Sender
	index    int
	due      time.Time
	end      time.Time
	sample   *Sample
	inFlight <-chan struct{}
}

func (a arrival) run(ctx context.Context) {
	result := a.sender.Send(ctx, a.index)
	now := time.Now()
	a.sample.record(result, now.Sub(a.due))
	if result == Answered && now.Before(a.end) {
		a.sample.recordInWindow()
	}
	<-a.inFlight
}
