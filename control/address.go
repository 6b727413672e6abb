package control

import (
	"time"

	"azurestair.example/azurestair"
)

// Upstream addresses are reused. Without address tracking, an upstream that
// died without deregistering would stay listed for two lease times beside the
// upstream that now has its address, which would reject every request sent to
// the dead one.

// addrOwner returns the other upstream that is listed at the announced address,
// or nil.
func (r *Registry) addrOwner(a azurestair.Announcement) *upstreamRecord {
	id, ok := r.ownerByAddr[a.Addr]
	if !ok || id == a.Upstream {
		return nil
	}
	rec := r.upstreams[id]
	if rec == nil || !rec.listed || rec.info.Announcement.Addr != a.Addr {
		return nil
	}
	return rec
}

// isSuperseded reports whether the address belongs to an upstream that started
// later and has an unexpired lease, which means that the announcement was
// delayed. Once that lease has expired the announcement is accepted, because
// the clocks behind the two start times may differ.
func (r *Registry) isSuperseded(a azurestair.Announcement, now time.Time) bool {
	rec := r.addrOwner(a)
	return rec != nil && rec.info.Announcement.Incarnation > a.Incarnation && now.Before(rec.expiresAt)
}

// takeOverAddr unlists the upstream that had the announced address before, if
// it started earlier, and records the new owner.
func (r *Registry) takeOverAddr(a azurestair.Announcement, now time.Time) {
	if rec := r.addrOwner(a); rec != nil && rec.info.Announcement.Incarnation < a.Incarnation {
		r.unlist(rec, now)
	}
	r.setAddrOwner(a)
}

// replaceInstancesAt unlists the control instances that reported the same peer
// address under another id. It returns false if one of them started later,
// which means that the report was delayed. An instance that lost its disk has a
// new id at its old address.
func (r *Registry) replaceInstancesAt(info azurestair.InstanceInfo, now time.Time) bool {
	if !info.Control || info.PeerAddr == "" {
		return true
	}
	for id, rec := range r.instances {
		if id == info.ID || !rec.listed || rec.info.PeerAddr != info.PeerAddr {
			continue
		}
		if rec.info.Incarnation > info.Incarnation {
			return false
		}
		r.RemoveInstance(id, now)
	}
	return true
}

func (r *Registry) setAddrOwner(a azurestair.Announcement) { r.ownerByAddr[a.Addr] = a.Upstream }

// releaseAddr removes the owner of an address. It must be called when the
// record of the owner is deleted.
func (r *Registry) releaseAddr(a azurestair.Announcement) {
	if r.ownerByAddr[a.Addr] == a.Upstream {
		delete(r.ownerByAddr, a.Addr)
	}
}
