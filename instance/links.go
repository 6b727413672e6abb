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

// links paces the bytes of requests that cross into another region.
type links struct {
	entry *Entry

	mu     sync.Mutex
	meters map[azurestair.Resource]*routing.LinkMeter
}

func linkOf(from, to azurestair.RegionName) azurestair.Resource {
	return azurestair.Resource{Kind: azurestair.ResourceLink, From: from, Region: to}
}

// hasLink reports whether the configuration limits the link.
func hasLink(cfg *azurestair.Config, from, to azurestair.RegionName) bool {
	for _, l := range cfg.Links {
		if l.From == from && l.To == to {
			return true
		}
	}
	return false
}

// allows reports whether both directions between the entry's region and
// another have budget left.
func (l *links) allows(v *view, region azurestair.RegionName, now time.Time) bool {
	home := l.entry.self.Region
	for _, r := range []azurestair.Resource{linkOf(home, region), linkOf(region, home)} {
		if hasLink(v.snapshot.Config, r.From, r.Region) && v.leases.Limit(r, now) <= 0 {
			return false
		}
	}
	return true
}

// take counts bytes that were moved over a link and returns how long to wait.
func (l *links) take(r azurestair.Resource, n int) time.Duration {
	v := l.entry.view.Load()
	if v == nil || !hasLink(v.snapshot.Config, r.From, r.Region) {
		return 0
	}
	now := l.entry.clock.Now()
	limit := azurestair.BytesPerSecond(v.leases.Limit(r, now))
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.meters[r]
	if !ok {
		m = &routing.LinkMeter{}
		l.meters[r] = m
	}
	return m.Take(azurestair.Bytes(n), limit, now)
}

// demands lists what the entry uses and wants of the links of its region.
func (l *links) demands(s *azurestair.Snapshot, h *control.Holder, now time.Time) []azurestair.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []azurestair.Demand
	for _, c := range s.Config.Links {
		if c.From != l.entry.self.Region && c.To != l.entry.self.Region {
			continue
		}
		r := linkOf(c.From, c.To)
		var used int64
		if m, ok := l.meters[r]; ok {
			used = int64(m.Rate(now))
		}
		out = append(out, h.Demand(r, used, used+used/2))
	}
	return out
}

// paced returns a reader that moves bytes over the link as its budget allows.
func (l *links) paced(ctx context.Context, r io.Reader, from, to azurestair.RegionName) io.Reader {
	return &pacedReader{Reader: r, ctx: ctx, links: l, link: linkOf(from, to)}
}

func (l *links) pacedBody(ctx context.Context, b io.ReadCloser, from, to azurestair.RegionName) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{l.paced(ctx, b, from, to), b}
}

// pacedReader reads no faster than the link's budget allows.
type pacedReader struct {
	io.Reader
	ctx   context.Context
	links *links
	link  azurestair.Resource
}

// Read reads and then waits as long as the bytes read take on the link.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n == 0 {
		return n, err
	}
	wait := p.links.take(p.link, n)
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
