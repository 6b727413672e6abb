package instance

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/quota"
)

// quotaGate admits the requests of workspaces with a rate limit at an entry and
// asks the leader for rate tokens. A nil gate admits all requests.
type quotaGate struct {
	// clock is the lease clock: leases of tokens end while the process is
	// suspended.
	clock azurestair.Clock
	asker azurestair.QuotaAsker
	log   *slog.Logger
	stats *quotaStats
	// wake is signalled when an ask is due earlier than run has been told.
	wake chan struct{}
	// limited are the workspaces that have a limit.
	limited atomic.Pointer[limitedWorkspaces]

	// mu guards the holder and what follows. It is held for short, and never
	// during a call.
	mu      sync.Mutex
	holder  *quota.Holder
	waiting map[quota.Ticket]chan quota.Decision
	// armedAt is when run sends the next ask; zero means that it waits for wake.
	armedAt time.Time
}

// limitedWorkspaces are the workspaces of a configuration that have a limit.
type limitedWorkspaces struct {
	version azurestair.ConfigVersion
	names   map[azurestair.WorkspaceName]bool
}

func newQuotaGate(self azurestair.InstanceInfo, clock azurestair.Clock, log *slog.Logger, m *processMetrics) *quotaGate {
	return &quotaGate{
		clock: clock, log: log, stats: newQuotaStats(m.registry, log), wake: make(chan struct{}, 1),
		holder: quota.NewHolder(self.ID, self.Incarnation), waiting: map[quota.Ticket]chan quota.Decision{},
	}
}

// isLimited reports whether a workspace has a limit in the newest configuration
// that a request has come with.
func (g *quotaGate) isLimited(cfg *azurestair.Config, name azurestair.WorkspaceName) bool {
	l := g.limited.Load()
	if l == nil || cfg.Version > l.version {
		l = &limitedWorkspaces{version: cfg.Version, names: map[azurestair.WorkspaceName]bool{}}
		for _, w := range cfg.Workspaces {
			if w.IsLimited() {
				l.names[w.Name] = true
			}
		}
		g.limited.Store(l)
		g.mu.Lock()
		g.holder.Retain(func(n azurestair.WorkspaceName) bool { return l.names[n] })
		g.mu.Unlock()
		g.stats.retain(l.names)
	}
	return l.names[name]
}

// admit decides on a request. It waits for a token if the entry has none, but
// not if the workspace is known to be over its limit.
func (g *quotaGate) admit(ctx context.Context, cfg *azurestair.Config, w azurestair.RequestInfo) quota.Decision {
	if g == nil || w.Workspace == "" || !g.isLimited(cfg, w.Workspace) {
		return quota.Decision{Verdict: quota.Unlimited}
	}
	now := g.clock.Now()
	g.mu.Lock()
	d := g.holder.Take(w.Workspace, now)
	var decided chan quota.Decision
	if d.Verdict == quota.Waiting {
		decided = make(chan quota.Decision, 1)
		g.waiting[d.Ticket] = decided
	}
	due := g.holder.NextAsk()
	wake := !due.IsZero() && (g.armedAt.IsZero() || due.Before(g.armedAt))
	g.mu.Unlock()
	if wake {
		g.signal()
	}
	if decided != nil {
		d = g.wait(ctx, w.Workspace, d.Ticket, decided)
	}
	g.stats.count(w.Workspace, d.Verdict, now)
	return d
}

func (g *quotaGate) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// wait waits for the decision on a request, but not past the deadline of ctx,
// which is not by the lease clock.
func (g *quotaGate) wait(ctx context.Context, name azurestair.WorkspaceName, t quota.Ticket, decided <-chan quota.Decision) quota.Decision {
	longest := quota.MaxWait
	if deadline, ok := ctx.Deadline(); ok {
		longest = min(longest, time.Until(deadline)-replyReserve)
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	d, ok := g.holder.Cancel(name, t, g.clock.Now())
	delete(g.waiting, t)
	g.mu.Unlock()
	if !ok {
		// The decision was made meanwhile.
		d = <-decided
	}
	return d
}

// refund returns the token of a request that no upstream has run.
func (g *quotaGate) refund(name azurestair.WorkspaceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Refund(name, g.clock.Now())
}

// run sends the asks of the holder, one at a time, until ctx ends.
func (g *quotaGate) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		due := g.arm()
		if !due.IsZero() && !g.clock.Now().Before(due) {
			g.ask(ctx)
			due = g.arm()
		}
		timer.Stop()
		if !due.IsZero() {
			timer.Reset(max(0, due.Sub(g.clock.Now())))
		}
	}
}

// arm returns when the next ask is due, or the zero time if none is.
func (g *quotaGate) arm() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armedAt = g.holder.NextAsk()
	return g.armedAt
}

// ask sends one ask and passes on the decisions of its answer.
func (g *quotaGate) ask(ctx context.Context) {
	g.mu.Lock()
	ask := g.holder.Ask(g.clock.Now())
	g.mu.Unlock()
	answer, err := g.asker.AskQuota(ctx, ask)
	g.stats.countAsk(err)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.holder.Abandon(ask.Sequence)
		return
	}
	for _, d := range g.holder.Answer(answer, g.clock.Now()) {
		if decided, ok := g.waiting[d.Ticket]; ok {
			delete(g.waiting, d.Ticket)
			decided <- d
		}
	}
	// A no-op unless the answer was to another ask.
	g.holder.Abandon(ask.Sequence)
}

// localLeaderQuota asks this instance while it is the leader, and otherwise
// over the network.
type localLeaderQuota struct {
	controller *Controller
	remote     azurestair.QuotaAsker
}

// AskQuota asks the leader for rate tokens.
func (l localLeaderQuota) AskQuota(ctx context.Context, ask azurestair.QuotaAsk) (azurestair.QuotaAnswer, error) {
	answer, err := l.controller.AskQuota(ctx, ask)
	if errors.Is(err, azurestair.ErrNotLeader) {
		return l.remote.AskQuota(ctx, ask)
	}
	return answer, err
}

// startQuota starts asking for the rate tokens of the entry.
func (p *Process) startQuota(ctx context.Context) {
	if p.entry == nil {
		return
	}
	p.entry.quota.asker = p.peerClient
	if p.transport != nil {
		p.entry.quota.asker = localLeaderQuota{controller: p.controller, remote: p.peerClient}
	}
	p.wg.Go(func() { p.entry.quota.run(ctx) })
}
