package instance

import (
	"context"
	"io"
	"sync"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/routing"
)

// linkPacer limits the bandwidth of requests that cross into another region.
type linkPacer struct {
	entry *Entry

	mu       sync.Mutex
	limiters map[azurestair.Resource]*routing.LinkPacer
}

func linkResource(from, to azurestair.RegionName) azurestair.Resource {
	return azurestair.Resource{Kind: azurestair.ResourceLink, From: from, Region: to}
}

// isLinkLimited reports whether the configuration limits the link.
func isLinkLimited(cfg *azurestair.Config, from, to azurestair.RegionName) bool {
	for _, l := range cfg.Links {
		if l.From == from && l.To == to {
			return true
		}
	}
	return false
}

// hasBudget reports whether both directions between the entry's region and
// another region have link budget.
func (l *linkPacer) hasBudget(v *view, region azurestair.RegionName, now time.Time) bool {
	home := l.entry.self.Region
	for _, r := range []azurestair.Resource{linkResource(home, region), linkResource(region, home)} {
		if isLinkLimited(v.snapshot.Config, r.From, r.Region) && v.leases.Limit(r, now) <= 0 {
			return false
		}
	}
	return true
}

// recordBytes records n bytes transferred over a link and returns how long to
// wait before transferring more.
func (l *linkPacer) recordBytes(r azurestair.Resource, n int) time.Duration {
	v := l.entry.view.Load()
	if v == nil || !isLinkLimited(v.snapshot.Config, r.From, r.Region) {
		return 0
	}
	now := l.entry.leaseNow()
	limit := azurestair.BytesPerSecond(v.leases.Limit(r, now))
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.limiters[r]
	if !ok {
		m = &routing.LinkPacer{}
		l.limiters[r] = m
	}
	return m.Take(azurestair.Bytes(n), limit, now)
}

// demands lists the entry's usage of and demand for the links of its region.
func (l *linkPacer) demands(s *azurestair.Snapshot, h *control.LeaseHolder, now time.Time) []azurestair.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []azurestair.Demand
	for _, c := range s.Config.Links {
		if c.From != l.entry.self.Region && c.To != l.entry.self.Region {
			continue
		}
		r := linkResource(c.From, c.To)
		var used int64
		if m, ok := l.limiters[r]; ok {
			used = int64(m.Rate(now))
		}
		out = append(out, h.Demand(r, used, used+used/2))
	}
	return out
}

// pacedReader returns a reader that is limited to the link's budget.
func (l *linkPacer) pacedReader(ctx context.Context, r io.Reader, from, to azurestair.RegionName) io.Reader {
	return &pacedReader{Reader: r, ctx: ctx, pacer: l, link: linkResource(from, to)}
}

func (l *linkPacer) pacedBody(ctx context.Context, b io.ReadCloser, from, to azurestair.RegionName) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{l.pacedReader(ctx, b, from, to), b}
}

// pacedReader reads no faster than the link's budget allows.
type pacedReader struct {
	io.Reader
	ctx   context.Context
	pacer *linkPacer
	link  azurestair.Resource
}

// Read reads and then sleeps for as long as the link budget requires.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n == 0 {
		return n, err
	}
	wait := p.pacer.recordBytes(p.link, n)
	if wait <= 0 {
		return n, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.ctx.Done():
		return n, context.Cause(p.ctx)
	}
	return n, err
}
