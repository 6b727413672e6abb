package load

import (
	"context"
	"fmt"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/stub"
)

const (
	// drainTarget is the longest time for which a drained upstream may get new
	// requests.
	drainTarget = time.Second
	// drainLoadFactor is the load relative to the capacity. The remaining
	// upstreams can serve it while a failure domain is drained.
	drainLoadFactor = 0.5
)

// drain measures three drains, each under a steady load: an upstream that
// announces it, another upstream drained by an operator, and a failure domain.
func (r *run) drain(ctx context.Context) error {
	stubs := r.fleet.stubs[r.pool(0).Service]
	setServiceTime(stubs, latencyServiceTime)
	defer setServiceTime(stubs, r.pool(0).ServiceTime)
	announced, drained := stubs[0], stubs[1]
	announce := func() error { announced.Drain(); return nil }
	if err := r.measureDrain(ctx, "announced", stubs[:1], announce); err != nil {
		return err
	}
	announced.Undrain()
	target := azurestair.Target{Kind: azurestair.TargetUpstream, Name: string(drained.ID())}
	if err := r.measureOperatorDrain(ctx, "upstream", target, stubs[1:2]); err != nil {
		return err
	}
	region, domain := r.fleet.opts.Deployment.location(2)
	var inDomain []*stub.Upstream
	for i, u := range stubs {
		if _, d := r.fleet.opts.Deployment.location(i); d == domain && u.Region() == region {
			inDomain = append(inDomain, u)
		}
	}
	return r.measureOperatorDrain(ctx, "failure domain", azurestair.Target{Kind: azurestair.TargetFailureDomain, Name: string(domain)}, inDomain)
}

// measureOperatorDrain measures a drain through the administration API and then
// undrains the target.
func (r *run) measureOperatorDrain(ctx context.Context, name string, t azurestair.Target, stubs []*stub.Upstream) error {
	admin := r.fleet.admin(r.fleet.members[len(r.fleet.members)-1])
	req := operator.DrainRequest{ChangeID: azurestair.ChangeID("load-drain-" + t.Name), Reason: "measurement", Target: t}
	err := r.measureDrain(ctx, name, stubs, func() error {
		_, err := admin.Drain(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	req.ChangeID = "un" + req.ChangeID
	_, err = admin.Undrain(ctx, req)
	return err
}

// measureDrain drains stubs under load and measures for how long they still
// start new requests, counted from just before the drain is requested.
func (r *run) measureDrain(ctx context.Context, name string, stubs []*stub.Upstream, drain func() error) error {
	p := r.pool(0)
	p.ServiceTime = latencyServiceTime
	rate := p.Capacity() * drainLoadFactor
	viaEntries := r.newEntrySender(r.pool(0).Service, azurestair.RankInteractive)
	r.runWarmUp(ctx, rate, viaEntries)
	f := &flow{rate: rate, to: viaEntries, sample: NewSample()}
	ended := make(chan struct{}, 1)
	go f.run(ctx, r.opts.Duration, ended)
	time.Sleep(r.opts.Duration / 3)
	started := time.Now()
	err := drain()
	<-ended
	if err != nil {
		return fmt.Errorf("drain %s: %w", name, err)
	}
	var longest time.Duration
	for _, u := range stubs {
		longest = max(longest, u.LastAccepted().Sub(started))
	}
	r.recordWithTarget(name+": new work until", millis(longest), "ms", AtMost, millis(drainTarget))
	r.recordWithTarget(name+": done", f.sample.Share(Answered)*100, "%", AtLeast, 100)
	r.recordReasons(name, viaEntries)
	return nil
}

// headroomLoadFactors are the successive loads, relative to the capacity.
var headroomLoadFactors = [...]float64{0.6, 0.7, 0.8, 0.9, 1}

// headroom measures the share of requests done at loads near the capacity, and
// their latency in units of the service time.
func (r *run) headroom(ctx context.Context) error {
	p := r.pool(0)
	for _, factor := range headroomLoadFactors {
		viaEntries := r.newEntrySender(p.Service, azurestair.RankInteractive)
		rate := p.Capacity() * Rate(factor)
		r.runWarmUp(ctx, rate, viaEntries)
		s := r.runSchedule(ctx, rate, viaEntries)
		name := fmt.Sprintf("at %.0f%%", factor*100)
		r.record(name+" done", s.Share(Answered)*100, "%")
		r.record(name+" p99", float64(s.Quantile(99))/float64(p.ServiceTime), "service times")
		r.recordReasons(name, viaEntries)
	}
	return nil
}
