package conformance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The share above a value follows the recent demand, and the number of values is bounded.
func TestValueDistribution(t *testing.T) {
	var distribution ValueDistribution
	if distribution.ShareAbove(1) != 0 {
		t.Error("the empty distribution has a share above a value")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	sum, n := 0.0, 0.0
	for i := range 3000 {
		if rng.IntN(2) == 0 {
			distribution.Observe(5, 2)
		} else {
			distribution.Observe(3, 1)
		}
		if distribution.ShareAbove(5) != 0 {
			t.Fatal("share above the highest value is not 0")
		}
		if i > 200 {
			sum, n = sum+distribution.ShareAbove(3), n+1
		}
	}
	if got := sum / n; math.Abs(got-2.0/3) > 0.03 {
		t.Errorf("share above 3 is %.2f, want two thirds", got)
	}
	for range 150 {
		distribution.Observe(3, 1)
	}
	if distribution.ShareAbove(3) > 0.05 {
		t.Errorf("share above 3 is still %.2f, want at most 0.05", distribution.ShareAbove(3))
	}
	for i := range 10_000 { // many distinct values must not make it grow
		distribution.Observe(float64(i), 1)
	}
	if len(distribution.values) > maxValues || distribution.ShareAbove(0) > 1 {
		t.Errorf("%d values, want at most 16 and a share above 0 of at most 1", len(distribution.values))
	}
}
