package instance

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/lookup"
	"azurestair.example/azurestair/upstream"
)

// Surface is an HTTP interface of a process.
type Surface struct {
	// Name appears in logs.
	Name    string
	Addr    string
	Handler http.Handler
	// IdleTimeout is how long an idle connection is kept; zero stands for the setting.
	IdleTimeout time.Duration
	// ClosesIdle has the longest idle connections closed when there are nearly as
	// many as the limit, for callers that try again elsewhere.
	ClosesIdle bool
}

// Front replaces the product's own interfaces to callers and upstreams. The
// decisions behind them stay the same.
type Front struct {
	// Surfaces returns the interfaces that the process serves.
	Surfaces func(p *Process) []Surface
	// Dialect is how upstreams are spoken to.
	Dialect upstream.Dialect
	// FreshIdle is how recently a connection must have answered before it
	// carries a request that is not idempotent.
	FreshIdle time.Duration
	// LinkRate is the bandwidth of the instance's own link; zero means no limit.
	LinkRate azurestair.BytesPerSecond
	// PeerAddr returns the address that follows from the id of a control instance.
	PeerAddr func(azurestair.InstanceID) string
	// Voters is how many voters the leader keeps in the log.
	Voters int
	// ElectionTimeout is how long control instances wait for a silent leader;
	// zero stands for the default. It must be the same on all of them.
	ElectionTimeout time.Duration
	// AnnounceEvery is how often upstreams announce themselves.
	AnnounceEvery time.Duration
	// CallerHold is how long callers use a look-up answer beyond its time to live.
	CallerHold time.Duration
}

const (
	// leaseBeats is how many announcements an upstream may miss before it no
	// longer counts as confirmed. Announcements may be seconds late.
	leaseBeats = 4
	// announcedBeats is how many it may miss before this instance no longer
	// reports it as alive.
	announcedBeats = 3
)

// Serve handles a caller's request until its reply is known.
func (p *Process) Serve(ctx context.Context, r *caller.Request) caller.Reply {
	return p.entry.Serve(ctx, r)
}

// Rejected counts a reply that was given without Serve.
func (p *Process) Rejected(r *caller.Request, reply caller.Reply) { p.entry.Rejected(r, reply) }

// Ready reports why this instance may not be named in look-ups; nil if it may.
func (p *Process) Ready() error {
	if p.entry == nil {
		return nil
	}
	return p.entry.Ready()
}

// Near answers a look-up by place: ready entries, the nearest ones only.
func (p *Process) Near(c lookup.Caller, limit int) caller.LookupAnswer { return p.entry.near(c, limit) }

func (e *Entry) near(c lookup.Caller, limit int) caller.LookupAnswer {
	v := e.view.Load()
	if v == nil {
		return caller.LookupAnswer{}
	}
	a := caller.LookupAnswer{
		TTLMs:         v.snapshot.Config.Defaults.WithDefaults().LookupTTLMs,
		ConfigVersion: v.snapshot.ConfigVersion(),
	}
	for _, i := range v.places.Near(c, e.isBound(v.snapshot.Config, c.Host), limit) {
		a.Entries = append(a.Entries, caller.Entry{Instance: i.ID, Addr: i.CallerAddr, Region: i.Region, FailureDomain: i.FailureDomain})
	}
	e.metrics.lookups.Inc(1)
	return a
}

// isBound reports whether callers of a host should be kept in their region.
func (e *Entry) isBound(cfg *azurestair.Config, host string) bool {
	e.splitMu.Lock()
	defer e.splitMu.Unlock()
	return e.homes.IsBound(cfg, host)
}

// Announce takes an upstream's announcement of itself.
func (p *Process) Announce(ctx context.Context, a azurestair.Announcement) error {
	return p.controller.Announce(ctx, a)
}

// Propose has the leader apply a command.
func (p *Process) Propose(ctx context.Context, c azurestair.Command) (azurestair.Result, error) {
	return p.reporter.propose(ctx, c)
}

// Query reads the control state at the leader, without the network while this
// instance leads.
func (p *Process) Query(ctx context.Context, q control.Query) (control.QueryResult, error) {
	res, err := p.controller.Query(ctx, q)
	if errors.Is(err, azurestair.ErrNotLeader) {
		return p.client.Query(ctx, q)
	}
	return res, err
}

// Log returns the process's log.
func (p *Process) Log() *slog.Logger { return p.log }

// Metrics returns the process's metrics.
func (p *Process) Metrics() Metrics { return p.metrics }
