package instance

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/caller"
)

// idleClosePercent is the percentage of a listener's connection limit above
// which idle connections are closed. The rest is kept for new connections.
const idleClosePercent = 80

// newServer returns the HTTP server of an endpoint, and its listener with the
// limits on connections.
func (p *Process) newServer(l net.Listener, endpoint Endpoint) (net.Listener, *http.Server) {
	handler := p.panics.handler(endpoint.Name, endpoint.Handler)
	limits := p.settings.Limits
	if endpoint.CloseIdle {
		s := caller.NewHTTPServer(handler, caller.Limits{
			MaxHeaderBytes: int(limits.MaxHeaderBytes),
			HeaderTimeout:  limits.HeaderTimeoutMs.Duration(),
			IdleTimeout:    cmp.Or(endpoint.IdleTimeout, limits.IdleTimeoutMs.Duration()),
		})
		if n := int(limits.MaxConns); n > 0 {
			l = netutil.LimitListener(l, n)
			s.ConnState = newIdleConns(n * idleClosePercent / 100).connState
		}
		return l, s
	}
	conns := newClientConns(endpoint.Name, p.clientLimits, p)
	p.wg.Go(func() { conns.run(p.runCtx) })
	s := caller.NewHTTPServer(clientGuard{next: handler, conns: conns}, caller.Limits{MaxHeaderBytes: int(limits.MaxHeaderBytes)})
	s.ConnState = conns.connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, clientConnKey{}, c)
	}
	return &clientListener{Listener: l, conns: conns}, s
}

// effectiveLimits are the limits of clients that are in force.
type effectiveLimits struct {
	admission.ConnLimits
	maxHeaderBytes azurestair.Bytes
	bodyTimeout    time.Duration
}

// clientLimits returns the limits of the configuration in effect, and those of
// the settings where it has none.
func (p *Process) clientLimits() effectiveLimits {
	var c azurestair.ClientLimits
	if p.entry != nil {
		if v := p.entry.view.Load(); v != nil && v.snapshot.Config != nil {
			c = v.snapshot.Config.Clients
		}
	}
	l := p.settings.Limits
	return effectiveLimits{
		ConnLimits: admission.ConnLimits{
			MaxConns:      l.MaxConns,
			HeaderTimeout: cmp.Or(c.HeaderTimeoutMs, l.HeaderTimeoutMs).Duration(),
			IdleTimeout:   cmp.Or(c.IdleTimeoutMs, l.IdleTimeoutMs).Duration(),
		},
		maxHeaderBytes: cmp.Or(c.MaxHeaderBytes, l.MaxHeaderBytes),
		bodyTimeout:    l.BodyTimeoutMs.Duration(),
	}
}
