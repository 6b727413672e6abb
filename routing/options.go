package routing

import (
	"math/rand/v2"
	"time"

	"azurestair.example/azurestair"
)

// RegionBudget reports whether the leased budget permits one more request into
// a region, given the number that this entry has in flight there.
type RegionBudget func(region azurestair.RegionName, inFlight azurestair.Slots, now time.Time) bool

// Options configures a picker. The zero value treats every upstream of the
// snapshot as local and assumes that no other entry instance shares them.
type Options struct {
	// Service is the service whose upstreams are used; empty means all.
	Service azurestair.ServiceName
	// Region is the region of the entry; if empty, every region is local.
	Region azurestair.RegionName
	// FailureDomain is the failure domain of the entry; if empty, no domain is
	// preferred within the region.
	FailureDomain azurestair.FailureDomainName
	// Rand is the random source; nil selects a generator with a fixed seed.
	Rand azurestair.Rand
	// HomeBudget limits choices in the entry's own region; nil permits all.
	HomeBudget RegionBudget
	// ShiftBudget limits choices in other regions; nil permits none.
	ShiftBudget RegionBudget
	// Entries is the number of entry instances that share each upstream; zero
	// means one.
	Entries int
	// Samples is how many candidates each choice compares; zero means two.
	Samples int
	// LateSlotTTL is how long the slot of a timed-out attempt stays counted;
	// zero means DefaultLateSlotTTL.
	LateSlotTTL time.Duration
	// Disabled turns mechanisms off, for comparison.
	Disabled Mechanisms
}

// Mechanisms selects parts of Weighted to turn off for comparison.
type Mechanisms struct {
	// Latency is the comparison by measured latency.
	Latency bool
	// LoadReports is the weighting by reported load.
	LoadReports bool
	// SlowStart is the ramp-up of new and returning upstreams.
	SlowStart bool
	// Ejection is outlier ejection with its circuit breaker.
	Ejection bool
	// Penalty is the latency penalty after failures.
	Penalty bool
}

const (
	// DefaultLateSlotTTL is how long the slot of a timed-out attempt stays
	// counted, because the upstream may still be working on it.
	DefaultLateSlotTTL = 10 * time.Second
	// ConfirmationTTL is how long a confirmation of the serving state is valid.
	// It equals the lease of an announcement.
	ConfirmationTTL = 3 * time.Second
	// ProbeCost is the slot time that one probe uses.
	ProbeCost = 6 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Rand == nil {
		o.Rand = rand.NewPCG(1, 2)
	}
	if o.Entries < 1 {
		o.Entries = 1
	}
	if o.Samples < 1 {
		o.Samples = 2
	}
	if o.LateSlotTTL <= 0 {
		o.LateSlotTTL = DefaultLateSlotTTL
	}
	return o
}

func (o Options) serves(a azurestair.Announcement) bool {
	return o.Service == "" || a.Service == o.Service
}

func (o Options) isLocal(r azurestair.RegionName) bool {
	return o.Region == "" || r == o.Region
}
