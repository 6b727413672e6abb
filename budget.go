package azurestair

import "fmt"

// ResourceKind says what a budget limits.
type ResourceKind string

const (
	// ResourceSlots limits the slots in use at a service's upstreams in a region.
	ResourceSlots ResourceKind = "slots"
	// ResourceShift limits the slots in use by work that crosses into a region.
	ResourceShift ResourceKind = "shift"
	// ResourceLink limits the bytes a second from one region to another.
	ResourceLink ResourceKind = "link"
)

// Resource names one budget. Service and Region name slots and shift
// budgets; From and Region name the direction of a link budget.
type Resource struct {
	Kind    ResourceKind `cbor:"1,keyasint" json:"kind"`
	Service ServiceName  `cbor:"2,keyasint,omitempty" json:"service,omitempty"`
	From    RegionName   `cbor:"3,keyasint,omitempty" json:"from,omitempty"`
	Region  RegionName   `cbor:"4,keyasint" json:"region"`
}

// String returns the name of the budget as logs and metrics show it.
func (r Resource) String() string {
	switch r.Kind {
	case ResourceLink:
		return fmt.Sprintf("link:%s>%s", r.From, r.Region)
	default:
		return fmt.Sprintf("%s:%s@%s", r.Kind, r.Service, r.Region)
	}
}

// Demand is what an entry uses and wants of a budget.
type Demand struct {
	Resource Resource `cbor:"1,keyasint" json:"resource"`
	InUse    int64    `cbor:"2,keyasint" json:"inUse"`
	Want     int64    `cbor:"3,keyasint" json:"want"`
	// Floor is the floor that the entry has now. The leader keeps a larger one
	// reserved until the entry reports the smaller one.
	Floor int64 `cbor:"4,keyasint,omitempty" json:"floor,omitempty"`
	// Remote is true for slots outside the entry's own region. They can be used
	// within the shift budget only, so that less is reserved for them.
	Remote bool `cbor:"5,keyasint,omitempty" json:"remote,omitempty"`
	// Held is what the entry leases above its floor when it sends the report. A
	// new leader extends it, since its predecessor has granted it.
	Held int64 `cbor:"6,keyasint,omitempty" json:"held,omitempty"`
}

// Grant is a leased part of a budget. TTLMs counts from when the holder sent
// its demand, so that the holder stops before the grantor forgets the lease.
type Grant struct {
	Resource Resource `cbor:"1,keyasint" json:"resource"`
	Amount   int64    `cbor:"2,keyasint" json:"amount"`
	// Floor is the part that the holder may use without a lease.
	Floor int64  `cbor:"3,keyasint" json:"floor"`
	TTLMs Millis `cbor:"4,keyasint" json:"ttlMs"`
	// MaxFloor is the largest floor that any holder has, if that is more than
	// Floor. A holder that becomes leader reserves it for those it has not heard.
	MaxFloor int64 `cbor:"5,keyasint,omitempty" json:"maxFloor,omitempty"`
}

// MaxDemands bounds the demands in one report.
const MaxDemands = 512

// Report is what an instance tells the leader at each interval.
type Report struct {
	Instance      InstanceInfo   `cbor:"1,keyasint,omitzero" json:"instance"`
	Announcements []Announcement `cbor:"2,keyasint,omitempty" json:"announcements,omitempty"`
	// Alive lists upstreams whose announcements have not changed.
	Alive   []UpstreamID `cbor:"3,keyasint,omitempty" json:"alive,omitempty"`
	Demands []Demand     `cbor:"4,keyasint,omitempty" json:"demands,omitempty"`
	// Held is the term and revision of the snapshot that the instance has.
	HeldTerm     Term     `cbor:"5,keyasint,omitempty" json:"heldTerm,omitempty"`
	HeldRevision Revision `cbor:"6,keyasint,omitempty" json:"heldRevision,omitempty"`
	// Leaving is true for the last report before the instance exits.
	Leaving bool `cbor:"7,keyasint,omitempty" json:"leaving,omitempty"`
	// Number counts the reports of the instance, and Answered is the last one
	// whose reply it has taken over.
	Number   ReportNumber `cbor:"8,keyasint,omitempty" json:"number,omitempty"`
	Answered ReportNumber `cbor:"9,keyasint,omitempty" json:"answered,omitempty"`
	// Repeat stands for Instance, Alive and Demands of an earlier report.
	Repeat *Repeat `cbor:"10,keyasint,omitempty" json:"repeat,omitempty"`
	// Traffic is what the requests that reach the instance ask for.
	Traffic []Traffic `cbor:"11,keyasint,omitempty" json:"traffic,omitempty"`
}

// ReportNumber counts the reports of an instance, starting at 1.
type ReportNumber uint64

// Repeat names an earlier report of the same instance.
type Repeat struct {
	Instance    InstanceID   `cbor:"1,keyasint" json:"instance"`
	Incarnation Incarnation  `cbor:"2,keyasint" json:"incarnation"`
	Base        ReportNumber `cbor:"3,keyasint" json:"base"`
}

// MaxReportUpstreams bounds the announcements in one report.
const MaxReportUpstreams = 4096

// Validate checks the report.
func (r Report) Validate() error {
	if len(r.Announcements)+len(r.Alive) > MaxReportUpstreams || len(r.Demands) > MaxDemands {
		return fmt.Errorf("%w: report holds too many upstreams or demands", ErrInvalid)
	}
	for _, a := range r.Announcements {
		if err := a.Validate(); err != nil {
			return err
		}
	}
	if err := validateAll("elements of traffic", r.Traffic, MaxTraffic); err != nil {
		return err
	}
	for _, d := range r.Demands {
		if d.InUse < 0 || d.Want < 0 || d.Floor < 0 || d.Held < 0 {
			return fmt.Errorf("%w: demand for %s is negative", ErrInvalid, d.Resource)
		}
	}
	if r.Repeat != nil {
		if r.Leaving || len(r.Alive) > 0 || len(r.Demands) > 0 {
			return fmt.Errorf("%w: report repeats another one and differs from it", ErrInvalid)
		}
		return CheckName("instance id", string(r.Repeat.Instance))
	}
	return r.Instance.Validate()
}

// ReportReply is the leader's answer to a Report. An update is either a whole
// Snapshot or a Delta that follows the held one; neither when nothing changed.
type ReportReply struct {
	Term Term `cbor:"1,keyasint" json:"term"`
	// ControlTTLMs says for how long, from when the report was sent, the
	// instance may trust that it knows the newest configuration.
	ControlTTLMs Millis    `cbor:"2,keyasint" json:"controlTtlMs"`
	Grants       []Grant   `cbor:"3,keyasint,omitempty" json:"grants,omitempty"`
	Snapshot     *Snapshot `cbor:"4,keyasint,omitempty" json:"snapshot,omitempty"`
	Delta        *Delta    `cbor:"5,keyasint,omitempty" json:"delta,omitempty"`
	// Unknown lists Alive upstreams that the leader does not know; the
	// instance repeats their announcements in full.
	Unknown []UpstreamID `cbor:"6,keyasint,omitempty" json:"unknown,omitempty"`
	// SameGrants stands for the grants of the reply that the report names as Answered.
	SameGrants bool `cbor:"7,keyasint,omitempty" json:"sameGrants,omitempty"`
	// Resend asks for a whole report, because the repeated one is not known.
	// The reply holds nothing else.
	Resend bool `cbor:"8,keyasint,omitempty" json:"resend,omitempty"`
	// Superseded is the incarnation that has reported as this instance, if it is
	// later than that of the report. The reply holds nothing else.
	Superseded Incarnation `cbor:"9,keyasint,omitempty" json:"superseded,omitempty"`
}

// Validate checks the reply.
func (r ReportReply) Validate() error {
	if r.Snapshot != nil && r.Delta != nil {
		return fmt.Errorf("%w: reply holds both a snapshot and a delta", ErrInvalid)
	}
	if r.Snapshot != nil {
		return r.Snapshot.Validate()
	}
	if r.Delta != nil {
		return r.Delta.Validate()
	}
	return nil
}

// Delta turns the snapshot of Term at Base into the one at Revision. Nil parts are unchanged.
type Delta struct {
	Term             Term           `cbor:"10,keyasint" json:"term"`
	Base             Revision       `cbor:"1,keyasint" json:"base"`
	Revision         Revision       `cbor:"2,keyasint" json:"revision"`
	Commit           Index          `cbor:"3,keyasint" json:"commit"`
	Config           *Config        `cbor:"4,keyasint,omitempty" json:"config,omitempty"`
	Drains           *[]Drain       `cbor:"5,keyasint,omitempty" json:"drains,omitempty"`
	Instances        []InstanceInfo `cbor:"6,keyasint,omitempty" json:"instances,omitempty"`
	RemovedInstances []InstanceID   `cbor:"7,keyasint,omitempty" json:"removedInstances,omitempty"`
	Upstreams        []UpstreamInfo `cbor:"8,keyasint,omitempty" json:"upstreams,omitempty"`
	RemovedUpstreams []UpstreamID   `cbor:"9,keyasint,omitempty" json:"removedUpstreams,omitempty"`
	// Plans replaces the held ones; nil when they have not changed.
	Plans []RegionPlan `cbor:"11,keyasint,omitempty" json:"plans,omitempty"`
}

// Validate checks the delta.
func (d *Delta) Validate() error {
	if d.Revision <= d.Base {
		return fmt.Errorf("%w: delta from revision %d to %d", ErrInvalid, d.Base, d.Revision)
	}
	s := Snapshot{Config: d.Config, Instances: d.Instances, Upstreams: d.Upstreams, Plans: d.Plans}
	return s.Validate()
}
