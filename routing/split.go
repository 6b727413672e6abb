package routing

import (
	"slices"

	"azurestair.example/azurestair"
)

// Splitter distributes the requests of a route over its parts by smooth
// weighted round robin, which keeps each part's share exact to within one
// request. The zero value is ready to use. It is not safe for concurrent use.
type Splitter struct {
	parts  []azurestair.RouteService
	credit []float64
}

// Next returns the service for the next request. parts must not be empty.
func (s *Splitter) Next(parts []azurestair.RouteService) azurestair.ServiceName {
	if len(parts) == 1 {
		return parts[0].Service
	}
	if !slices.Equal(s.parts, parts) {
		s.parts, s.credit = parts, make([]float64, len(parts))
	}
	total, best := 0.0, 0
	for i, p := range parts {
		s.credit[i] += p.Weight
		total += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return parts[best].Service
}
