package azurestair

import (
	"fmt"
	"math"
)

// PerSecond is a rate of events.
type PerSecond float64

// MeanSlots is a number of slots that are in use on average.
type MeanSlots float64

// MaxTraffic bounds the services in the traffic of a report, and MaxPlans the
// regions of all services in a snapshot.
const (
	MaxTraffic = 256
	MaxPlans   = 1024
)

// maxTrafficRate bounds each figure of a report's traffic, so that sums stay finite.
const maxTrafficRate = 1e9

// Traffic is what the requests for a service that reach an instance ask for.
type Traffic struct {
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	// Rate counts all requests, refused ones included.
	Rate PerSecond `cbor:"2,keyasint" json:"rate"`
	// Slots is what they take at upstreams: the rate times the mean time of an
	// attempt, so that refused requests count as well.
	Slots MeanSlots `cbor:"3,keyasint" json:"slots"`
}

// Validate checks the traffic.
func (t Traffic) Validate() error {
	for _, n := range []float64{float64(t.Rate), float64(t.Slots)} {
		if math.IsNaN(n) || n < 0 || n > maxTrafficRate {
			return fmt.Errorf("%w: traffic of %s = %v; allowed 0 to %v", ErrInvalid, t.Service, n, maxTrafficRate)
		}
	}
	return CheckName("service", string(t.Service))
}

// RegionPlan says in which regions the objects are placed that the callers of
// one region ask a service for.
type RegionPlan struct {
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	Region  RegionName  `cbor:"2,keyasint" json:"region"`
	// Slots is the room of the region that the plan was made for.
	Slots Slots `cbor:"3,keyasint" json:"slots"`
	// Carries is how many of them the plans of all regions take, and Fill the part
	// of its slots up to which a region is to be used; both zero without traffic.
	Carries MeanSlots `cbor:"5,keyasint,omitempty" json:"carries,omitempty"`
	Fill    float64   `cbor:"6,keyasint,omitempty" json:"fill,omitempty"`
	// Shares is sorted by region and adds up to 1.
	Shares []RegionShare `cbor:"4,keyasint" json:"shares"`
}

// RegionShare is the part of the objects that is placed in a region.
type RegionShare struct {
	Region RegionName `cbor:"1,keyasint" json:"region"`
	Share  float64    `cbor:"2,keyasint" json:"share"`
}

// Validate checks the plan.
func (p RegionPlan) Validate() error {
	if p.Slots < 0 {
		return fmt.Errorf("%w: plan of %s in %s: slots = %d; allowed from 0", ErrInvalid, p.Service, p.Region, p.Slots)
	}
	for _, n := range []float64{float64(p.Carries), p.Fill} {
		if math.IsNaN(n) || n < 0 || math.IsInf(n, 0) {
			return fmt.Errorf("%w: plan of %s in %s: load = %v; allowed from 0", ErrInvalid, p.Service, p.Region, n)
		}
	}
	if err := CheckName("service", string(p.Service)); err != nil {
		return err
	}
	if err := CheckName("region", string(p.Region)); err != nil {
		return err
	}
	return validateAll("shares", p.Shares, MaxPlans)
}

// Validate checks the share.
func (s RegionShare) Validate() error {
	if math.IsNaN(s.Share) || s.Share < 0 || s.Share > 1 {
		return fmt.Errorf("%w: share of %s = %v; allowed 0 to 1", ErrInvalid, s.Region, s.Share)
	}
	return CheckName("region", string(s.Region))
}

// validateAll checks the elements of a list that holds at most limit of them.
func validateAll[T interface{ Validate() error }](what string, list []T, limit int) error {
	if len(list) > limit {
		return fmt.Errorf("%w: %d %s; allowed up to %d", ErrInvalid, len(list), what, limit)
	}
	for _, t := range list {
		if err := t.Validate(); err != nil {
			return err
		}
	}
	return nil
}
