package azurestair

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Limits of routes.
const (
	MaxRoutes        = 2048
	MaxRouteServices = 16
	MaxHostLen       = 253
	MaxPrefixLen     = 1024
	MaxAttempts      = 16
	maxServiceWeight = 1_000_000
)

// RouteName is the name of a route in a configuration.
type RouteName string

// ObjectKey identifies the object that a request is about; zero means none.
// Requests for an object are sent to the same few upstreams, which keep it in
// their caches.
type ObjectKey uint64

// ObjectKeyOf returns the key for the name of an object, or zero if the name is
// empty.
func ObjectKeyOf(name string) ObjectKey {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return ObjectKey(max(h.Sum64(), 1))
}

// Route maps requests by host and path prefix to one service, or to several
// services in proportion to their weights.
type Route struct {
	Name       RouteName `cbor:"name" json:"name" toml:"name"`
	Host       string    `cbor:"host" json:"host" toml:"host"`
	PathPrefix string    `cbor:"pathPrefix" json:"pathPrefix" toml:"pathPrefix"`
	Rank       Rank      `cbor:"rank" json:"rank" toml:"rank"`
	Idempotent bool      `cbor:"idempotent" json:"idempotent" toml:"idempotent"`
	// TimeoutMs is the maximum time that a caller waits for the response.
	TimeoutMs Millis `cbor:"timeoutMs" json:"timeoutMs" toml:"timeoutMs"`
	// TargetMs is the latency objective; zero means none.
	TargetMs Millis `cbor:"targetMs,omitempty" json:"targetMs,omitempty" toml:"targetMs"`
	// MaxAttempts is the maximum number of upstreams to which a request is
	// sent.
	MaxAttempts int `cbor:"maxAttempts" json:"maxAttempts" toml:"maxAttempts"`
	// Sticky routes select upstreams by the object of the request.
	Sticky bool `cbor:"sticky,omitempty" json:"sticky,omitempty" toml:"sticky"`
	// Public routes accept requests without an API key.
	Public bool `cbor:"public,omitempty" json:"public,omitempty" toml:"public"`
	// HomeRegions lists the only regions in which the requests may run; empty
	// means all regions.
	HomeRegions []RegionName   `cbor:"homeRegions,omitempty" json:"homeRegions,omitempty" toml:"homeRegions"`
	Services    []RouteService `cbor:"parts" json:"parts" toml:"parts"`
	// MaxBodyBytes is the maximum size of the request body; zero means 1 MiB.
	MaxBodyBytes Bytes `cbor:"maxBodyBytes,omitempty" json:"maxBodyBytes,omitempty" toml:"maxBodyBytes"`
}

// RouteService is a service of a route and its weight.
type RouteService struct {
	Service ServiceName `cbor:"service" json:"service" toml:"service"`
	Weight  float64     `cbor:"weight" json:"weight" toml:"weight"`
}

// Operation returns the parameters of the route as an Operation.
func (r Route) Operation() Operation {
	return Operation{
		Name: OperationName(r.Name), Rank: r.Rank, Idempotent: r.Idempotent, TimeoutMs: r.TimeoutMs, MaxBodyBytes: r.MaxBodyBytes,
	}
}

// Validate checks the route itself. Config.Validate checks that its services
// exist.
func (r Route) Validate() error {
	if err := CheckName("route name", string(r.Name)); err != nil {
		return err
	}
	if r.Host == "" || len(r.Host) > MaxHostLen {
		return fmt.Errorf("%w: route %s: host has %d bytes; allowed 1 to %d", ErrInvalid, r.Name, len(r.Host), MaxHostLen)
	}
	if len(r.PathPrefix) > MaxPrefixLen || !strings.HasPrefix(r.PathPrefix, "/") {
		return fmt.Errorf("%w: route %s: pathPrefix must begin with a slash and have at most %d bytes", ErrInvalid, r.Name, MaxPrefixLen)
	}
	if r.MaxAttempts < 1 || r.MaxAttempts > MaxAttempts {
		return fmt.Errorf("%w: route %s: maxAttempts = %d; allowed 1 to %d", ErrInvalid, r.Name, r.MaxAttempts, MaxAttempts)
	}
	if r.TargetMs < 0 || r.TargetMs > MaxTimeoutMs {
		return fmt.Errorf("%w: route %s: targetMs = %d; allowed 0 to %d", ErrInvalid, r.Name, r.TargetMs, MaxTimeoutMs)
	}
	for _, h := range r.HomeRegions {
		if err := CheckName("home region", string(h)); err != nil {
			return err
		}
	}
	if err := r.validateServices(); err != nil {
		return err
	}
	return r.Operation().Validate()
}

func (r Route) validateServices() error {
	if len(r.Services) == 0 || len(r.Services) > MaxRouteServices {
		return fmt.Errorf("%w: route %s has %d services; allowed 1 to %d", ErrInvalid, r.Name, len(r.Services), MaxRouteServices)
	}
	total := 0.0
	for _, p := range r.Services {
		if !(p.Weight >= 0 && p.Weight <= maxServiceWeight) {
			return fmt.Errorf("%w: route %s: weight of %s = %g; allowed 0 to %d", ErrInvalid, r.Name, p.Service, p.Weight, maxServiceWeight)
		}
		total += p.Weight
	}
	if total <= 0 {
		return fmt.Errorf("%w: route %s: the weights sum to zero", ErrInvalid, r.Name)
	}
	return nil
}
