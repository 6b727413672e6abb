package routing

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Update applies the upstreams of the service in a snapshot. The entry calls it
// only after contact with control, because each call renews the confirmation of
// the upstreams that are listed as confirmed. If nothing has changed, the
// snapshot is the same as before.
func (p *Weighted) Update(s *azurestair.Snapshot, now time.Time) {
	if s == nil {
		return
	}
	p.updatedAt = now
	p.advance(now)
	if s != p.snapshot {
		p.applySnapshot(s, now)
	}
	for _, u := range p.upstreams {
		p.reclassify(u, now)
	}
	p.enforceMaxEjected(now)
}

func (p *Weighted) applySnapshot(s *azurestair.Snapshot, now time.Time) {
	p.snapshot = s
	p.defaults = azurestair.Defaults{}.WithDefaults()
	if s.Config != nil {
		p.defaults = s.Config.Defaults.WithDefaults()
	}
	p.removeUnlisted(now)
	for _, u := range p.upstreams {
		u.listed = false
	}
	added := p.updateUpstreams(s, now)
	p.applyConfig(s)
	// Slow start limits a new upstream in comparison with warm ones. If most of
	// the service is new to this entry, as after its own start, there are no
	// warm ones, and slow start is skipped.
	if !p.initialized || 2*len(added) > p.listedCount {
		for _, u := range added {
			u.cold, u.unusableSince = false, now
		}
	}
	p.initialized = p.initialized || p.listedCount > 0
}

// updateUpstreams applies the listed upstreams and returns the new ones.
func (p *Weighted) updateUpstreams(s *azurestair.Snapshot, now time.Time) []*upstream {
	var added []*upstream
	p.listedCount = 0
	for i := range s.Upstreams {
		info := &s.Upstreams[i]
		if !p.opts.serves(info.Announcement) {
			continue
		}
		p.listedCount++
		if u := p.updateUpstream(info, now); u != nil {
			added = append(added, u)
		}
	}
	return added
}

// updateUpstream applies one listed upstream and returns it if its process is
// new, otherwise nil.
func (p *Weighted) updateUpstream(info *azurestair.UpstreamInfo, now time.Time) *upstream {
	a := info.Announcement
	u := p.byID[a.Upstream]
	known := u != nil
	if !known {
		u = newUpstream(now)
		p.byID[a.Upstream] = u
		p.upstreams = append(p.upstreams, u)
	}
	u.listed, u.listedConfirmed = true, info.Confirmed
	moved := a.Region != u.announcement.Region || a.FailureDomain != u.announcement.FailureDomain
	isNew := !known || a.Incarnation > u.announcement.Incarnation || moved && a.IsNewerThan(u.announcement)
	if isNew {
		p.resetProcess(u, a, now)
	}
	if isNew || a.IsNewerThan(u.announcement) || isListedDeparture(u.announcement, a) {
		u.announcement = a
		u.setState(a.State, now)
		u.reportedLoad, u.reportedAt = reportedLoad(a), now
	}
	if isNew {
		return u
	}
	return nil
}

// isListedDeparture reports whether a listing ends new work for the upstream that is
// known by the announcement. The leader lists a departure that another party has
// reported under the sequence of the upstream's last announcement.
func isListedDeparture(known, listed azurestair.Announcement) bool {
	return listed.Incarnation == known.Incarnation && listed.Sequence == known.Sequence && listed.State != azurestair.StateServing
}

// resetProcess prepares the upstream for a new process. The slots of all attempts
// to the earlier one are released, because the new one does not process them. They
// may last until their deadlines if nothing has closed their connections.
func (p *Weighted) resetProcess(u *upstream, a azurestair.Announcement, now time.Time) {
	if u.tier != nil {
		p.releaseLate(u, len(u.lateUntil))
		if a.Incarnation > u.announcement.Incarnation {
			u.earlier, u.inFlight = u.earlier+u.inFlight, 0
		}
		p.resetHealth(u)
	}
	u.reset(now)
	u.moveTo(nil)
	u.usable = false
	p.setTier(u, p.tierFor(a.Region, a.FailureDomain))
}

// setTier moves the upstream's in-flight attempts to the new tier, so that each
// tier's count matches the attempts that Done will end there.
func (p *Weighted) setTier(u *upstream, t *tier) {
	n := azurestair.Slots(u.inFlight + u.earlier)
	if u.tier != nil {
		u.tier.inFlight -= n
	}
	t.inFlight += n
	u.tier = t
}

func (p *Weighted) tierFor(r azurestair.RegionName, d azurestair.FailureDomainName) *tier {
	if p.opts.isLocal(r) {
		if p.opts.FailureDomain == "" || d == p.opts.FailureDomain {
			return &p.domainTier
		}
		return &p.regionTier
	}
	for _, t := range p.remoteTiers {
		if t.region == r {
			return t
		}
	}
	t := &tier{region: r, remote: true}
	p.remoteTiers = append(p.remoteTiers, t)
	return t
}

// applyConfig applies drains and exceptions to the listed upstreams.
func (p *Weighted) applyConfig(s *azurestair.Snapshot) {
	weights := exceptionValues(s, azurestair.SettingWeight)
	caps := exceptionValues(s, azurestair.SettingSlots)
	clear(p.totalSlots)
	for _, u := range p.upstreams {
		if !u.listed {
			p.resetHealth(u)
			continue
		}
		u.drained = s.IsUpstreamDrained(u.announcement)
		u.weight = 1
		if v, ok := exceptionFor(weights, u.announcement); ok {
			u.weight = float64(v) / 100
		}
		slots := u.announcement.Slots
		if v, ok := exceptionFor(caps, u.announcement); ok {
			slots = min(slots, azurestair.Slots(v))
		}
		u.slots = slots
		if !u.drained {
			p.totalSlots[u.announcement.Region] += slots
		}
	}
	p.recomputeShares()
}

// SetBudget sets how many requests into a region the entry has leased. The
// entry uses the same fraction of each upstream there, but at least the
// fraction that all entries would get in an even split.
func (p *Weighted) SetBudget(region azurestair.RegionName, leased azurestair.Slots, now time.Time) {
	if p.leasedSlots[region] == leased {
		return
	}
	p.leasedSlots[region] = leased
	p.recomputeShares()
	for _, u := range p.upstreams {
		if u.announcement.Region == region {
			p.reclassify(u, now)
		}
	}
}

func (p *Weighted) recomputeShares() {
	for _, u := range p.upstreams {
		evenShare := 1 / float64(p.opts.Entries)
		fraction := evenShare
		if total := p.totalSlots[u.announcement.Region]; total > 0 {
			fraction = max(evenShare, min(1, float64(p.leasedSlots[u.announcement.Region])/float64(total)))
		}
		u.setShare(u.slots, fraction, p.opts.Entries)
	}
}

// exceptions returns the values of one setting by target.
func exceptionValues(s *azurestair.Snapshot, setting azurestair.ExceptionSetting) map[azurestair.Target]int64 {
	values := map[azurestair.Target]int64{}
	if s.Config == nil {
		return values
	}
	for _, e := range s.Config.Exceptions {
		if e.Setting == setting {
			values[e.Target] = e.Value
		}
	}
	return values
}

// exceptionFor returns the value for the upstream. An exception for the
// upstream takes precedence over one for its failure domain.
func exceptionFor(values map[azurestair.Target]int64, a azurestair.Announcement) (int64, bool) {
	if len(values) == 0 {
		return 0, false
	}
	if v, ok := values[azurestair.Target{Kind: azurestair.TargetUpstream, Name: string(a.Upstream)}]; ok {
		return v, true
	}
	v, ok := values[azurestair.Target{Kind: azurestair.TargetFailureDomain, Name: string(a.FailureDomain)}]
	return v, ok
}

// removeUnlisted removes upstreams that have been unlisted for unlistedTTL and
// have nothing in flight. It must be called before a new snapshot lists them
// again.
func (p *Weighted) removeUnlisted(now time.Time) {
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *upstream) bool {
		if u.listed || u.inFlight > 0 || u.earlier > 0 || now.Sub(u.unusableSince) < unlistedTTL {
			return false
		}
		u.moveTo(nil)
		p.timers.cancel(u)
		delete(p.byID, u.announcement.Upstream)
		return true
	})
}
