package proxy

import (
	"math"
	"math/rand/v2"
	"testing"

	"mulleinrouter/internal/cluster/configuration"
)

// TestSplitsOfFewRequests splits a few hundred requests over several proxies. Each service must get its share with a
// far smaller error than that of independent random choices, and over all seeds the first choice of a proxy must not be
// biased towards a service.
func TestSplitsOfFewRequests(t *testing.T) {
	for _, weights := range [][]float64{{90, 10}, {30, 70}, {1, 1, 1}, {5, 0, 95}, {1, 99}} {
		route := &configuration.Route{Name: "r"}
		sum := 0.0
		for n, w := range weights {
			route.Split = append(route.Split, configuration.WeightedService{Service: string(rune('a' + n)), Weight: w})
			sum += w
		}
		firsts := map[string]float64{}
		const seeds, proxies, requests = 200, 11, 300
		for seed := range uint64(seeds) {
			var all []*splitter
			for n := range uint64(proxies) {
				all = append(all, newSplitter(rand.New(rand.NewPCG(seed, n))))
			}
			load, counts := rand.New(rand.NewPCG(seed, 99)), map[string]int{}
			for range requests {
				counts[all[load.IntN(proxies)].choose(route)]++
			}
			for n, w := range weights {
				// 12 requests are 4%; independent random choices sometimes differ by 26
				if off := math.Abs(float64(counts[route.Split[n].Service]) - requests*w/sum); off > 12 {
					t.Errorf("weights %v, seed %d: part %d got %d of %d requests, want its weight",
						weights, seed, n, counts[route.Split[n].Service], requests)
				}
			}
			firsts[newSplitter(rand.New(rand.NewPCG(seed, 7))).choose(route)]++
		}
		for n, w := range weights {
			if got := firsts[route.Split[n].Service] / seeds; math.Abs(got-w/sum) > 0.12 {
				t.Errorf("weights %v: part %d is the first choice of %.2f of the proxies", weights, n, got)
			}
		}
	}
}
