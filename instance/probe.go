package instance

import (
	"context"
	"io"
	"net/http"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/upstream"
)

const (
	// probePath is the path on which upstreams answer probes.
	probePath = "/azurestair/probe"
	// probeTimeout bounds a probe, which normally takes about 6 ms.
	probeTimeout = 500 * time.Millisecond
)

// probe probes the upstreams whose state was not confirmed recently.
func (e *Entry) probe(now time.Time) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for _, d := range e.allDispatchers() {
		for _, id := range d.probeCandidates() {
			if u, ok := v.snapshot.Upstream(id); ok {
				p := &prober{entry: e, dispatcher: d, target: u.Announcement, deadline: now.Add(probeTimeout)}
				e.wg.Go(p.run)
			}
		}
	}
}

// prober sends one probe.
type prober struct {
	entry      *Entry
	dispatcher *dispatcher
	target     azurestair.Announcement
	deadline   time.Time
}

func (p *prober) run() {
	a := upstream.Attempt{
		ID: "probe-" + azurestair.RequestID(p.target.Upstream), Method: http.MethodGet, Path: probePath,
		Idempotent: true, NewConn: true, Deadline: p.deadline,
	}
	ctx, cancel := context.WithDeadline(p.entry.ctx, p.deadline)
	defer cancel()
	resp, err := p.entry.upstreamClient.Do(ctx, p.target.Addr, a)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, retryBufferLimit))
	_ = resp.Body.Close()
	if resp.State != "" {
		p.dispatcher.confirmState(p.target.Upstream, p.target.Incarnation, resp.State)
	}
}
