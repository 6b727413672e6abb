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

// Endpoint is an HTTP endpoint of a process.
type Endpoint struct {
	// Name identifies the endpoint in log lines.
	Name    string
	Addr    string
	Handler http.Handler
	// IdleTimeout is how long an idle connection is kept; zero selects the
	// configured value.
	IdleTimeout time.Duration
	// CloseIdle closes the connections that have been idle the longest when
	// the connection limit is nearly reached. Callers of the endpoint must be
	// able to retry elsewhere.
	CloseIdle bool
}

// FrontEnd replaces the built-in interfaces to callers and upstreams. Routing,
// admission and control are unchanged.
type FrontEnd struct {
	// Endpoints returns the endpoints that the process serves.
	Endpoints func(p *Process) []Endpoint
	// Dialect is the protocol spoken to upstreams.
	Dialect upstream.Dialect
	// MaxReuseIdle is how recently a connection must have been used
	// successfully to carry a request that is not idempotent.
	MaxReuseIdle time.Duration
	// LinkRate is the bandwidth of the instance's own network link; zero means
	// no limit.
	LinkRate azurestair.BytesPerSecond
	// PeerAddr returns the address derived from the ID of a control instance.
	PeerAddr func(azurestair.InstanceID) string
	// VoterCount is the number of voters that the leader maintains in the log.
	VoterCount int
	// ElectionTimeout is how long control instances wait for an unresponsive
	// leader; zero selects the default. It must be the same on all of them.
	ElectionTimeout time.Duration
	// AnnounceInterval is the interval at which upstreams announce themselves.
	AnnounceInterval time.Duration
	// StaleLookupTime is how long callers keep using a lookup response after
	// its TTL has expired.
	StaleLookupTime time.Duration
}

const (
	// upstreamLeaseIntervals is the number of announcement intervals after
	// which an upstream no longer counts as confirmed. Announcements may be
	// seconds late.
	upstreamLeaseIntervals = 4
	// announcementTTLIntervals is the number of intervals without an
	// announcement after which this instance no longer reports an upstream as
	// alive.
	announcementTTLIntervals = 3
)

// Serve handles a caller's request and returns its reply.
func (p *Process) Serve(ctx context.Context, r *caller.Request) caller.Reply {
	return p.entry.Serve(ctx, r)
}

// CountRejected counts a reply that was sent without calling Serve.
func (p *Process) CountRejected(r *caller.Request, reply caller.Reply) {
	p.entry.CountRejected(r, reply)
}

// Ready returns nil if lookups may return this instance, and otherwise the
// reason why not.
func (p *Process) Ready() error {
	if p.entry == nil {
		return nil
	}
	return p.entry.Ready()
}

// LookupNear returns the ready entries nearest to the caller, at most limit.
func (p *Process) LookupNear(c lookup.Caller, limit int) caller.LookupResponse {
	return p.entry.lookupNear(c, limit)
}

func (e *Entry) lookupNear(c lookup.Caller, limit int) caller.LookupResponse {
	v := e.view.Load()
	if v == nil {
		return caller.LookupResponse{}
	}
	a := caller.LookupResponse{
		TTLMs:         v.snapshot.Config.Defaults.WithDefaults().LookupTTLMs,
		ConfigVersion: v.snapshot.ConfigVersion(),
	}
	for _, i := range v.locations.Near(c, e.isBoundToHome(v.snapshot.Config, c.Host), limit) {
		a.Entries = append(a.Entries, caller.Entry{Instance: i.ID, Addr: i.CallerAddr, Region: i.Region, FailureDomain: i.FailureDomain})
	}
	e.metrics.lookups.Inc(1)
	return a
}

// isBoundToHome reports whether callers of a host should be kept in their home
// region.
func (e *Entry) isBoundToHome(cfg *azurestair.Config, host string) bool {
	e.splitMu.Lock()
	defer e.splitMu.Unlock()
	return e.homeTracker.IsHomeBound(cfg, host)
}

// Announce handles an upstream's announcement.
func (p *Process) Announce(ctx context.Context, a azurestair.Announcement) error {
	return p.controller.Announce(ctx, a)
}

// Propose submits a command to the leader.
func (p *Process) Propose(ctx context.Context, c azurestair.Command) (azurestair.Result, error) {
	return p.reporter.propose(ctx, c)
}

// Query reads the control state from the leader, without using the network if
// this instance is the leader.
func (p *Process) Query(ctx context.Context, q control.Query) (control.QueryResult, error) {
	res, err := p.controller.Query(ctx, q)
	if errors.Is(err, azurestair.ErrNotLeader) {
		return p.peerClient.Query(ctx, q)
	}
	return res, err
}

// Log returns the logger of the process.
func (p *Process) Log() *slog.Logger { return p.log }

// Metrics returns the metrics of the process.
func (p *Process) Metrics() Metrics { return p.metrics }
