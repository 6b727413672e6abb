package instance

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/lookup"
	"azurestair.example/azurestair/routing"
	"azurestair.example/azurestair/upstream"
)

// dispatcherFactory builds the dispatcher of a service. Tests and benchmarks
// replace it.
type dispatcherFactory func(s azurestair.ServiceName, e *Entry) *dispatcher

// Entry serves lookups and requests. Its methods are safe for concurrent use,
// except for publish, update, tick, demands and hasWaiting, which only the
// control goroutine calls.
type Entry struct {
	self  azurestair.InstanceInfo
	clock azurestair.Clock
	// leaseClock judges leases and the age of what the control goroutine
	// publishes; nil stands for clock.
	leaseClock     azurestair.LeaseClock
	log            *slog.Logger
	upstreamClient *upstream.Client
	ledger         Ledger
	metrics        *processMetrics
	makeDispatcher dispatcherFactory
	linkPacer      *linkPacer
	// quota admits requests by the rate limits of workspaces; it may be nil.
	quota *quotaGate
	// maxInFlight bounds the requests in progress; zero means no limit.
	maxInFlight int64

	requestLog requestLogLimiter

	// leaving reports upstreams that say that they are leaving; it may be nil.
	leaving *leavingReporter

	// linkMu guards ownLink, which admits requests by the bandwidth of the
	// entry's own network link.
	linkMu  sync.Mutex
	ownLink admission.LinkLimiter

	// splitMu guards splitters, which distribute the requests of each route
	// over its parts, and homeTracker, which determines for which hosts
	// requests are kept in their home region.
	splitMu     sync.Mutex
	splitters   map[azurestair.RouteName]*routing.Splitter
	homeTracker lookup.HomeRegionTracker

	// routesOf is the configuration whose routes are kept. Only update uses it.
	routesOf *azurestair.Config

	// processes holds the incarnation that the last snapshot listed at each
	// address of an upstream. Only update uses it.
	processes map[string]azurestair.Incarnation

	clientMemory clientMemory
	// panics records panics of attempts; it may be nil.
	panics *panicLog
	view   atomic.Pointer[view]
	// shutdown limits the requests that are accepted after a shutdown has
	// begun; nil before that.
	shutdown      atomic.Pointer[admission.Shutdown]
	dispatchers   atomic.Pointer[map[azurestair.ServiceName]*dispatcher]
	claimAttempts atomic.Uint64
	inFlight      atomic.Int64

	ctx context.Context
	wg  sync.WaitGroup
}

// publish makes a view visible to traffic.
func (e *Entry) publish(v *view) {
	e.view.Store(v)
	e.updateSlots(e.leaseNow())
}

// update applies the services and upstreams of a new snapshot.
func (e *Entry) update(s *azurestair.Snapshot) {
	dispatchers := map[azurestair.ServiceName]*dispatcher{}
	maps.Copy(dispatchers, e.allDispatchers())
	for _, service := range s.Config.Services {
		if _, ok := dispatchers[service.Name]; !ok {
			d := dispatcherFor(service.Name, e, s.Config)
			dispatchers[service.Name] = d
			e.wg.Go(func() { d.run(e.ctx) })
		}
	}
	for _, d := range dispatchers {
		d.update(s)
	}
	e.dispatchers.Store(&dispatchers)
	e.forgetRoutes(s.Config)
	e.limitConns(s)
	e.retireConns(s)
}

// refreshConfirmations tells the pickers that the leader has confirmed the
// current snapshot. Its upstreams then stay confirmed.
func (e *Entry) refreshConfirmations(s *azurestair.Snapshot) {
	for _, d := range e.allDispatchers() {
		d.update(s)
	}
}

// limitConns divides each upstream's connection limit among the entries.
func (e *Entry) limitConns(s *azurestair.Snapshot) {
	keep := map[string]bool{}
	entries := entryCount(s)
	for _, u := range s.Upstreams {
		a := u.Announcement
		keep[a.Addr] = true
		limit := a.MaxConns
		if service, ok := s.Config.Service(a.Service); ok && service.MaxConns > 0 {
			limit = service.MaxConns
		}
		e.upstreamClient.SetLimit(a.Addr, limit/azurestair.Conns(entries))
	}
	e.upstreamClient.RetainOnly(keep)
}

// retireConns stops the reuse of connections to processes that have been replaced
// at their addresses. If a machine fails, nothing closes its connections, and the
// first request on each of them would fail.
func (e *Entry) retireConns(s *azurestair.Snapshot) {
	processes := make(map[string]azurestair.Incarnation, len(s.Upstreams))
	for _, u := range s.Upstreams {
		a := u.Announcement
		processes[a.Addr] = max(processes[a.Addr], a.Incarnation)
	}
	for addr, inc := range processes {
		if before, ok := e.processes[addr]; ok && before < inc {
			e.upstreamClient.RetireConns(addr)
		}
	}
	e.processes = processes
}

// tick adjusts the slots to leases that have expired, retires dispatchers and
// probes upstreams. now is a time of the lease clock.
func (e *Entry) tick(now time.Time) {
	e.retireDispatchers()
	e.updateSlots(now)
	e.probe(e.clock.Now())
}

// updateSlots sets the slots of each dispatcher from the leases valid at now.
func (e *Entry) updateSlots(now time.Time) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for name, d := range e.allDispatchers() {
		if !v.snapshot.Config.LeasesBudgets() {
			d.setSlots(azurestair.MaxSlots)
			continue
		}
		var n azurestair.Slots
		for _, r := range v.snapshot.Config.Regions {
			usable := v.slotLimit(name, r.Name, now)
			if r.Name != e.self.Region {
				usable = v.shiftLimit(name, r.Name, now)
			}
			d.setRegionSlots(r.Name, usable)
			n += usable
		}
		d.setSlots(n)
	}
}

// confirmState records the state that an upstream announced.
func (e *Entry) confirmState(a azurestair.Announcement) {
	if d, ok := e.allDispatchers()[a.Service]; ok {
		d.confirmState(a.Upstream, a.Incarnation, a.State)
	}
}

// demands lists this entry's usage of and demand for each budget.
func (e *Entry) demands(s *azurestair.Snapshot, h *control.LeaseHolder, now time.Time) []azurestair.Demand {
	var out []azurestair.Demand
	v := e.view.Load()
	if v == nil || !v.snapshot.Config.LeasesBudgets() {
		return nil
	}
	dispatchers := e.configuredDispatchers(s.Config)
	for _, name := range slices.SortedFunc(maps.Keys(dispatchers), cmp.Compare[azurestair.ServiceName]) {
		use := dispatchers[name].usage()
		home := v.slotLimit(name, e.self.Region, now)
		out = append(out, slotDemand(h, name, e.self.Region, use.inFlight[e.self.Region], use.waiting))
		overflow := max(0, use.inFlight[e.self.Region]+use.waiting-home)
		for _, r := range s.Config.Regions {
			if r.Name == e.self.Region {
				continue
			}
			used := int64(use.inFlight[r.Name])
			shift := azurestair.Resource{Kind: azurestair.ResourceShift, Service: name, Region: r.Name}
			mayShift := v.leases.Limit(shift, now)
			out = append(out, remoteDemand(h, name, r.Name, used, min(int64(overflow), max(0, mayShift-used))))
			out = append(out, h.Demand(shift, used, used+int64(overflow)))
		}
	}
	return append(out, e.linkPacer.demands(s, h, now)...)
}

// trafficCounts returns the request counts of each service of a configuration.
func (e *Entry) trafficCounts(cfg *azurestair.Config) map[azurestair.ServiceName]control.TrafficCount {
	counts := map[azurestair.ServiceName]control.TrafficCount{}
	for name, d := range e.configuredDispatchers(cfg) {
		counts[name] = d.trafficCount()
	}
	return counts
}

// demandMargin is added to the demand for slots, so that increasing load does
// not have to wait for the next report.
const demandMargin = 4

func slotDemand(h *control.LeaseHolder, s azurestair.ServiceName, region azurestair.RegionName, used, more azurestair.Slots) azurestair.Demand {
	r := azurestair.Resource{Kind: azurestair.ResourceSlots, Service: s, Region: region}
	want := int64(used + more)
	if want > 0 {
		want += want/4 + demandMargin
	}
	return h.Demand(r, int64(used), want)
}

// remoteDemand requests slots of another region. It adds no margin, and its
// caller limits it to what may be shifted: slots that an entry holds in another
// region without using them are lost to the entries of that region.
func remoteDemand(h *control.LeaseHolder, s azurestair.ServiceName, region azurestair.RegionName, used, more int64) azurestair.Demand {
	d := h.Demand(azurestair.Resource{Kind: azurestair.ResourceSlots, Service: s, Region: region}, used, used+more)
	d.OtherRegion = true
	return d
}

// hasWaiting reports whether requests are queued. An early report may then get
// more budget.
func (e *Entry) hasWaiting(time.Time) bool {
	for _, d := range e.allDispatchers() {
		if d.usage().waiting > 0 {
			return true
		}
	}
	return false
}

// beginShutdown limits the requests that the entry still accepts.
func (e *Entry) beginShutdown(s admission.Shutdown) { e.shutdown.Store(&s) }

// admitsDuringShutdown reports whether a request can still be served. It is
// true for all requests before a shutdown.
func (e *Entry) admitsDuringShutdown(w azurestair.RequestInfo, now time.Time) bool {
	s := e.shutdown.Load()
	return s == nil || s.Admits(w, now)
}

// isIdle reports whether no request is in progress.
func (e *Entry) isIdle() bool { return e == nil || e.inFlight.Load() == 0 }

// isReady reports whether lookups may return this entry.
func (e *Entry) isReady(now time.Time) bool { return e.readyAt(now) == nil }

// Ready returns nil if lookups may return this entry, and otherwise the reason
// why not.
func (e *Entry) Ready() error { return e.readyAt(e.leaseNow()) }

func (e *Entry) readyAt(now time.Time) error {
	v := e.view.Load()
	switch {
	case v == nil:
		return fmt.Errorf("%w: no snapshot yet", azurestair.ErrNoQuorum)
	case v.leaving:
		return fmt.Errorf("%w: shutting down", azurestair.ErrClosed)
	case v.snapshot.ConfigVersion() == 0:
		return fmt.Errorf("%w: no configuration yet", azurestair.ErrNotFound)
	case !v.snapshot.Config.LeasesBudgets():
		// Without leases, nothing that this entry uses expires, and callers are
		// served better here than elsewhere.
		return nil
	case !v.isCurrent(now):
		return fmt.Errorf("%w: the newest configuration is not known", azurestair.ErrNoQuorum)
	case v.starting:
		return fmt.Errorf("%w: no budgets yet", azurestair.ErrNoQuorum)
	}
	return nil
}

// Lookup returns the entries for the address block of addr, in order of
// preference.
func (e *Entry) Lookup(addr netip.Addr) caller.LookupResponse {
	v := e.view.Load()
	if v == nil {
		return caller.LookupResponse{}
	}
	found := v.table.Find(azurestair.BlockOf(addr))
	a := caller.LookupResponse{
		TTLMs:         v.snapshot.Config.Defaults.WithDefaults().LookupTTLMs,
		ConfigVersion: v.snapshot.ConfigVersion(),
		Entries:       make([]caller.Entry, 0, found.Len()),
	}
	current := v.isCurrent(e.leaseNow())
	for i := range found.Len() {
		info := found.At(i)
		if info.ID == e.self.ID && !current && found.Len() > 1 {
			continue
		}
		a.Entries = append(a.Entries, caller.Entry{
			Instance: info.ID, Addr: info.CallerAddr, Region: info.Region, FailureDomain: info.FailureDomain,
		})
	}
	e.metrics.lookups.Inc(1)
	return a
}

// announceTargets returns the addresses of the entries to which an upstream may
// announce itself. The order differs between upstreams, which spreads them over
// the entries.
func (e *Entry) announceTargets(id azurestair.UpstreamID) []string {
	v := e.view.Load()
	if v == nil {
		return nil
	}
	type ranked struct {
		addr string
		hash uint64
	}
	var list []ranked
	for _, i := range v.snapshot.Instances {
		if i.UpstreamAddr == "" || !i.Ready {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(id) + "/" + string(i.ID)))
		list = append(list, ranked{addr: i.UpstreamAddr, hash: h.Sum64()})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	out := make([]string, len(list))
	for i, r := range list {
		out[i] = r.addr
	}
	return out
}

// isDrained reports whether an operator has drained the upstream.
func (e *Entry) isDrained(a azurestair.Announcement) bool {
	v := e.view.Load()
	return v != nil && v.snapshot.IsUpstreamDrained(a)
}

// close waits for the dispatchers to stop. The entry's context must have ended.
func (e *Entry) close() {
	e.wg.Wait()
	e.upstreamClient.Close()
}
