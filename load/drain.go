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
	// drainTarget is the longest time in which a leaving upstream may get new work.
	drainTarget = time.Second
	// drainLoad is in units of the capacity; it fits without a failure domain.
	drainLoad = 0.5
)

// drain takes an upstream out by its own announcement, then another one and a
// whole failure domain by an operator, each under a steady load.
func (r *run) drain(ctx context.Context) error {
	stubs := r.fleet.stubs[r.pool(0).Service]
	setServiceTime(stubs, latencyServiceTime)
	defer setServiceTime(stubs, r.pool(0).ServiceTime)
	self, drained := stubs[0], stubs[1]
	announce := func() error { self.Drain(); return nil }
	if err := r.drainOf(ctx, "announced", stubs[:1], announce); err != nil {
		return err
	}
	self.Undrain()
	upstream := azurestair.Target{Kind: azurestair.TargetUpstream, Name: string(drained.ID())}
	if err := r.operatorDrain(ctx, "upstream", upstream, stubs[1:2]); err != nil {
		return err
	}
	region, domain := r.fleet.opts.Deployment.place(2)
	var within []*stub.Upstream
	for i, u := range stubs {
		if _, d := r.fleet.opts.Deployment.place(i); d == domain && u.Region() == region {
			within = append(within, u)
		}
	}
	return r.operatorDrain(ctx, "failure domain", azurestair.Target{Kind: azurestair.TargetFailureDomain, Name: string(domain)}, within)
}

// operatorDrain drains a target through the administration API and puts it back.
func (r *run) operatorDrain(ctx context.Context, name string, t azurestair.Target, stubs []*stub.Upstream) error {
	admin := r.fleet.admin(r.fleet.members[len(r.fleet.members)-1])
	q := operator.DrainRequest{ChangeID: azurestair.ChangeID("load-drain-" + t.Name), Reason: "measurement", Target: t}
	err := r.drainOf(ctx, name, stubs, func() error {
		_, err := admin.Drain(ctx, q)
		return err
	})
	if err != nil {
		return err
	}
	q.ChangeID = "un" + q.ChangeID
	_, err = admin.Undrain(ctx, q)
	return err
}

// drainOf drains stubs in the middle of a load and measures until when they
// started new work, counted from before the drain was asked for.
func (r *run) drainOf(ctx context.Context, name string, stubs []*stub.Upstream, drain func() error) error {
	p := r.pool(0)
	p.ServiceTime = latencyServiceTime
	rate := p.Capacity() * drainLoad
	through := r.requester(r.pool(0).Service, azurestair.RankInteractive)
	r.warm(ctx, rate, through)
	f := &flow{rate: rate, to: through, sample: NewSample()}
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
	r.check(name+": new work until", millis(longest), "ms", AtMost, millis(drainTarget))
	r.check(name+": done", f.sample.Share(Answered)*100, "%", AtLeast, 100)
	r.noteReasons(name, through)
	return nil
}

// headroomLoads are offered one after the other, in units of the capacity.
var headroomLoads = [...]float64{0.6, 0.7, 0.8, 0.9, 1}

// headroom measures the share of a load near the capacity that is done in
// time, and its latency in units of the service time.
func (r *run) headroom(ctx context.Context) error {
	p := r.pool(0)
	for _, part := range headroomLoads {
		through := r.requester(p.Service, azurestair.RankInteractive)
		rate := p.Capacity() * Rate(part)
		r.warm(ctx, rate, through)
		s := r.send(ctx, rate, through)
		name := fmt.Sprintf("at %.0f%%", part*100)
		r.note(name+" done", s.Share(Answered)*100, "%")
		r.note(name+" p99", float64(s.Quantile(99))/float64(p.ServiceTime), "service times")
		r.noteReasons(name, through)
	}
	return nil
}
