package azurestair

import (
	"fmt"
	"math"
	"net/netip"
)

// UpstreamState says what an upstream is willing to take.
type UpstreamState string

const (
	// StateServing takes new work.
	StateServing UpstreamState = "serving"
	// StateDraining finishes its work and takes no more.
	StateDraining UpstreamState = "draining"
	// StateLeaving is about to exit and takes no more.
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

// Load is what an upstream reports about itself; it lags and may mislead.
type Load struct {
	InFlight Slots   `cbor:"inFlight" json:"inFlight"`
	Queued   Slots   `cbor:"queued" json:"queued"`
	CPU      float64 `cbor:"cpu,omitempty" json:"cpu,omitempty"`
}

// MaxSlots and MaxConns bound what an upstream may claim to have.
const (
	MaxSlots Slots = 100_000
	MaxConns Conns = 1_000_000
)

// Validate checks the load report.
func (l Load) Validate() error {
	if l.InFlight < 0 || l.InFlight > MaxSlots || l.Queued < 0 || l.Queued > MaxSlots {
		return fmt.Errorf("%w: load counts must lie in 0 to %d", ErrInvalid, MaxSlots)
	}
	if math.IsNaN(l.CPU) || math.IsInf(l.CPU, 0) || l.CPU < 0 {
		return fmt.Errorf("%w: load.cpu must be a finite number of at least 0", ErrInvalid)
	}
	return nil
}

// Announcement is what an upstream says of itself. Incarnation and Sequence
// order the announcements of one upstream; an older one never replaces a newer.
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
	// ColdMs is how much longer the upstream stays cold.
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

// IsRepeated reports whether a later announcement says the same, apart from load
// and sequence. An upstream that has come nearer to the end of its time as a
// cold one says the same: its receivers count the time down.
func (a Announcement) IsRepeated(later Announcement) bool {
	if later.ColdMs > 0 && later.ColdMs <= a.ColdMs {
		later.ColdMs = a.ColdMs
	}
	later.Sequence, later.Load = a.Sequence, a.Load
	return a == later
}

// Newer reports whether a replaces b.
func (a Announcement) Newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// CheckAddr reports whether s is an IP address with a port.
func CheckAddr(s string) error {
	ap, err := netip.ParseAddrPort(s)
	if err != nil || ap.Port() == 0 {
		return fmt.Errorf("%w: address %q; allowed is an IP address with a port", ErrInvalid, s)
	}
	return nil
}
