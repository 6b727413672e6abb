package load

import (
	"context"
	"fmt"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/stub"
)

const (
	// latencyServiceTime is short, so that half of the capacity is a high
	// enough rate to put load on the entries.
	latencyServiceTime = 50 * time.Millisecond
	// warmUpDuration is the time in which leases and connections adapt to a new
	// load before it is measured.
	warmUpDuration = 2 * time.Second
	// floodFactor is the load of a flood, relative to the capacity.
	floodFactor = 10
)

func setServiceTime(stubs []*stub.Upstream, d time.Duration) {
	for _, u := range stubs {
		u.SetServiceTime(d)
	}
}

func stubAddrs(stubs []*stub.Upstream) []string {
	var out []string
	for _, u := range stubs {
		out = append(out, u.Addr())
	}
	return out
}

// runWarmUp runs a schedule whose sample is not part of the measurement.
func (r *run) runWarmUp(ctx context.Context, rate Rate, to Sender) *Sample {
	s := NewSample()
	Schedule{Rate: rate, Duration: warmUpDuration}.Run(ctx, to, s)
	return s
}

// latency compares requests through the entries with direct requests to the
// same upstreams at half of the capacity.
func (r *run) latency(ctx context.Context) error {
	p := r.pool(0)
	stubs := r.fleet.stubs[p.Service]
	setServiceTime(stubs, latencyServiceTime)
	defer setServiceTime(stubs, p.ServiceTime)
	half := Rate(float64(p.Upstreams)*float64(p.Slots)/latencyServiceTime.Seconds()) / 2
	viaEntries := r.newEntrySender(p.Service, azurestair.RankInteractive)
	direct := &directSender{http: r.http, addrs: stubAddrs(stubs)}
	r.runWarmUp(ctx, half, direct)
	baseline := r.runSchedule(ctx, half, direct)
	r.runWarmUp(ctx, half, viaEntries)
	before, err := r.readAllCounters()
	if err != nil {
		return err
	}
	viaEntriesSample := r.runSchedule(ctx, half, viaEntries)
	after, err := r.readAllCounters()
	if err != nil {
		return err
	}
	r.record("rate", float64(half), "1/s")
	r.record("direct p50", millis(baseline.Quantile(50)), "ms")
	r.record("direct p99", millis(baseline.Quantile(99)), "ms")
	r.recordWithTarget("done through entries", viaEntriesSample.Share(Answered)*100, "%", AtLeast, 99.9)
	r.record("processor of the instances for each request", micros(totalCPU(before, after))/float64(max(1, viaEntriesSample.Count(Answered))), "µs")
	r.recordWithTarget("added p50", millis(viaEntriesSample.Quantile(50)-baseline.Quantile(50)), "ms", AtMost, 0.3)
	r.recordWithTarget("added p99", millis(viaEntriesSample.Quantile(99)-baseline.Quantile(99)), "ms", AtMost, 1)
	return nil
}

// slow measures the effect of one upstream that is ten times slower than the
// others. It uses the service with twelve upstreams, which is the urgent one in
// both deployments.
func (r *run) slow(ctx context.Context) error {
	p := r.pool(1)
	stubs := r.fleet.stubs[p.Service]
	half := p.Capacity() / 2
	viaEntries := r.newEntrySender(p.Service, azurestair.RankUrgent)
	r.runWarmUp(ctx, half, viaEntries)
	uniform := r.runSchedule(ctx, half, viaEntries)
	const slowFactor = 10
	slowTime := slowFactor * p.ServiceTime
	stubs[0].SetServiceTime(slowTime)
	defer stubs[0].SetServiceTime(p.ServiceTime)
	skewedWarmUp := r.runWarmUp(ctx, half, viaEntries)
	skewed := r.runSchedule(ctx, half, viaEntries)
	baseline := r.runSchedule(ctx, half, &directSender{http: r.http, addrs: stubAddrs(stubs)})
	uniformP99 := millis(uniform.Quantile(99))
	r.record("p99 with none slow", uniformP99, "ms")
	r.record("p99 ratio in the first 2 s", millis(skewedWarmUp.Quantile(99))/uniformP99, "")
	r.recordWithTarget("p99 ratio", millis(skewed.Quantile(99))/uniformP99, "", AtMost, 1.5)
	r.record("done", skewed.Share(Answered)*100, "%")
	r.record("p99 ratio of direct round robin", millis(baseline.Quantile(99))/uniformP99, "")
	return nil
}

// Loads of the ranks that are not flooded, relative to the capacity. The
// interactive and deferred loads are twice the floor of their rank, to check
// that a rank gets at least its floor when it demands more.
const (
	urgentLoadFactor      = 0.2
	interactiveLoadFactor = 0.4
	deferredLoadFactor    = 0.2
)

func (r *run) newFlows(p Pool, urgent, interactive, deferred float64) [azurestair.NumRanks]*flow {
	var out [azurestair.NumRanks]*flow
	for rank, factor := range map[azurestair.Rank]float64{
		azurestair.RankUrgent: urgent, azurestair.RankInteractive: interactive, azurestair.RankDeferred: deferred,
	} {
		out[rank] = &flow{rate: p.Capacity() * Rate(factor), to: r.newEntrySender(p.Service, rank)}
	}
	return out
}

// measureFlood runs one flow per rank on the first service and records the
// offered and the completed rate of each.
func (r *run) measureFlood(ctx context.Context, urgent, interactive, deferred float64) [azurestair.NumRanks]*flow {
	p := r.pool(0)
	flows := r.newFlows(p, urgent, interactive, deferred)
	r.runWarmUp(ctx, p.Capacity()*interactiveLoadFactor, r.newEntrySender(p.Service, azurestair.RankInteractive))
	r.runConcurrently(ctx, flows[:]...)
	r.record("capacity", float64(p.Capacity()), "1/s")
	for rank, f := range flows {
		name := azurestair.Rank(rank).String()
		r.record(name+" offered", float64(f.rate), "1/s")
		r.record(name+" done", float64(f.sample.Throughput()), "1/s")
		r.record(name+" failed or unknown", f.sample.Share(Failed)*100, "%")
		r.record(name+" not sent", float64(f.sample.Skipped()), "")
		r.recordReasons(name, f.to)
	}
	return flows
}

func (r *run) recordFloor(rank azurestair.Rank, f *flow) {
	var c azurestair.Defaults
	floor := float64(c.WithDefaults().RankFloors[rank]) / 100 * float64(r.pool(0).Capacity())
	r.recordWithTarget(rank.String()+" done / floor", float64(f.sample.Throughput())/floor, "", AtLeast, 1)
}

func (r *run) deferredFlood(ctx context.Context) error {
	flows := r.measureFlood(ctx, urgentLoadFactor, interactiveLoadFactor, floodFactor)
	r.recordWithTarget("urgent in time", flows[azurestair.RankUrgent].sample.Share(Answered)*100, "%", AtLeast, 99.9)
	r.recordFloor(azurestair.RankInteractive, flows[azurestair.RankInteractive])
	return nil
}

func (r *run) urgentFlood(ctx context.Context) error {
	flows := r.measureFlood(ctx, floodFactor, interactiveLoadFactor, deferredLoadFactor)
	r.recordFloor(azurestair.RankInteractive, flows[azurestair.RankInteractive])
	r.recordFloor(azurestair.RankDeferred, flows[azurestair.RankDeferred])
	return nil
}

const (
	// modestCallers is the number of callers that send modestShare of their
	// fair share.
	modestCallers = 20
	modestShare   = 0.8
	// greedyFactor is the load of the greedy caller, relative to its fair
	// share.
	greedyFactor = 100
)

// greedyCaller measures how much throughput the other callers lose when one
// caller sends a hundred times its fair share.
func (r *run) greedyCaller(ctx context.Context) error {
	p := r.pool(0)
	fairRate := p.Capacity() / (modestCallers + 1)
	modest := r.newEntrySender(p.Service, azurestair.RankInteractive)
	// Each caller uses every entry if the number of callers and the number of
	// entries are coprime, as with the default of 7 entries.
	modest.callerName = func(i int) string { return fmt.Sprintf("modest-%d", i%modestCallers) }
	greedy := r.newEntrySender(p.Service, azurestair.RankInteractive)
	greedy.callerName = func(int) string { return "greedy" }
	rate := fairRate * modestCallers * modestShare
	r.runWarmUp(ctx, rate, modest)
	alone := r.runSchedule(ctx, rate, modest)
	contended := &flow{rate: rate, to: modest}
	flood := &flow{rate: fairRate * greedyFactor, to: greedy}
	r.runConcurrently(ctx, contended, flood)
	r.record("others done alone", float64(alone.Throughput()), "1/s")
	r.record("others done beside", float64(contended.sample.Throughput()), "1/s")
	r.recordReasons("others", modest)
	r.record("greedy offered", float64(flood.rate), "1/s")
	r.record("greedy done", float64(flood.sample.Throughput()), "1/s")
	loss := 1 - float64(contended.sample.Count(Answered))/float64(max(1, alone.Count(Answered)))
	r.recordWithTarget("others lose", loss*100, "%", AtMost, 5)
	return nil
}
