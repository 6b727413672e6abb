package routing

import (
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Update takes over the upstreams of the service from a snapshot. The entry
// calls it only when it hears from control, again with the same snapshot if
// that has not changed: each call confirms the upstreams that control lists as
// confirmed.
func (p *Weighted) Update(s *azurestair.Snapshot, now time.Time) {
	if s == nil {
		return
	}
	p.contactAt = now
	p.advance(now)
	if s != p.snapshot {
		p.takeOver(s, now)
	}
	for _, w := range p.order {
		p.settle(w, now)
	}
	p.keepEjectLimit(now)
}

func (p *Weighted) takeOver(s *azurestair.Snapshot, now time.Time) {
	p.snapshot = s
	p.defaults = azurestair.Defaults{}.WithDefaults()
	if s.Config != nil {
		p.defaults = s.Config.Defaults.WithDefaults()
	}
	for _, w := range p.order {
		w.listed = false
	}
	newcomers := p.takeUpstreams(s, now)
	p.configure(s)
	// Slow start compares a newcomer with workers that are warm. When most of
	// the service is new to this entry, as after its own start, there are none.
	if !p.started || 2*len(newcomers) > p.listed {
		for _, w := range newcomers {
			w.cold, w.outSince = false, now
		}
	}
	p.started = p.started || p.listed > 0
	p.forget(now)
}

// takeUpstreams takes over the listed upstreams and returns the new ones.
func (p *Weighted) takeUpstreams(s *azurestair.Snapshot, now time.Time) []*worker {
	var newcomers []*worker
	p.listed = 0
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !p.opts.serves(u.Announcement) {
			continue
		}
		p.listed++
		if w := p.takeUpstream(u, now); w != nil {
			newcomers = append(newcomers, w)
		}
	}
	return newcomers
}

// takeUpstream takes over one upstream; it returns the worker if its process is new.
func (p *Weighted) takeUpstream(u *azurestair.UpstreamInfo, now time.Time) *worker {
	a := u.Announcement
	w := p.workers[a.Upstream]
	known := w != nil
	if !known {
		w = newWorker(now)
		p.workers[a.Upstream] = w
		p.order = append(p.order, w)
	}
	w.listed, w.listedConfirmed = true, u.Confirmed
	moved := a.Region != w.info.Region || a.FailureDomain != w.info.FailureDomain
	isNew := !known || a.Incarnation > w.info.Incarnation || moved && a.Newer(w.info)
	if isNew {
		p.startProcess(w, a, now)
	}
	if isNew || a.Newer(w.info) {
		w.info = a
		w.setState(a.State, now)
		w.reportedLoad, w.reportedAt = reportedLoad(a), now
	}
	if isNew {
		return w
	}
	return nil
}

// startProcess prepares the worker for a new process of the upstream. The late
// slots of the earlier process are free, since it no longer runs.
func (p *Weighted) startProcess(w *worker, a azurestair.Announcement, now time.Time) {
	if w.tier != nil {
		p.releaseLate(w, len(w.lateUntil))
		p.forgetEjection(w)
	}
	w.restart(now)
	w.moveTo(nil)
	w.usable = false
	p.setTier(w, p.tierFor(a.Region, a.FailureDomain))
}

// setTier moves the worker's attempts in flight along, so that each tier's
// count stays equal to the attempts that Done will end.
func (p *Weighted) setTier(w *worker, t *tier) {
	n := azurestair.Slots(w.inFlight)
	if w.tier != nil {
		w.tier.inFlight -= n
	}
	t.inFlight += n
	w.tier = t
}

func (p *Weighted) tierFor(r azurestair.RegionName, d azurestair.FailureDomainName) *tier {
	if p.opts.isHome(r) {
		if p.opts.FailureDomain == "" || d == p.opts.FailureDomain {
			return &p.domain
		}
		return &p.region
	}
	for _, t := range p.remote {
		if t.region == r {
			return t
		}
	}
	t := &tier{region: r, remote: true}
	p.remote = append(p.remote, t)
	return t
}

// configure applies drains and exceptions to the listed workers.
func (p *Weighted) configure(s *azurestair.Snapshot) {
	weights := exceptions(s, azurestair.SettingWeight)
	caps := exceptions(s, azurestair.SettingSlots)
	clear(p.total)
	for _, w := range p.order {
		if !w.listed {
			p.forgetEjection(w)
			continue
		}
		w.drained = s.IsUpstreamDrained(w.info)
		w.weight = 1
		if v, ok := exceptionFor(weights, w.info); ok {
			w.weight = float64(v) / 100
		}
		slots := w.info.Slots
		if v, ok := exceptionFor(caps, w.info); ok {
			slots = min(slots, azurestair.Slots(v))
		}
		w.slots = slots
		if !w.drained {
			p.total[w.info.Region] += slots
		}
	}
	p.shareOut()
}

// SetShare takes over how many requests into a region the entry has leased.
// The entry may use the same part of each worker there. Without a lease it is
// the part that all entries would have if they shared evenly.
func (p *Weighted) SetShare(region azurestair.RegionName, leased azurestair.Slots, now time.Time) {
	if p.leased[region] == leased {
		return
	}
	p.leased[region] = leased
	p.shareOut()
	for _, w := range p.order {
		if w.info.Region == region {
			p.settle(w, now)
		}
	}
}

func (p *Weighted) shareOut() {
	for _, w := range p.order {
		even := 1 / float64(p.opts.Entries)
		part := even
		if total := p.total[w.info.Region]; total > 0 {
			part = max(even, min(1, float64(p.leased[w.info.Region])/float64(total)))
		}
		w.setShare(w.slots, part, p.opts.Entries)
	}
}

// exceptions returns the values of one setting by target.
func exceptions(s *azurestair.Snapshot, setting azurestair.ExceptionSetting) map[azurestair.Target]int64 {
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

// exceptionFor returns the value for the upstream; one for the upstream itself
// goes before one for its failure domain.
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

// forget drops workers that have long been unlisted and hold nothing.
func (p *Weighted) forget(now time.Time) {
	p.order = slices.DeleteFunc(p.order, func(w *worker) bool {
		if w.listed || w.inFlight > 0 || now.Sub(w.outSince) < forgetAfter {
			return false
		}
		w.moveTo(nil)
		p.agenda.drop(w)
		delete(p.workers, w.info.Upstream)
		return true
	})
}
