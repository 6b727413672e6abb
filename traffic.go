package azurestair

import (
	"fmt"
	"math"
)

// PerSecond is a rate of events per second.
type PerSecond float64

// MeanSlots is the mean number of slots in use.
type MeanSlots float64

// MaxTraffic is the maximum number of services in the traffic of a report, and of
// pairs of a service and a region in its objects. MaxPlans is the maximum number of
// region plans of all services in a snapshot.
const (
	MaxTraffic = 4 * MaxServices
	MaxPlans   = MaxServices * MaxRegions
)

// maxTrafficRate is the maximum of each value in a report's traffic. It ensures
// that sums are finite.
const maxTrafficRate = 1e9

// Traffic describes the requests for a service that arrive at an instance.
type Traffic struct {
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	// Rate is the rate of all requests, including refused ones.
	Rate PerSecond `cbor:"2,keyasint" json:"rate"`
	// MeanSlots is the mean number of upstream slots that the requests need: the
	// rate times the mean duration of an attempt. Refused requests are
	// included.
	MeanSlots MeanSlots `cbor:"3,keyasint" json:"slots"`
}

// Validate checks the traffic.
func (t Traffic) Validate() error {
	for _, n := range []float64{float64(t.Rate), float64(t.MeanSlots)} {
		if math.IsNaN(n) || n < 0 || n > maxTrafficRate {
			return fmt.Errorf("%w: traffic of %s = %v; allowed 0 to %v", ErrInvalid, t.Service, n, maxTrafficRate)
		}
	}
	return CheckName("service", string(t.Service))
}

// RegionPlan is the distribution over regions of the objects that the callers
// of Region request from a service.
type RegionPlan struct {
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	Region  RegionName  `cbor:"2,keyasint" json:"region"`
	// Capacity is the capacity of the region that was used to compute the plan.
	Capacity Slots `cbor:"3,keyasint" json:"slots"`
	// PlannedSlots is the mean number of slots of this region that the plans of
	// all regions use. TargetUtilization is the fraction of its slots up to
	// which the region is to be used. Both are zero without traffic.
	PlannedSlots      MeanSlots `cbor:"5,keyasint,omitempty" json:"carries,omitempty"`
	TargetUtilization float64   `cbor:"6,keyasint,omitempty" json:"fill,omitempty"`
	// Shares is sorted by region; the shares sum to 1.
	Shares []RegionShare `cbor:"4,keyasint" json:"shares"`
	// LocalCallers is true if callers use the entries of their own region
	// although entries are limited by their links. It is the same in all plans.
	LocalCallers bool `cbor:"7,keyasint,omitempty" json:"localCallers,omitempty"`
}

// RegionShare is the fraction of the objects that is placed in a region.
type RegionShare struct {
	Region RegionName `cbor:"1,keyasint" json:"region"`
	Share  float64    `cbor:"2,keyasint" json:"share"`
}

// Validate checks the plan.
func (p RegionPlan) Validate() error {
	if p.Capacity < 0 {
		return fmt.Errorf("%w: plan of %s in %s: slots = %d; allowed from 0", ErrInvalid, p.Service, p.Region, p.Capacity)
	}
	for _, n := range []float64{float64(p.PlannedSlots), p.TargetUtilization} {
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

// validateAll checks the length of a list and its elements.
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
