package azurestair

import "fmt"

// ResourceKind is the kind of resource that a budget limits.
type ResourceKind string

const (
	// ResourceSlots limits the slots in use at the upstreams of a service in a
	// region.
	ResourceSlots ResourceKind = "slots"
	// ResourceShift limits the slots in use by requests from other regions.
	ResourceShift ResourceKind = "shift"
	// ResourceLink limits the bytes per second from one region to another.
	ResourceLink ResourceKind = "link"
)

// Resource identifies a budget. Slots and shift budgets are identified by
// Service and Region, link budgets by From and Region.
type Resource struct {
	Kind    ResourceKind `cbor:"1,keyasint" json:"kind"`
	Service ServiceName  `cbor:"2,keyasint,omitempty" json:"service,omitempty"`
	From    RegionName   `cbor:"3,keyasint,omitempty" json:"from,omitempty"`
	Region  RegionName   `cbor:"4,keyasint" json:"region"`
}

// String returns the name of the budget that is used in logs and metrics.
func (r Resource) String() string {
	switch r.Kind {
	case ResourceLink:
		return fmt.Sprintf("link:%s>%s", r.From, r.Region)
	default:
		return fmt.Sprintf("%s:%s@%s", r.Kind, r.Service, r.Region)
	}
}

// Demand is the current use of a budget by an entry and the amount that it
// requests.
type Demand struct {
	Resource Resource `cbor:"1,keyasint" json:"resource"`
	InUse    int64    `cbor:"2,keyasint" json:"inUse"`
	Want     int64    `cbor:"3,keyasint" json:"want"`
	// Floor is the floor that the entry uses at present. After the leader has
	// lowered a floor, it keeps the larger one reserved until the entry reports
	// the smaller one.
	Floor int64 `cbor:"4,keyasint,omitempty" json:"floor,omitempty"`
	// OtherRegion is true for slots outside the entry's own region. They are
	// only usable within the shift budget, so less is reserved for them.
	OtherRegion bool `cbor:"5,keyasint,omitempty" json:"remote,omitempty"`
	// Leased is the amount leased above the floor when the report is sent. A new
	// leader extends the lease, because its predecessor granted it.
	Leased int64 `cbor:"6,keyasint,omitempty" json:"held,omitempty"`
}

// Validate checks the demand.
func (d Demand) Validate() error {
	if d.InUse < 0 || d.Want < 0 || d.Floor < 0 || d.Leased < 0 {
		return fmt.Errorf("%w: demand for %s is negative", ErrInvalid, d.Resource)
	}
	return nil
}

// Grant is a lease on part of a budget. TTLMs is relative to the time at which
// the holder sent its demand, so that the lease expires at the holder before it
// expires at the leader.
type Grant struct {
	Resource Resource `cbor:"1,keyasint" json:"resource"`
	Amount   int64    `cbor:"2,keyasint" json:"amount"`
	// Floor is the amount that the holder may use without a lease.
	Floor int64  `cbor:"3,keyasint" json:"floor"`
	TTLMs Millis `cbor:"4,keyasint" json:"ttlMs"`
	// MaxFloor is the largest floor of any holder, if it is larger than Floor.
	// A holder that becomes leader reserves this amount for the holders that it
	// has not heard from.
	MaxFloor int64 `cbor:"5,keyasint,omitempty" json:"maxFloor,omitempty"`
}

// MaxDemands is the maximum number of demands in a report. An entry demands slots
// of each service in each region and shifts of it into each other one, and the links
// of its own region.
const MaxDemands = MaxServices*(2*MaxRegions-1) + 2*(MaxRegions-1)

// Report is the message that an instance sends to the leader at each report
// interval.
type Report struct {
	// Sender is the protocol version that the sender announces with the message;
	// zero for this process itself.
	Sender        ProtocolVersion `cbor:"-" json:"-"`
	Instance      InstanceInfo    `cbor:"1,keyasint,omitzero" json:"instance"`
	Announcements []Announcement  `cbor:"2,keyasint,omitempty" json:"announcements,omitempty"`
	// Alive lists the upstreams whose announcements have not changed. An id does
	// not tell which process is alive, so the sender lists one only if its snapshot
	// has no process of the upstream at another address than that of the one that
	// announces itself to it.
	Alive   []UpstreamID `cbor:"3,keyasint,omitempty" json:"alive,omitempty"`
	Demands []Demand     `cbor:"4,keyasint,omitempty" json:"demands,omitempty"`
	// SnapshotTerm and SnapshotRevision identify the snapshot that the instance
	// has.
	SnapshotTerm     Term     `cbor:"5,keyasint,omitempty" json:"heldTerm,omitempty"`
	SnapshotRevision Revision `cbor:"6,keyasint,omitempty" json:"heldRevision,omitempty"`
	// Leaving is true in the last report before the instance exits.
	Leaving bool `cbor:"7,keyasint,omitempty" json:"leaving,omitempty"`
	// Number is the number of this report. Acknowledged is the number of the
	// last report whose reply the instance has applied.
	Number       ReportNumber `cbor:"8,keyasint,omitempty" json:"number,omitempty"`
	Acknowledged ReportNumber `cbor:"9,keyasint,omitempty" json:"answered,omitempty"`
	// RepeatOf replaces Instance, Alive and Demands if they are the same as in
	// an earlier report.
	RepeatOf *ReportReference `cbor:"10,keyasint,omitempty" json:"repeat,omitempty"`
	// Traffic describes the requests that arrive at the instance.
	Traffic []Traffic `cbor:"11,keyasint,omitempty" json:"traffic,omitempty"`
	// Fleet is the fleet that the instance belongs to; empty if it does not
	// know. A report with RepeatOf omits it.
	Fleet FleetID `cbor:"12,keyasint,omitempty" json:"fleet,omitempty"`
	// Objects holds the rates of frequent objects, a part of them in each
	// report. It is empty without Defaults.SpreadObjects.
	Objects []ObjectTraffic `cbor:"13,keyasint,omitempty" json:"objects,omitempty"`
}

// ReportNumber numbers the reports of an instance, starting at 1.
type ReportNumber uint64

// ReportReference refers to an earlier report of the same instance.
type ReportReference struct {
	Instance    InstanceID   `cbor:"1,keyasint" json:"instance"`
	Incarnation Incarnation  `cbor:"2,keyasint" json:"incarnation"`
	Base        ReportNumber `cbor:"3,keyasint" json:"base"`
}

// MaxReportUpstreams is the maximum number of upstreams in a report.
const MaxReportUpstreams = 4096

// Validate checks the report.
func (r Report) Validate() error {
	if len(r.Announcements)+len(r.Alive) > MaxReportUpstreams {
		return fmt.Errorf("%w: report contains too many upstreams", ErrInvalid)
	}
	for _, a := range r.Announcements {
		if err := a.Validate(); err != nil {
			return err
		}
	}
	if err := validateAll("elements of traffic", r.Traffic, MaxTraffic); err != nil {
		return err
	}
	if err := validateAll("elements of objects", r.Objects, MaxTraffic); err != nil {
		return err
	}
	if err := r.Fleet.Validate(); err != nil {
		return err
	}
	if err := validateAll("demands", r.Demands, MaxDemands); err != nil {
		return err
	}
	if r.RepeatOf != nil {
		if r.Leaving || len(r.Alive) > 0 || len(r.Demands) > 0 {
			return fmt.Errorf("%w: report with a repeat must not be leaving or contain alive upstreams or demands", ErrInvalid)
		}
		return CheckName("instance id", string(r.RepeatOf.Instance))
	}
	return r.Instance.Validate()
}

// ReportReply is the leader's reply to a Report. It contains a snapshot, or a
// delta to the snapshot that the instance has, or neither if nothing has
// changed.
type ReportReply struct {
	Term Term `cbor:"1,keyasint" json:"term"`
	// ControlTTLMs is how long the instance may assume that it has the latest
	// configuration. It is relative to the time at which the report was sent.
	ControlTTLMs Millis         `cbor:"2,keyasint" json:"controlTtlMs"`
	Grants       []Grant        `cbor:"3,keyasint,omitempty" json:"grants,omitempty"`
	Snapshot     *Snapshot      `cbor:"4,keyasint,omitempty" json:"snapshot,omitempty"`
	Delta        *SnapshotDelta `cbor:"5,keyasint,omitempty" json:"delta,omitempty"`
	// Unknown lists the upstreams in Alive that the leader does not know. The
	// instance resends their announcements in full.
	Unknown []UpstreamID `cbor:"6,keyasint,omitempty" json:"unknown,omitempty"`
	// SameGrants is true if the grants are the same as in the reply to the
	// report that Report.Acknowledged names.
	SameGrants bool `cbor:"7,keyasint,omitempty" json:"sameGrants,omitempty"`
	// Resend requests a full report, because the leader does not know the
	// report that Report.RepeatOf names. If it is set, all other fields are
	// unset.
	Resend bool `cbor:"8,keyasint,omitempty" json:"resend,omitempty"`
	// SupersededBy is the incarnation of a later process that has reported
	// under the same instance id; zero if there is none. If it is set, all
	// other fields are unset.
	SupersededBy Incarnation `cbor:"9,keyasint,omitempty" json:"superseded,omitempty"`
	// NewestConfig is the version of the leader's configuration. If the snapshot
	// of the instance has an older one after this reply, the reply does not
	// confirm it: a new leader publishes nothing for some seconds. Zero is sent
	// by earlier programs and without a configuration.
	NewestConfig ConfigVersion `cbor:"12,keyasint,omitempty" json:"newestConfig,omitempty"`
}

// Validate checks the reply.
func (r ReportReply) Validate() error {
	if r.Snapshot != nil && r.Delta != nil {
		return fmt.Errorf("%w: reply contains both a snapshot and a delta", ErrInvalid)
	}
	if r.Snapshot != nil {
		return r.Snapshot.Validate()
	}
	if r.Delta != nil {
		return r.Delta.Validate()
	}
	return nil
}

// SnapshotDelta is the difference between two snapshots of a term, at the
// revisions Base and Revision. Nil fields are unchanged.
type SnapshotDelta struct {
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
	// Plans replaces all plans; nil if they are unchanged.
	Plans []RegionPlan `cbor:"11,keyasint,omitempty" json:"plans,omitempty"`
	// Fleet is set if Config is.
	Fleet FleetID `cbor:"12,keyasint,omitempty" json:"fleet,omitempty"`
	// Objects holds the changed objects of the plans. A demand of zero removes
	// an object.
	Objects []ObjectPlan `cbor:"13,keyasint,omitempty" json:"objects,omitempty"`
}

// Validate checks the delta.
func (d *SnapshotDelta) Validate() error {
	if d.Revision <= d.Base {
		return fmt.Errorf("%w: delta from revision %d to %d", ErrInvalid, d.Base, d.Revision)
	}
	s := Snapshot{Config: d.Config, Instances: d.Instances, Upstreams: d.Upstreams, Plans: d.Plans, Fleet: d.Fleet, Objects: d.Objects}
	return s.Validate()
}
