package routing

import (
	"math/rand/v2"
	"time"

	"azurestair.example/azurestair"
)

// RegionBudget says whether one more request into a region is within the
// leased budget, given how many are in flight there from this entry.
type RegionBudget func(region azurestair.RegionName, inFlight azurestair.Slots, now time.Time) bool

// Options configures a picker. The zero value serves every upstream of the
// snapshot as local and shares no worker with other entry instances.
type Options struct {
	// Service is the service whose upstreams are used; empty means all.
	Service azurestair.ServiceName
	// Region is the region of the entry; empty means that every region is local.
	Region azurestair.RegionName
	// FailureDomain is the failure domain of the entry; empty means no preference within the region.
	FailureDomain azurestair.FailureDomainName
	// Rand is the random source; nil means a generator with a fixed seed.
	Rand azurestair.Rand
	// Home permits choices in the entry's own region; nil permits all.
	Home RegionBudget
	// Shift permits choices in other regions; nil permits none.
	Shift RegionBudget
	// Entries is the number of entry instances that share each worker; zero means one.
	Entries int
	// Samples is how many candidates a choice compares; zero means two.
	Samples int
	// LateSlot is how long a slot stays counted after a timeout; zero means DefaultLateSlot.
	LateSlot time.Duration
	// Without turns mechanisms off, for comparison.
	Without Mechanisms
}

// Mechanisms names parts of Weighted that can be turned off for comparison.
type Mechanisms struct {
	// Latency is the comparison by own latency.
	Latency bool
	// LoadReports is the hint from load reports.
	LoadReports bool
	// SlowStart is the ramp of new and returned upstreams.
	SlowStart bool
	// Ejection is outlier ejection with its breaker.
	Ejection bool
	// Penalty is the failure penalty.
	Penalty bool
}

const (
	// DefaultLateSlot is how long the slot of a timed-out attempt stays
	// counted, because the upstream may still be working on it.
	DefaultLateSlot = 10 * time.Second
	// ConfirmFor is how long a confirmation of the serving state lasts. It
	// equals the lease of an announcement.
	ConfirmFor = 3 * time.Second
	// ProbeCost is the slot time that one probe takes.
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
	if o.LateSlot <= 0 {
		o.LateSlot = DefaultLateSlot
	}
	return o
}

func (o Options) serves(a azurestair.Announcement) bool {
	return o.Service == "" || a.Service == o.Service
}

func (o Options) isHome(r azurestair.RegionName) bool {
	return o.Region == "" || r == o.Region
}
