package control

import (
	"time"

	"azurestair.example/azurestair"
)

// Addresses of upstreams are used again: an upstream that died without a word
// would stay listed for two lease times beside the one that has its address now,
// and each request sent to it there would be turned away.

// holder returns the other upstream that is listed at the announced address, or nil.
func (r *Registry) holder(a azurestair.Announcement) *upstreamRecord {
	id, ok := r.atAddr[a.Addr]
	if !ok || id == a.Upstream {
		return nil
	}
	rec := r.upstreams[id]
	if rec == nil || !rec.listed || rec.info.Announcement.Addr != a.Addr {
		return nil
	}
	return rec
}

// isReplaced reports whether an upstream that started later holds the address
// and has a lease: then the announcement was delayed. Without a lease it
// counts, in case the clocks that the starts were taken from differ.
func (r *Registry) isReplaced(a azurestair.Announcement, now time.Time) bool {
	rec := r.holder(a)
	return rec != nil && rec.info.Announcement.Incarnation > a.Incarnation && now.Before(rec.until)
}

// replace unlists the upstream that held the announced address before.
func (r *Registry) replace(a azurestair.Announcement, now time.Time) {
	if rec := r.holder(a); rec != nil && rec.info.Announcement.Incarnation < a.Incarnation {
		r.unlist(rec, now)
	}
	r.holdAddr(a)
}

func (r *Registry) holdAddr(a azurestair.Announcement) { r.atAddr[a.Addr] = a.Upstream }

// freeAddr forgets the holder of an address with its record.
func (r *Registry) freeAddr(a azurestair.Announcement) {
	if r.atAddr[a.Addr] == a.Upstream {
		delete(r.atAddr, a.Addr)
	}
}
