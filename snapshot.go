package azurestair

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Snapshot is the control state used by an instance. It is immutable once
// published; a newer snapshot replaces it as a whole.
type Snapshot struct {
	Term     Term     `cbor:"1,keyasint" json:"term"`
	Revision Revision `cbor:"2,keyasint" json:"revision"`
	// Commit is the index of the last log entry that the snapshot includes.
	Commit    Index          `cbor:"3,keyasint" json:"commit"`
	Config    *Config        `cbor:"4,keyasint,omitempty" json:"config,omitempty"`
	Drains    []Drain        `cbor:"5,keyasint,omitempty" json:"drains,omitempty"`
	Instances []InstanceInfo `cbor:"6,keyasint,omitempty" json:"instances,omitempty"`
	// Upstreams is sorted by id.
	Upstreams []UpstreamInfo `cbor:"7,keyasint,omitempty" json:"upstreams,omitempty"`
	// Plans is sorted by service and region.
	Plans []RegionPlan `cbor:"8,keyasint,omitempty" json:"plans,omitempty"`
	Fleet FleetID      `cbor:"9,keyasint,omitempty" json:"fleet,omitempty"`
	// Objects is sorted by service and region. It is empty without
	// Defaults.SpreadObjects.
	Objects []ObjectPlan `cbor:"10,keyasint,omitempty" json:"objects,omitempty"`
}

// SnapshotVersion identifies a snapshot. The zero value identifies none.
type SnapshotVersion struct {
	Config   ConfigVersion `cbor:"1,keyasint,omitempty" json:"config,omitempty"`
	Term     Term          `cbor:"2,keyasint,omitempty" json:"term,omitempty"`
	Revision Revision      `cbor:"3,keyasint,omitempty" json:"revision,omitempty"`
}

// IsNewerThan reports whether v was published later than other. A snapshot with
// a newer configuration is never replaced by one with an older configuration.
func (v SnapshotVersion) IsNewerThan(other SnapshotVersion) bool {
	return cmp.Or(cmp.Compare(v.Config, other.Config), cmp.Compare(v.Term, other.Term), cmp.Compare(v.Revision, other.Revision)) > 0
}

// Version returns the version of a snapshot, which may be nil.
func (s *Snapshot) Version() SnapshotVersion {
	if s == nil {
		return SnapshotVersion{}
	}
	return SnapshotVersion{Config: s.ConfigVersion(), Term: s.Term, Revision: s.Revision}
}

// Drain is a target that an operator has drained.
type Drain struct {
	Target   Target       `cbor:"target" json:"target"`
	Operator OperatorName `cbor:"operator" json:"operator"`
	Reason   string       `cbor:"reason" json:"reason"`
	At       UnixMillis   `cbor:"at" json:"at"`
}

// InstanceInfo describes an instance of azurestair as known to the leader.
type InstanceInfo struct {
	ID            InstanceID        `cbor:"id" json:"id"`
	Incarnation   Incarnation       `cbor:"incarnation" json:"incarnation"`
	CallerAddr    string            `cbor:"callerAddr,omitempty" json:"callerAddr,omitempty"`
	UpstreamAddr  string            `cbor:"upstreamAddr,omitempty" json:"upstreamAddr,omitempty"`
	PeerAddr      string            `cbor:"peerAddr" json:"peerAddr"`
	Region        RegionName        `cbor:"region" json:"region"`
	FailureDomain FailureDomainName `cbor:"failureDomain" json:"failureDomain"`
	// Ready is true if lookup answers may include the instance.
	Ready bool `cbor:"ready" json:"ready"`
	// ActiveConfig is the version of the configuration that the instance uses.
	ActiveConfig ConfigVersion `cbor:"inForce" json:"inForce"`
	// Control is true if the instance can replicate the log.
	Control bool `cbor:"control,omitempty" json:"control,omitempty"`
	// LinkRate is the bandwidth of the instance's own link; zero means no
	// limit.
	LinkRate BytesPerSecond `cbor:"linkRate,omitempty" json:"linkRate,omitempty"`
}

// NarrowLinkThreshold is the bandwidth below which an entry is limited by its
// link rather than its processor. In load tests an entry used 0.55 ms of
// processor time per request of 5 KB, so 0.4 cores serve 730 requests per
// second, which is 4 MB/s.
const NarrowLinkThreshold BytesPerSecond = 4_000_000

// hasNarrowLink reports whether the instance is limited by its own link.
func (i InstanceInfo) hasNarrowLink() bool { return i.LinkRate > 0 && i.LinkRate < NarrowLinkThreshold }

// Validate checks the description of the instance.
func (i InstanceInfo) Validate() error {
	if err := CheckName("instance id", string(i.ID)); err != nil {
		return err
	}
	if err := CheckName("region", string(i.Region)); err != nil {
		return err
	}
	if err := CheckName("failureDomain", string(i.FailureDomain)); err != nil {
		return err
	}
	if i.LinkRate < 0 {
		return fmt.Errorf("%w: link rate %d; allowed from 0", ErrInvalid, i.LinkRate)
	}
	for _, addr := range []string{i.CallerAddr, i.UpstreamAddr, i.PeerAddr} {
		if addr == "" {
			continue
		}
		if err := CheckAddr(addr); err != nil {
			return err
		}
	}
	return nil
}

// UpstreamInfo describes an upstream as known to the leader.
type UpstreamInfo struct {
	Announcement Announcement `cbor:"1,keyasint" json:"announcement"`
	// Confirmed is false if the lease of the upstream has expired and only the
	// protection against mass expiry keeps it in the list.
	Confirmed bool `cbor:"2,keyasint" json:"confirmed"`
	// ColdEnd is when the leader takes the upstream for warm, by its own clock; zero
	// if it is warm. Receivers of a snapshot derive the end from the remaining time in
	// the announcement.
	ColdEnd time.Time `cbor:"-" json:"-"`
}

// IsRepeatedBy reports whether a later description differs only in what
// Announcement.IsRepeatedBy ignores.
func (i UpstreamInfo) IsRepeatedBy(later UpstreamInfo) bool {
	return i.Confirmed == later.Confirmed && i.Announcement.IsRepeatedBy(later.Announcement) && IsSameColdEnd(i.ColdEnd, later.ColdEnd)
}

// Validate checks the snapshot.
func (s *Snapshot) Validate() error {
	if s.Config != nil {
		if err := s.Config.Validate(); err != nil {
			return err
		}
	}
	for _, i := range s.Instances {
		if err := i.Validate(); err != nil {
			return err
		}
	}
	for _, u := range s.Upstreams {
		if err := u.Announcement.Validate(); err != nil {
			return fmt.Errorf("upstream %s: %w", u.Announcement.Upstream, err)
		}
	}
	if err := s.Fleet.Validate(); err != nil {
		return err
	}
	if err := validateAll("plans of objects", s.Objects, MaxPlans); err != nil {
		return err
	}
	return validateAll("plans", s.Plans, MaxPlans)
}

// Upstream returns a listed upstream, or false if the snapshot, which may be nil,
// does not list it.
func (s *Snapshot) Upstream(id UpstreamID) (UpstreamInfo, bool) {
	if s == nil {
		return UpstreamInfo{}, false
	}
	i, ok := slices.BinarySearchFunc(s.Upstreams, id, func(u UpstreamInfo, id UpstreamID) int {
		return cmp.Compare(u.Announcement.Upstream, id)
	})
	if !ok {
		return UpstreamInfo{}, false
	}
	return s.Upstreams[i], true
}

// IsDrained reports whether an operator has drained the target.
func (s *Snapshot) IsDrained(kind TargetKind, name string) bool {
	for _, d := range s.Drains {
		if d.Target.Kind == kind && d.Target.Name == name {
			return true
		}
	}
	return false
}

// IsUpstreamDrained reports whether an operator has drained the upstream or its
// failure domain.
func (s *Snapshot) IsUpstreamDrained(a Announcement) bool {
	return s.IsDrained(TargetUpstream, string(a.Upstream)) || s.IsDrained(TargetFailureDomain, string(a.FailureDomain))
}

// SpreadsCallers reports whether lookups return entries of all regions, because
// most entries are limited by their links and the links of one region may not
// carry its busiest time.
func (s *Snapshot) SpreadsCallers() bool {
	return s.HasNarrowLinks() && (len(s.Plans) == 0 || !s.Plans[0].LocalCallers)
}

// HasNarrowLinks reports whether most entries are limited by their links.
func (s *Snapshot) HasNarrowLinks() bool {
	entries, narrow := 0, 0
	for _, i := range s.Instances {
		if i.CallerAddr == "" {
			continue
		}
		entries++
		if i.hasNarrowLink() {
			narrow++
		}
	}
	return 2*narrow > entries
}

// WithoutRevision returns a copy of the snapshot with term and revision zero,
// so that the next report requests a full snapshot. It returns nil for nil.
func (s *Snapshot) WithoutRevision() *Snapshot {
	if s == nil {
		return nil
	}
	c := *s
	c.Term, c.Revision = 0, 0
	return &c
}

// ConfigVersion returns the version of the configuration, or zero if there is
// none.
func (s *Snapshot) ConfigVersion() ConfigVersion {
	if s == nil || s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// PlansOf returns the plans of a service, sorted by region.
func (s *Snapshot) PlansOf(service ServiceName) []RegionPlan {
	from := slices.IndexFunc(s.Plans, func(p RegionPlan) bool { return p.Service == service })
	if from < 0 {
		return nil
	}
	to := from
	for to < len(s.Plans) && s.Plans[to].Service == service {
		to++
	}
	return s.Plans[from:to]
}

// minConfirmedShare is the fraction of the upstreams of a service that must be
// confirmed before the others are excluded. Just after a change of leader only
// a few upstreams are confirmed, and these must not receive all requests.
const minConfirmedShare = 2.0 / 3

// ExcludesUnconfirmed reports whether the unconfirmed upstreams of the service,
// which have stopped announcing themselves, receive no requests.
func (s *Snapshot) ExcludesUnconfirmed(service ServiceName) bool {
	confirmed, all := 0, 0
	for _, u := range s.Upstreams {
		if u.Announcement.Service != service {
			continue
		}
		all++
		if u.Confirmed {
			confirmed++
		}
	}
	return float64(confirmed) >= minConfirmedShare*float64(all)
}
