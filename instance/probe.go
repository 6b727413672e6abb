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
			if addr := v.addrOf(id); addr != "" {
				p := &prober{entry: e, dispatcher: d, id: id, addr: addr, deadline: now.Add(probeTimeout)}
				e.wg.Go(p.run)
			}
		}
	}
}

// prober sends one probe.
type prober struct {
	entry      *Entry
	dispatcher *dispatcher
	id         azurestair.UpstreamID
	addr       string
	deadline   time.Time
}

func (p *prober) run() {
	a := upstream.Attempt{
		ID: "probe-" + azurestair.RequestID(p.id), Method: http.MethodGet, Path: probePath,
		Idempotent: true, NewConn: true, Deadline: p.deadline,
	}
	ctx, cancel := context.WithDeadline(p.entry.ctx, p.deadline)
	defer cancel()
	resp, err := p.entry.upstreamClient.Do(ctx, p.addr, a)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, retryBufferLimit))
	_ = resp.Body.Close()
	if resp.State != "" {
		p.dispatcher.confirmState(p.id, resp.State)
	}
}

// addrOf returns the address of an upstream, or an empty string if it is not
// listed.
func (v *view) addrOf(id azurestair.UpstreamID) string {
	for _, u := range v.snapshot.Upstreams {
		if u.Announcement.Upstream == id {
			return u.Announcement.Addr
		}
	}
	return ""
}
