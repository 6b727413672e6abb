package azurestair

import (
	"cmp"
	"fmt"
	"slices"
)

// MilliPerSecond is a rate in events per 1,000 seconds. It takes fewer bytes in
// a message than PerSecond.
type MilliPerSecond int64

// MilliSlots is a number of slots in thousandths.
type MilliSlots int64

const (
	// MaxReportedObjects is the maximum number of objects of a service in a
	// report.
	MaxReportedObjects = 48
	// MaxPlannedObjects is the maximum number of objects of a service in a
	// snapshot.
	MaxPlannedObjects = 256
	// MaxObjectDemand is the maximum demand of an object. It and maxObjectRate
	// ensure that sums do not overflow.
	MaxObjectDemand MilliSlots     = 1e12
	maxObjectRate   MilliPerSecond = 1e12
)

// ObjectRate is the rate at which an instance receives requests for an object.
type ObjectRate struct {
	_      struct{}       `cbor:",toarray"`
	Object ObjectKey      `json:"object"`
	Rate   MilliPerSecond `json:"rate"`
}

// ObjectTraffic lists rates of the objects of a service that an instance
// requests from the upstreams of a region.
type ObjectTraffic struct {
	Service ServiceName  `cbor:"1,keyasint" json:"service"`
	Region  RegionName   `cbor:"2,keyasint" json:"region"`
	Objects []ObjectRate `cbor:"3,keyasint" json:"objects"`
}

// Validate checks the traffic.
func (t ObjectTraffic) Validate() error {
	if err := checkServiceRegion(t.Service, t.Region); err != nil {
		return err
	}
	return validateAll("objects of "+string(t.Service), t.Objects, MaxReportedObjects)
}

// Validate checks the rate.
func (r ObjectRate) Validate() error {
	if r.Rate < 0 || r.Rate > maxObjectRate {
		return fmt.Errorf("%w: rate of an object = %d; allowed 0 to %d", ErrInvalid, r.Rate, maxObjectRate)
	}
	return nil
}

// ObjectDemand is the mean number of slots that the requests for an object use.
// In a delta, zero removes the object.
type ObjectDemand struct {
	_      struct{}   `cbor:",toarray"`
	Object ObjectKey  `json:"object"`
	Demand MilliSlots `json:"milliSlots"`
}

// Validate checks the demand.
func (d ObjectDemand) Validate() error {
	if d.Demand < 0 || d.Demand > MaxObjectDemand {
		return fmt.Errorf("%w: demand of an object = %d; allowed 0 to %d", ErrInvalid, d.Demand, MaxObjectDemand)
	}
	return nil
}

// ObjectPlan lists the demand of the frequent objects of a service in a region.
type ObjectPlan struct {
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	Region  RegionName  `cbor:"2,keyasint" json:"region"`
	// Objects is sorted by object. In a delta, it holds the changed ones.
	Objects []ObjectDemand `cbor:"3,keyasint" json:"objects"`
}

// Validate checks the plan. A delta may remove as many objects as it adds.
func (p ObjectPlan) Validate() error {
	if err := checkServiceRegion(p.Service, p.Region); err != nil {
		return err
	}
	return validateAll("objects of "+string(p.Service), p.Objects, 2*MaxPlannedObjects)
}

// Compare orders plans by service and region.
func (p ObjectPlan) Compare(other ObjectPlan) int {
	return cmp.Or(cmp.Compare(p.Service, other.Service), cmp.Compare(p.Region, other.Region))
}

func checkServiceRegion(s ServiceName, r RegionName) error {
	if err := CheckName("service", string(s)); err != nil {
		return err
	}
	return CheckName("region", string(r))
}

// ObjectsOf returns the demand of the frequent objects of a service in a
// region, or nil if none is published.
func (s *Snapshot) ObjectsOf(service ServiceName, region RegionName) []ObjectDemand {
	i, ok := slices.BinarySearchFunc(s.Objects, ObjectPlan{Service: service, Region: region}, ObjectPlan.Compare)
	if !ok {
		return nil
	}
	return s.Objects[i].Objects
}
