package conformance

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestValueDistribution(t *testing.T) {
	var m ValueDistribution
	if m.ShareAbove(1) != 0 {
		t.Error("knows something before anything was asked")
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	sum, n := 0.0, 0.0
	for i := range 3000 {
		if rnd.IntN(2) == 0 {
			m.Observe(5, 2)
		} else {
			m.Observe(3, 1)
		}
		if m.ShareAbove(5) != 0 {
			t.Fatal("something is dearer than the dearest")
		}
		if i > 200 {
			sum, n = sum+m.ShareAbove(3), n+1
		}
	}
	if got := sum / n; math.Abs(got-2.0/3) > 0.03 {
		t.Errorf("%.2f is dearer, want two thirds", got)
	}
	for range 150 {
		m.Observe(3, 1)
	}
	if m.ShareAbove(3) > 0.05 {
		t.Errorf("%.2f is still dearer", m.ShareAbove(3))
	}
	for i := range 10_000 { // odd worths do not grow it
		m.Observe(float64(i), 1)
	}
	if len(m.values) > maxValues || m.ShareAbove(0) > 1 {
		t.Errorf("%d worths", len(m.values))
	}
}
