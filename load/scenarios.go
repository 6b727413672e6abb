package load

import (
	"context"
	"fmt"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/stub"
)

const (
	// latencyServiceTime is short, so that half load is a rate at which the
	// entries have work.
	latencyServiceTime = 50 * time.Millisecond
	// warmUp lets leases and connections follow a new load before it is measured.
	warmUp = 2 * time.Second
	// floodFactor is the flood in units of the capacity.
	floodFactor = 10
)

func setServiceTime(stubs []*stub.Upstream, d time.Duration) {
	for _, u := range stubs {
		u.SetServiceTime(d)
	}
}

func addrsOf(stubs []*stub.Upstream) []string {
	var out []string
	for _, u := range stubs {
		out = append(out, u.Addr())
	}
	return out
}

// warm sends a load that is not measured.
func (r *run) warm(ctx context.Context, rate Rate, to Sender) *Sample {
	s := NewSample()
	Schedule{Rate: rate, Duration: warmUp}.Run(ctx, to, s)
	return s
}

// latency compares the way through the entries with a direct connection to
// the same upstreams at half load.
func (r *run) latency(ctx context.Context) error {
	p := r.pool(0)
	stubs := r.fleet.stubs[p.Service]
	setServiceTime(stubs, latencyServiceTime)
	defer setServiceTime(stubs, p.ServiceTime)
	half := Rate(float64(p.Workers)*float64(p.Slots)/latencyServiceTime.Seconds()) / 2
	through := r.requester(p.Service, azurestair.RankInteractive)
	straight := &direct{http: r.http, addrs: addrsOf(stubs)}
	r.warm(ctx, half, straight)
	base := r.send(ctx, half, straight)
	r.warm(ctx, half, through)
	before, err := r.readAll()
	if err != nil {
		return err
	}
	entry := r.send(ctx, half, through)
	after, err := r.readAll()
	if err != nil {
		return err
	}
	r.note("rate", float64(half), "1/s")
	r.note("direct p50", millis(base.Quantile(50)), "ms")
	r.note("direct p99", millis(base.Quantile(99)), "ms")
	r.check("done through entries", entry.Share(Answered)*100, "%", AtLeast, 99.9)
	r.note("processor of the instances for each request", micros(usedCPU(before, after))/float64(max(1, entry.Count(Answered))), "µs")
	r.check("added p50", millis(entry.Quantile(50)-base.Quantile(50)), "ms", AtMost, 0.3)
	r.check("added p99", millis(entry.Quantile(99)-base.Quantile(99)), "ms", AtMost, 1)
	return nil
}

// slow makes one upstream in twelve ten times slower. The service with twelve
// is the urgent one in both deployments.
func (r *run) slow(ctx context.Context) error {
	p := r.pool(1)
	stubs := r.fleet.stubs[p.Service]
	half := p.Capacity() / 2
	through := r.requester(p.Service, azurestair.RankUrgent)
	r.warm(ctx, half, through)
	even := r.send(ctx, half, through)
	const slowness = 10
	slowTime := slowness * p.ServiceTime
	stubs[0].SetServiceTime(slowTime)
	defer stubs[0].SetServiceTime(p.ServiceTime)
	first := r.warm(ctx, half, through)
	uneven := r.send(ctx, half, through)
	baseline := r.send(ctx, half, &direct{http: r.http, addrs: addrsOf(stubs)})
	base := millis(even.Quantile(99))
	r.note("p99 with none slow", base, "ms")
	r.note("p99 ratio in the first 2 s", millis(first.Quantile(99))/base, "")
	r.check("p99 ratio", millis(uneven.Quantile(99))/base, "", AtMost, 1.5)
	r.note("done", uneven.Share(Answered)*100, "%")
	r.note("p99 ratio of direct round robin", millis(baseline.Quantile(99))/base, "")
	return nil
}

// Loads during a flood, in units of the capacity. Twice the floor asks whether
// a rank gets its floor when it wants more.
const (
	urgentLoad      = 0.2
	interactiveLoad = 0.4
	deferredLoad    = 0.2
)

func (r *run) flows(p Pool, urgent, interactive, deferred float64) [azurestair.NumRanks]*flow {
	var out [azurestair.NumRanks]*flow
	for rank, factor := range map[azurestair.Rank]float64{
		azurestair.RankUrgent: urgent, azurestair.RankInteractive: interactive, azurestair.RankDeferred: deferred,
	} {
		out[rank] = &flow{rate: p.Capacity() * Rate(factor), to: r.requester(p.Service, rank)}
	}
	return out
}

// flood runs the flows on the first service and records each rank's rate in
// units of its floor.
func (r *run) flood(ctx context.Context, urgent, interactive, deferred float64) [azurestair.NumRanks]*flow {
	p := r.pool(0)
	flows := r.flows(p, urgent, interactive, deferred)
	r.warm(ctx, p.Capacity()*interactiveLoad, r.requester(p.Service, azurestair.RankInteractive))
	r.together(ctx, flows[:]...)
	r.note("capacity", float64(p.Capacity()), "1/s")
	for rank, f := range flows {
		name := azurestair.Rank(rank).String()
		r.note(name+" offered", float64(f.rate), "1/s")
		r.note(name+" done", float64(f.sample.Throughput()), "1/s")
		r.note(name+" failed or unknown", f.sample.Share(Failed)*100, "%")
		r.note(name+" not sent", float64(f.sample.Skipped()), "")
		r.noteReasons(name, f.to)
	}
	return flows
}

func (r *run) checkFloor(rank azurestair.Rank, f *flow) {
	var c azurestair.Defaults
	floor := float64(c.WithDefaults().RankFloors[rank]) / 100 * float64(r.pool(0).Capacity())
	r.check(rank.String()+" done / floor", float64(f.sample.Throughput())/floor, "", AtLeast, 1)
}

func (r *run) deferredFlood(ctx context.Context) error {
	flows := r.flood(ctx, urgentLoad, interactiveLoad, floodFactor)
	r.check("urgent in time", flows[azurestair.RankUrgent].sample.Share(Answered)*100, "%", AtLeast, 99.9)
	r.checkFloor(azurestair.RankInteractive, flows[azurestair.RankInteractive])
	return nil
}

func (r *run) urgentFlood(ctx context.Context) error {
	flows := r.flood(ctx, floodFactor, interactiveLoad, deferredLoad)
	r.checkFloor(azurestair.RankInteractive, flows[azurestair.RankInteractive])
	r.checkFloor(azurestair.RankDeferred, flows[azurestair.RankDeferred])
	return nil
}

const (
	// modestCallers each send modestPart of their fair part.
	modestCallers = 20
	modestPart    = 0.8
	// greedFactor is the greedy caller's load in units of its fair part.
	greedFactor = 100
)

// greedyCaller has one caller send a hundred times its fair part.
func (r *run) greedyCaller(ctx context.Context) error {
	p := r.pool(0)
	fair := p.Capacity() / (modestCallers + 1)
	modest := r.requester(p.Service, azurestair.RankInteractive)
	// Callers and entries have no common divisor, so that each caller uses every entry.
	modest.callers = func(i int) string { return fmt.Sprintf("modest-%d", i%modestCallers) }
	greedy := r.requester(p.Service, azurestair.RankInteractive)
	greedy.callers = func(int) string { return "greedy" }
	rate := fair * modestCallers * modestPart
	r.warm(ctx, rate, modest)
	alone := r.send(ctx, rate, modest)
	beside := &flow{rate: rate, to: modest}
	flood := &flow{rate: fair * greedFactor, to: greedy}
	r.together(ctx, beside, flood)
	r.note("others done alone", float64(alone.Throughput()), "1/s")
	r.note("others done beside", float64(beside.sample.Throughput()), "1/s")
	r.noteReasons("others", modest)
	r.note("greedy offered", float64(flood.rate), "1/s")
	r.note("greedy done", float64(flood.sample.Throughput()), "1/s")
	loss := 1 - float64(beside.sample.Count(Answered))/float64(max(1, alone.Count(Answered)))
	r.check("others lose", loss*100, "%", AtMost, 5)
	return nil
}
