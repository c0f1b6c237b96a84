package proxy

import (
	"math"
	"math/rand/v2"

	"mulleinrouter/internal/cluster/configuration"
)

// goldenRatio is the step of the sequence that splits requests. Its multiples modulo 1 are distributed more evenly over
// the unit interval than those of any other step, however many of them are taken.
const goldenRatio = 0.6180339887498949

// splitter distributes the requests of routes with several services by their weights. Each route has a low-discrepancy
// sequence: in any run of n requests, the number for each service differs from its share by less than one or two
// requests, whereas independent random choices would differ by about the square root of n. The sequence has a random
// start, so that proxies that each get few requests do not all begin with the same service.
//
// A splitter is not safe for concurrent use.
type splitter struct {
	random    *rand.Rand
	positions map[string]float64 // last position in the sequence, in [0, 1), by route name
}

func newSplitter(random *rand.Rand) *splitter {
	return &splitter{random: random, positions: map[string]float64{}}
}

// choose returns the service for the next request on a split route.
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

// next advances a route's sequence and returns its new position.
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
