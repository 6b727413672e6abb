package instance

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/workspace"
)

// revocationRun is a random schedule of one entry: reports that are lost or
// answered late, leaders that change and publish nothing at first, suspensions of
// the machine, and restarts from a stored snapshot. A key is revoked on the way.
type revocationRun struct {
	rand *rand.Rand
	// now is the true time; the entry's system clock lacks the suspensions.
	now       time.Time
	suspended time.Duration
	entry     *Entry
	member    *Member

	term azurestair.Term
	// publishesAt is when the leader publishes its first snapshot.
	publishesAt time.Time
	// revokedAt is when the revocation is acknowledged.
	revokedAt time.Time

	inFlight *revocationReport
	served   int
}

// revocationReport is a report in flight and the answer to it.
type revocationReport struct {
	event    reportDoneEvent
	arrives  time.Time
	answered bool
	answerAt time.Time
}

const (
	revocationStep = 20 * time.Millisecond
	revocationTime = 40 * time.Second
)

// Now implements azurestair.Clock with the system clock of the entry.
func (r *revocationRun) Now() time.Time { return r.now.Add(-r.suspended) }

func (r *revocationRun) chance(percent int) bool { return r.rand.IntN(100) < percent }

func (r *revocationRun) duration(limit time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(limit)))
}

// snapshot returns what a leader publishes at the current time.
func (r *revocationRun) snapshot() *azurestair.Snapshot {
	s := workspaceSnapshot(1, workspaceOf("acme", "k-1"), workspaceOf("bell", "k-2"))
	if !r.now.Before(r.revokedAt) {
		s = workspaceSnapshot(2, workspaceOf("bell", "k-2"))
	}
	s.Term, s.Revision = r.term, azurestair.Revision(s.Config.Version)
	return s
}

// restart starts the process of the entry, with a stored snapshot if there is
// one.
func (r *revocationRun) restart(stored *azurestair.Snapshot) {
	r.entry = &Entry{clock: r, metrics: newProcessMetrics()}
	r.entry.leaseClock = &leaseClock{Clock: r, offset: func() time.Duration { return r.suspended }, start: r.suspended}
	r.member = newMember(azurestair.InstanceInfo{ID: "e1", Region: "kigali"}, r.entry, nil, slog.New(slog.DiscardHandler))
	r.inFlight = nil
	if stored != nil {
		// Dispatchers are not needed to decide on keys.
		r.member.entry = nil
		r.member.adoptProvisional(stored, r.entry.leaseNow())
		r.member.entry = r.entry
	}
}

// step lets a part of the schedule happen.
func (r *revocationRun) step() {
	r.now = r.now.Add(revocationStep)
	switch {
	case r.rand.IntN(400) == 0:
		gap := r.duration(8 * time.Second)
		r.answer(r.now.Add(gap))
		r.now, r.suspended = r.now.Add(gap), r.suspended+gap
	case r.rand.IntN(600) == 0:
		r.term++
		r.publishesAt = r.now.Add(r.duration(4 * time.Second))
	case r.rand.IntN(900) == 0:
		r.restart(r.member.snapshot)
	}
	r.answer(r.now)
	if f := r.inFlight; f == nil {
		if r.chance(8) {
			r.send()
		}
	} else if !r.now.Before(f.arrives) {
		r.inFlight = nil
		// Dispatchers are not needed to decide on keys.
		r.member.entry = nil
		r.member.handleReportDone(f.event, r.entry.leaseNow())
		r.member.entry = r.entry
	}
}

// send sends a report, which may be lost on the way or with its answer.
func (r *revocationRun) send() {
	f := &revocationReport{answerAt: r.now.Add(r.duration(time.Second))}
	f.arrives = f.answerAt.Add(r.duration(3 * time.Second))
	f.event.sent = r.entry.leaseNow()
	if r.chance(30) {
		f.event.err, f.answered = azurestair.ErrNoQuorum, true
	}
	r.inFlight = f
}

// answer lets the leader answer a report that reaches it until a time, which may
// pass while the entry is suspended.
func (r *revocationRun) answer(until time.Time) {
	f := r.inFlight
	if f == nil || f.answered || until.Before(f.answerAt) {
		return
	}
	entryTime := r.now
	r.now = later(r.now, f.answerAt)
	s := r.snapshot()
	f.answered = true
	f.event.reply = azurestair.ReportReply{Term: r.term, ControlTTLMs: 3000, NewestConfig: s.ConfigVersion()}
	held := r.member.snapshot
	if !r.now.Before(r.publishesAt) && (held == nil || held.Term != s.Term || held.Revision != s.Revision) {
		f.event.reply.Snapshot = s
	}
	r.now = entryTime
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expectKeys asserts that the entry serves no revoked key beyond its lease, and
// rejects no key that is valid.
func (r *revocationRun) expectKeys(seed uint64) {
	ginkgo.GinkgoHelper()
	if r.member.snapshot == nil {
		return
	}
	decide := func(key string) workspace.Verdict {
		return r.member.index.workspaces.Decide(
			workspace.Request{HasKey: true, Key: azurestair.KeyDigestOf(key)}, r.member.contact(), r.entry.leaseNow()).Verdict
	}
	if decide("k-1") == workspace.Served {
		r.served++
		if late := r.now.Sub(r.revokedAt); late >= testKeyLease.Duration() {
			ginkgo.Fail(fmt.Sprintf("seed %d: a revoked key is served after %v", seed, late))
		}
	}
	if decide("k-2") == workspace.KeyUnknown {
		ginkgo.Fail(fmt.Sprintf("seed %d: a valid key is rejected", seed))
	}
}

// Guards against a revoked key that works for longer than the lease, whatever is
// lost, late, suspended, restarted or replaced.
var _ = ginkgo.It("a revoked key is served nowhere after its lease, over 2,000 random schedules", func() {
	served := 0
	for seed := range uint64(2_000) {
		start := time.Unix(1_700_000_000, 0)
		r := &revocationRun{rand: rand.New(rand.NewPCG(seed, 7)), now: start, term: 1} //nolint:gosec // a schedule
		r.revokedAt = start.Add(5*time.Second + r.duration(20*time.Second))
		r.restart(nil)
		for r.now.Before(start.Add(revocationTime)) {
			r.step()
			r.expectKeys(seed)
		}
		served += r.served
	}
	Expect(served).To(BeNumerically(">", 2_000*100), "checks that found the key valid")
})
