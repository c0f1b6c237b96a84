package proxy

import (
	"math"
	"math/rand/v2"

	"mulleinrouter/internal/cluster/configuration"
)

// goldenRatio is the step of the sequence by which requests are split: of all steps, its multiples lie most evenly in
// the unit interval, for any number of them.
const goldenRatio = 0.6180339887498949

// splitter distributes the requests of routes with several services by their weights. Each route has a low-discrepancy
// sequence with a random start: any run of n requests is off its shares by less than one or two requests, where
// independent draws would be off by the square root of n, and proxies that each see few requests do not all begin with
// the same service.
//
// It is not safe for concurrent use.
type splitter struct {
	random    *rand.Rand
	positions map[string]float64 // by route, in [0, 1)
}

func newSplitter(random *rand.Rand) *splitter {
	return &splitter{random: random, positions: map[string]float64{}}
}

// choose returns the service of the next request on a route that is split.
func (s *splitter) choose(route *configuration.Route) string {
	sum := 0.0
	for _, part := range route.Split {
		sum += part.Weight
	}
	at := s.next(route.Name) * sum
	for _, part := range route.Split {
		if at -= part.Weight; at < 0 {
			return part.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// next returns the next position of a route's sequence.
func (s *splitter) next(route string) float64 {
	position, known := s.positions[route]
	if !known {
		if len(s.positions) >= maxCachedEntries {
			clear(s.positions)
		}
		position = s.random.Float64()
	}
	_, position = math.Modf(position + goldenRatio)
	s.positions[route] = position
	return position
}
