package azurestair

import (
	"fmt"
	"math"
	"net/netip"
)

// UpstreamState is the state that an upstream announces.
type UpstreamState string

const (
	// StateServing means that the upstream accepts new requests.
	StateServing UpstreamState = "serving"
	// StateDraining means that the upstream completes its requests and accepts
	// no new ones.
	StateDraining UpstreamState = "draining"
	// StateLeaving means that the upstream is about to exit and accepts no new
	// requests.
	StateLeaving UpstreamState = "leaving"
)

// Validate checks the state.
func (s UpstreamState) Validate() error {
	switch s {
	case StateServing, StateDraining, StateLeaving:
		return nil
	}
	return fmt.Errorf("%w: upstream state %q; allowed are serving, draining and leaving", ErrInvalid, s)
}

// Load is the load that an upstream reports. It may be outdated or wrong.
type Load struct {
	InFlight Slots   `cbor:"inFlight" json:"inFlight"`
	Queued   Slots   `cbor:"queued" json:"queued"`
	CPU      float64 `cbor:"cpu,omitempty" json:"cpu,omitempty"`
}

// MaxSlots and MaxConns limit the values that an upstream may announce.
const (
	MaxSlots Slots = 100_000
	MaxConns Conns = 1_000_000
)

// Validate checks the load report.
func (l Load) Validate() error {
	if l.InFlight < 0 || l.InFlight > MaxSlots || l.Queued < 0 || l.Queued > MaxSlots {
		return fmt.Errorf("%w: load counts out of range; allowed 0 to %d", ErrInvalid, MaxSlots)
	}
	if math.IsNaN(l.CPU) || math.IsInf(l.CPU, 0) || l.CPU < 0 {
		return fmt.Errorf("%w: load.cpu must be finite and at least 0", ErrInvalid)
	}
	return nil
}

// Announcement is the description that an upstream sends of itself. Incarnation
// and Sequence order the announcements of an upstream; an older one never
// replaces a newer one.
type Announcement struct {
	Upstream      UpstreamID        `cbor:"upstream" json:"upstream"`
	Service       ServiceName       `cbor:"service" json:"service"`
	Addr          string            `cbor:"addr" json:"addr"`
	Region        RegionName        `cbor:"region" json:"region"`
	FailureDomain FailureDomainName `cbor:"failureDomain" json:"failureDomain"`
	Slots         Slots             `cbor:"slots" json:"slots"`
	MaxConns      Conns             `cbor:"maxConns" json:"maxConns"`
	State         UpstreamState     `cbor:"state" json:"state"`
	Incarnation   Incarnation       `cbor:"incarnation" json:"incarnation"`
	Sequence      Sequence          `cbor:"sequence" json:"sequence"`
	Load          Load              `cbor:"load" json:"load"`
	// ColdMs is the remaining time for which the upstream is cold.
	ColdMs Millis `cbor:"coldMs,omitempty" json:"coldMs,omitempty"`
}

// Validate checks the announcement.
func (a Announcement) Validate() error {
	names := [][2]string{
		{"upstream", string(a.Upstream)},
		{"service", string(a.Service)},
		{"region", string(a.Region)},
		{"failureDomain", string(a.FailureDomain)},
	}
	for _, n := range names {
		if err := CheckName(n[0], n[1]); err != nil {
			return err
		}
	}
	if err := CheckAddr(a.Addr); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return fmt.Errorf("%w: slots = %d; allowed 1 to %d", ErrInvalid, a.Slots, MaxSlots)
	}
	if a.MaxConns < 1 || a.MaxConns > MaxConns {
		return fmt.Errorf("%w: maxConns = %d; allowed 1 to %d", ErrInvalid, a.MaxConns, MaxConns)
	}
	if a.ColdMs < 0 || a.ColdMs > MaxTimeoutMs {
		return fmt.Errorf("%w: coldMs = %d; allowed 0 to %d", ErrInvalid, a.ColdMs, MaxTimeoutMs)
	}
	if err := a.State.Validate(); err != nil {
		return err
	}
	return a.Load.Validate()
}

// IsRepeatedBy reports whether a later announcement differs only in load, in
// sequence and in the remaining cold time. Two remaining times do not show whether
// they end together; see IsSameColdEnd.
func (a Announcement) IsRepeatedBy(later Announcement) bool {
	if a.ColdMs > 0 && later.ColdMs > 0 {
		later.ColdMs = a.ColdMs
	}
	later.Sequence, later.Load = a.Sequence, a.Load
	return a == later
}

// IsNewerThan reports whether a is newer than b and replaces it.
func (a Announcement) IsNewerThan(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// CheckAddr returns an error if s is not an IP address with a port.
func CheckAddr(s string) error {
	ap, err := netip.ParseAddrPort(s)
	if err != nil || ap.Port() == 0 {
		return fmt.Errorf("%w: address %q; allowed is an IP address with a port", ErrInvalid, s)
	}
	return nil
}
