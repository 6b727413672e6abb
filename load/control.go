package load

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/peer"
)

// idleFor is how long the idle fleet is watched.
const idleFor = 20 * time.Second

// Targets of the control cost of one instance: 1.8% of a core, 32 MB, 3 KB/s.
const (
	targetCPU    = 1.8
	targetMemory = 32
	targetBytes  = 3_000
)

// reading is the state of the counters of one instance.
type reading struct {
	usage     Usage
	announced azurestair.Bytes
}

func (r *run) read(m *member) (reading, error) {
	u, err := m.process.usage()
	return reading{usage: u, announced: r.fleet.wire.total(m.upstreams)}, err
}

func (r *run) readAll() ([]reading, error) {
	var out []reading
	for _, m := range r.fleet.members {
		got, err := r.read(m)
		if err != nil {
			return nil, err
		}
		out = append(out, got)
	}
	return out, nil
}

// usedCPU returns the processor time of all instances between two readings.
func usedCPU(before, after []reading) time.Duration {
	var sum time.Duration
	for i := range before {
		sum += after[i].usage.CPU - before[i].usage.CPU
	}
	return sum
}

// roleOf names the part that an instance plays besides that of an entry.
func roleOf(m, leader *member) string {
	switch {
	case m == leader:
		return "leader"
	case m.control:
		return "follower"
	}
	return "entry"
}

// idle watches a fleet without requests. The worst instance of each role counts.
func (r *run) idle(ctx context.Context) error {
	leader, err := r.fleet.leader(ctx)
	if err != nil {
		return err
	}
	before, err := r.readAll()
	if err != nil {
		return err
	}
	select {
	case <-time.After(idleFor):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := r.readAll()
	if err != nil {
		return err
	}
	type cost struct{ cpu, memory, bytes, announced float64 }
	worst := map[string]cost{}
	for i, m := range r.fleet.members {
		c := worst[roleOf(m, leader)]
		b, a := before[i], after[i]
		announced := a.announced - b.announced
		c.cpu = max(c.cpu, (a.usage.CPU-b.usage.CPU).Seconds()/idleFor.Seconds()*100)
		c.memory = max(c.memory, float64(a.usage.Resident)/1e6)
		c.bytes = max(c.bytes, float64(a.usage.IO-b.usage.IO-announced)/idleFor.Seconds())
		c.announced = max(c.announced, float64(announced)/idleFor.Seconds())
		worst[roleOf(m, leader)] = c
	}
	for _, role := range []string{"leader", "follower", "entry"} {
		c := worst[role]
		r.check(role+" processor", c.cpu, "% of a core", AtMost, targetCPU)
		r.check(role+" memory", c.memory, "MB", AtMost, targetMemory)
		r.check(role+" bytes without announcements", c.bytes, "B/s", AtMost, targetBytes)
		r.note(role+" bytes of announcements", c.announced, "B/s")
	}
	return nil
}

// lookupClients is the number of keep-alive connections of the look-up scenario.
const lookupClients = 16

// lookups asks one entry as fast as a few connections can.
func (r *run) lookups(ctx context.Context) error {
	m := r.fleet.members[len(r.fleet.members)-1]
	var done atomic.Int64
	ctx, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	before, err := m.process.usage()
	if err != nil {
		return err
	}
	errs := make(chan error, lookupClients)
	started := time.Now()
	for i := range lookupClients {
		conn, err := r.wire.dial(ctx, "tcp", m.callers)
		if err != nil {
			return err
		}
		c := &lookupClient{conn: conn, block: i << 12, done: &done}
		go func() { errs <- c.run(ctx) }()
	}
	for range lookupClients {
		if err := <-errs; err != nil {
			return err
		}
	}
	took := time.Since(started)
	after, err := m.process.usage()
	if err != nil {
		return err
	}
	n := float64(done.Load())
	r.check("look-ups", n/took.Seconds(), "1/s", AtLeast, 40_000)
	r.note("processor for each look-up", micros(after.CPU-before.CPU)/n, "µs")
	r.note("processors used by the entry", (after.CPU-before.CPU).Seconds()/took.Seconds(), "cores")
	return nil
}

// claimRate is offered, somewhat above the target.
const (
	claimRate Rate = 6_000

	claimTarget float64 = 5_000
)

// claimer proposes claims as entries do.
type claimer struct {
	clients []*peer.Client
	service azurestair.ServiceName
	prefix  string
}

// Send claims key i.
func (c *claimer) Send(ctx context.Context, i int) Verdict {
	deadline := time.Now().Add(urgentTimeout.Duration())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	n := i % len(c.clients)
	res, err := c.clients[n].Propose(ctx, azurestair.Command{Claim: &azurestair.Claim{
		Service: c.service, Operation: operation(azurestair.RankUrgent), Key: azurestair.RequestKey(c.prefix + strconv.Itoa(i)),
		Fingerprint: make([]byte, 32), Instance: azurestair.InstanceID("claimer-" + strconv.Itoa(n)), Incarnation: 1,
		Attempt: uint64(i) + 1, Deadline: azurestair.UnixMillisOf(deadline), //nolint:gosec // i is not negative
	}})
	switch {
	case err != nil:
		return Failed
	case res.Code == azurestair.ResultGranted:
		return Answered
	}
	return Refused
}

// claims has as many clients as there are entries claim requests.
func (r *run) claims(ctx context.Context) error {
	leader, err := r.fleet.leader(ctx)
	if err != nil {
		return err
	}
	c := &claimer{service: r.pool(0).Service, prefix: "claim-"}
	for range r.fleet.members {
		conns := peer.NewConns(nil, nil, nil)
		defer conns.Close()
		c.clients = append(c.clients, peer.NewClient(conns, r.fleet.voters()))
	}
	before, err := r.readAll()
	if err != nil {
		return err
	}
	s := r.send(ctx, claimRate, c)
	after, err := r.readAll()
	if err != nil {
		return err
	}
	r.check("claims", float64(s.Throughput()), "1/s", AtLeast, claimTarget)
	r.note("failed", s.Share(Failed)*100, "%")
	r.note("p50", millis(s.Quantile(50)), "ms")
	r.note("p99", millis(s.Quantile(99)), "ms")
	for i, m := range r.fleet.members[:r.fleet.opts.Controls] {
		cpu := after[i].usage.CPU - before[i].usage.CPU
		r.note(fmt.Sprintf("%s %s processor for each claim", roleOf(m, leader), m.id), micros(cpu)/float64(max(1, s.Count(Answered))), "µs")
	}
	return nil
}

const (
	// numChanges is the number of configuration changes of the changes scenario.
	numChanges = 100
	// changesTimeout gives each change more than it may take on average.
	changesTimeout = numChanges * time.Second
)

// changes measures how long a change takes until all instances have it in effect.
func (r *run) changes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	s := NewSample()
	for i := range numChanges {
		started := time.Now()
		via := r.fleet.members[i%len(r.fleet.members)]
		v := Answered
		if err := r.fleet.apply(ctx, via, azurestair.ChangeID(fmt.Sprintf("load-change-%d", i))); err != nil {
			v = Failed
		}
		s.add(v, time.Since(started))
	}
	r.check("in effect on all", float64(s.Count(Answered)), "of 100", AtLeast, numChanges)
	r.note("p50 until in effect on all", millis(s.Quantile(50)), "ms")
	r.check("longest until in effect on all", millis(s.Quantile(100)), "ms", AtMost, 1_000)
	return nil
}

const (
	leaderKills = 3
	// steadyRate is the idempotent load during the loss of the leader.
	steadyRate Rate = 100
)

// leaderLoss kills the leader and measures when changes are accepted again.
func (r *run) leaderLoss(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*startTimeout)
	defer cancel()
	var longest time.Duration
	lost, sent := 0, 0
	for i := range leaderKills {
		took, s, err := r.killLeader(ctx, i)
		if err != nil {
			return err
		}
		longest = max(longest, took)
		lost += s.Count(Refused) + s.Count(Failed)
		sent += s.Count(Answered) + s.Count(Refused) + s.Count(Failed)
		r.note(fmt.Sprintf("accepted again after kill %d", i+1), millis(took), "ms")
	}
	r.check("longest until accepted again", millis(longest), "ms", AtMost, 2_000)
	r.check("idempotent requests lost", float64(lost), fmt.Sprintf("of %d", sent), AtMost, 0)
	return nil
}

// killLeader kills the leader under a steady idempotent load at the other
// entries, waits for an accepted change and starts the process again.
func (r *run) killLeader(ctx context.Context, trial int) (time.Duration, *Sample, error) {
	leader, err := r.fleet.leader(ctx)
	if err != nil {
		return 0, nil, err
	}
	steady := r.requester(r.pool(0).Service, azurestair.RankInteractive)
	steady.entries = nil
	var via *member
	for _, m := range r.fleet.members {
		if m != leader {
			steady.entries = append(steady.entries, m.callers)
			via = m
		}
	}
	sample, ended := NewSample(), make(chan struct{})
	go func() {
		defer close(ended)
		Schedule{Rate: steadyRate, Duration: 2 * warmUp}.Run(ctx, steady, sample)
	}()
	time.Sleep(warmUp / 2)
	started := time.Now()
	leader.process.kill()
	err = r.acceptedAgain(ctx, via, trial)
	took := time.Since(started)
	<-ended
	r.noteReasons(fmt.Sprintf("idempotent, kill %d", trial+1), steady)
	if err != nil {
		return took, sample, err
	}
	if err := r.fleet.run(leader); err != nil {
		return took, sample, err
	}
	return took, sample, operator.Poll(ctx, func() error { return r.fleet.ready(ctx) })
}

// acceptedAgain repeats a change until it is accepted.
func (r *run) acceptedAgain(ctx context.Context, via *member, trial int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout/2)
	defer cancel()
	id := azurestair.ChangeID(fmt.Sprintf("load-kill-%d", trial))
	return operator.Poll(ctx, func() error {
		a, err := r.fleet.admin(via).Apply(ctx, operator.ConfigRequest{
			ChangeID: id, Reason: "measurement", BaseVersion: r.fleet.config.Version, Config: r.fleet.config, WaitMs: 1,
		})
		if err == nil {
			r.fleet.config.Version = a.Version
		}
		return err
	})
}
