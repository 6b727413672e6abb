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

// idleDuration is the measuring time of the idle fleet.
const idleDuration = 20 * time.Second

// Targets for the control overhead of one instance: 1.8% of a core, 32 MB and
// 3 KB/s.
const (
	targetCPUPercent     = 1.8
	targetMemoryMB       = 32
	targetBytesPerSecond = 3_000
)

// counters holds the resource usage of one instance and the bytes exchanged for
// announcements.
type counters struct {
	usage     Usage
	announced azurestair.Bytes
}

func (r *run) readCounters(m *member) (counters, error) {
	u, err := m.process.usage()
	return counters{usage: u, announced: r.fleet.dialer.bytesFor(m.upstreams)}, err
}

func (r *run) readAllCounters() ([]counters, error) {
	var out []counters
	for _, m := range r.fleet.members {
		c, err := r.readCounters(m)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// totalCPU returns the processor time used by all instances between two
// readings.
func totalCPU(before, after []counters) time.Duration {
	var sum time.Duration
	for i := range before {
		sum += after[i].usage.CPU - before[i].usage.CPU
	}
	return sum
}

// roleName returns the Raft role of a control instance, or "entry".
func roleName(m, leader *member) string {
	switch {
	case m == leader:
		return "leader"
	case m.control:
		return "follower"
	}
	return "entry"
}

// idle measures a fleet without requests and records the highest value of each
// role.
func (r *run) idle(ctx context.Context) error {
	leader, err := r.fleet.leader(ctx)
	if err != nil {
		return err
	}
	before, err := r.readAllCounters()
	if err != nil {
		return err
	}
	select {
	case <-time.After(idleDuration):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := r.readAllCounters()
	if err != nil {
		return err
	}
	type cost struct{ cpu, memory, bytes, announced float64 }
	worst := map[string]cost{}
	for i, m := range r.fleet.members {
		c := worst[roleName(m, leader)]
		start, end := before[i], after[i]
		announced := end.announced - start.announced
		c.cpu = max(c.cpu, (end.usage.CPU-start.usage.CPU).Seconds()/idleDuration.Seconds()*100)
		c.memory = max(c.memory, float64(end.usage.Resident)/1e6)
		c.bytes = max(c.bytes, float64(end.usage.IO-start.usage.IO-announced)/idleDuration.Seconds())
		c.announced = max(c.announced, float64(announced)/idleDuration.Seconds())
		worst[roleName(m, leader)] = c
	}
	for _, role := range []string{"leader", "follower", "entry"} {
		c := worst[role]
		r.recordWithTarget(role+" processor", c.cpu, "% of a core", AtMost, targetCPUPercent)
		r.recordWithTarget(role+" memory", c.memory, "MB", AtMost, targetMemoryMB)
		r.recordWithTarget(role+" bytes without announcements", c.bytes, "B/s", AtMost, targetBytesPerSecond)
		r.record(role+" bytes of announcements", c.announced, "B/s")
	}
	return nil
}

// lookupClients is the number of keep-alive connections of the lookup scenario.
const lookupClients = 16

// lookups measures the lookup throughput of one entry with a closed loop on
// lookupClients connections.
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
		conn, err := r.dialer.dial(ctx, "tcp", m.callers)
		if err != nil {
			return err
		}
		c := &lookupClient{conn: conn, block: i << 12, completed: &done}
		go func() { errs <- c.run(ctx) }()
	}
	for range lookupClients {
		if err := <-errs; err != nil {
			return err
		}
	}
	elapsed := time.Since(started)
	after, err := m.process.usage()
	if err != nil {
		return err
	}
	n := float64(done.Load())
	r.recordWithTarget("look-ups", n/elapsed.Seconds(), "1/s", AtLeast, 40_000)
	r.record("processor for each look-up", micros(after.CPU-before.CPU)/n, "µs")
	r.record("processors used by the entry", (after.CPU-before.CPU).Seconds()/elapsed.Seconds(), "cores")
	return nil
}

// claimRate is the offered rate, 20% above claimTarget.
const (
	claimRate Rate = 6_000

	claimTarget float64 = 5_000
)

// claimSender proposes claims in the same way as entries.
type claimSender struct {
	clients []*peer.Client
	service azurestair.ServiceName
	prefix  string
}

// Send proposes a claim for key i.
func (c *claimSender) Send(ctx context.Context, i int) Result {
	deadline := time.Now().Add(urgentTimeout.Duration())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	n := i % len(c.clients)
	res, err := c.clients[n].Propose(ctx, azurestair.Command{Claim: &azurestair.Claim{
		Service: c.service, Operation: operationName(azurestair.RankUrgent), Key: azurestair.RequestKey(c.prefix + strconv.Itoa(i)),
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

// claims measures the rate of claims with one client per entry.
func (r *run) claims(ctx context.Context) error {
	leader, err := r.fleet.leader(ctx)
	if err != nil {
		return err
	}
	c := &claimSender{service: r.pool(0).Service, prefix: "claim-"}
	for range r.fleet.members {
		conns := peer.NewConns(nil, nil, nil)
		defer conns.Close()
		c.clients = append(c.clients, peer.NewClient(conns, r.fleet.voters()))
	}
	before, err := r.readAllCounters()
	if err != nil {
		return err
	}
	s := r.runSchedule(ctx, claimRate, c)
	after, err := r.readAllCounters()
	if err != nil {
		return err
	}
	r.recordWithTarget("claims", float64(s.Throughput()), "1/s", AtLeast, claimTarget)
	r.record("failed", s.Share(Failed)*100, "%")
	r.record("p50", millis(s.Quantile(50)), "ms")
	r.record("p99", millis(s.Quantile(99)), "ms")
	for i, m := range r.fleet.members[:r.fleet.opts.Controls] {
		cpu := after[i].usage.CPU - before[i].usage.CPU
		r.record(fmt.Sprintf("%s %s processor for each claim", roleName(m, leader), m.id), micros(cpu)/float64(max(1, s.Count(Answered))), "µs")
	}
	return nil
}

const (
	// numChanges is the number of configuration changes in the changes
	// scenario.
	numChanges = 100
	// changesTimeout allows an average of 1 s per change, the target of the
	// slowest one.
	changesTimeout = numChanges * time.Second
)

// changes measures the time until a configuration change is in effect on all
// instances.
func (r *run) changes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	s := NewSample()
	for i := range numChanges {
		started := time.Now()
		via := r.fleet.members[i%len(r.fleet.members)]
		result := Answered
		if err := r.fleet.apply(ctx, via, azurestair.ChangeID(fmt.Sprintf("load-change-%d", i))); err != nil {
			result = Failed
		}
		s.record(result, time.Since(started))
	}
	r.recordWithTarget("in effect on all", float64(s.Count(Answered)), "of 100", AtLeast, numChanges)
	r.record("p50 until in effect on all", millis(s.Quantile(50)), "ms")
	r.recordWithTarget("longest until in effect on all", millis(s.Quantile(100)), "ms", AtMost, 1_000)
	return nil
}

const (
	numLeaderKills = 3
	// steadyRate is the rate of idempotent requests while the leader is lost.
	steadyRate Rate = 100
)

// leaderLoss kills the leader and measures the time until changes are accepted
// again.
func (r *run) leaderLoss(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*startTimeout)
	defer cancel()
	var longest time.Duration
	lost, sent := 0, 0
	for i := range numLeaderKills {
		elapsed, s, err := r.killLeader(ctx, i)
		if err != nil {
			return err
		}
		longest = max(longest, elapsed)
		lost += s.Count(Refused) + s.Count(Failed)
		sent += s.Count(Answered) + s.Count(Refused) + s.Count(Failed)
		r.record(fmt.Sprintf("accepted again after kill %d", i+1), millis(elapsed), "ms")
	}
	r.recordWithTarget("longest until accepted again", millis(longest), "ms", AtMost, 2_000)
	r.recordWithTarget("idempotent requests lost", float64(lost), fmt.Sprintf("of %d", sent), AtMost, 0)
	return nil
}

// killLeader kills the leader under a steady idempotent load on the other
// entries, waits until a change is accepted and restarts the process.
func (r *run) killLeader(ctx context.Context, kill int) (time.Duration, *Sample, error) {
	leader, err := r.fleet.leader(ctx)
	if err != nil {
		return 0, nil, err
	}
	steady := r.newEntrySender(r.pool(0).Service, azurestair.RankInteractive)
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
		Schedule{Rate: steadyRate, Duration: 2 * warmUpDuration}.Run(ctx, steady, sample)
	}()
	time.Sleep(warmUpDuration / 2)
	started := time.Now()
	leader.process.kill()
	err = r.applyUntilAccepted(ctx, via, kill)
	elapsed := time.Since(started)
	<-ended
	r.recordReasons(fmt.Sprintf("idempotent, kill %d", kill+1), steady)
	if err != nil {
		return elapsed, sample, err
	}
	if err := r.fleet.startMember(leader); err != nil {
		return elapsed, sample, err
	}
	return elapsed, sample, operator.Poll(ctx, func() error { return r.fleet.checkReady(ctx) })
}

// applyUntilAccepted repeats a change until it is accepted.
func (r *run) applyUntilAccepted(ctx context.Context, via *member, kill int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout/2)
	defer cancel()
	id := azurestair.ChangeID(fmt.Sprintf("load-kill-%d", kill))
	return operator.Poll(ctx, func() error {
		resp, err := r.fleet.admin(via).Apply(ctx, operator.ConfigRequest{
			ChangeID: id, Reason: "measurement", BaseVersion: r.fleet.config.Version, Config: r.fleet.config, WaitMs: 1,
		})
		if err == nil {
			r.fleet.config.Version = resp.Version
		}
		return err
	})
}
