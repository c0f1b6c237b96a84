package retry

import (
	"math/rand/v2"
	"testing"
)

// Several ingresses with unlike shares of the load, and a group that fails, rejects or is well: further
// attempts are at most a tenth of the first ones once it fails, and what is proven is free while it is well.
func TestRetryStorm(t *testing.T) {
	for _, tc := range []struct {
		name     string
		bad      float64 // share of the attempts that fail
		proven   bool
		maxShare float64 // further attempts by first ones
		minShare float64
	}{
		{"well", 0.02, true, 0.05, 0.015},
		{"one of four is down", 0.25, true, 0.5, 0.25},
		{
			"all turn away", 1, true, 0.105, 0.09,
		},
		{"all fail", 1, false, 0.105, 0.09},
		{"most fail", 0.7, false, 0.105, 0.09},
		{"a few fail", 0.05, false, 0.08, 0.04},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			budgets := []Budget{New(), New(), New()}
			shares := []float64{0.7, 0.28, 0.02}
			firsts, furthers := 0.0, 0.0
			for now := 0.0; now < 120; now += 0.001 {
				n, x := 0, rng.Float64()
				for x >= shares[n] && n < 2 {
					x -= shares[n]
					n++
				}
				b := &budgets[n]
				b.ObserveFirstAttempt()
				counted := now > 5 // the tokens of the start are gone by then
				if counted {
					firsts++
				}
				for attempts := 1; ; attempts++ {
					ok := rng.Float64() >= tc.bad
					b.ObserveOutcome(now, ok)
					if ok || attempts == 4 || !b.Take(now, tc.proven, false) {
						break
					}
					if counted {
						furthers++
					}
				}
			}
			if part := furthers / firsts; part > tc.maxShare || part < tc.minShare {
				t.Errorf("%.3f further attempts for a first one, want %.3f to %.3f", part, tc.minShare, tc.maxShare)
			}
		})
	}
}

func TestQueuedFirstAttemptsAndFewAttempts(t *testing.T) {
	b := New()
	if b.Take(0, false, true) || !b.Take(0, false, false) {
		t.Error("what may have run goes before first attempts that wait, or not at all")
	}
	for range 7 {
		b.ObserveOutcome(1, false)
	}
	if b.Failing(1) {
		t.Error("seven attempts tell of a whole group")
	}
	b.ObserveOutcome(1, false)
	if !b.Failing(1) || b.Failing(10) {
		t.Error("eight do, and not for ever")
	}
}
