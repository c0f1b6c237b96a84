package retry

import (
	"math/rand/v2"
	"testing"
)

// Several ingresses with different shares of the load use a group of servers that fails, rejects or is
// healthy. Once the group fails, retries are at most a tenth of the first attempts. While it is healthy,
// retries of attempts that were provably not executed cost nothing.
func TestRetryStorm(t *testing.T) {
	for _, tc := range []struct {
		name         string
		failureShare float64 // share of the attempts that fail
		proven       bool    // failed attempts are proven not executed
		maxShare     float64 // retries per first attempt
		minShare     float64
	}{
		{"healthy", 0.02, true, 0.05, 0.015},
		{"one of four is down", 0.25, true, 0.5, 0.25},
		{
			"all reject", 1, true, 0.105, 0.09,
		},
		{"all fail", 1, false, 0.105, 0.09},
		{"most fail", 0.7, false, 0.105, 0.09},
		{"a few fail", 0.05, false, 0.08, 0.04},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			budgets := []Budget{New(), New(), New()}
			shares := []float64{0.7, 0.28, 0.02}
			firstAttempts, retries := 0.0, 0.0
			for now := 0.0; now < 120; now += 0.001 {
				n, x := 0, rng.Float64()
				for x >= shares[n] && n < 2 {
					x -= shares[n]
					n++
				}
				b := &budgets[n]
				b.ObserveFirstAttempt()
				counted := now > 5 // the initial tokens are used up by then
				if counted {
					firstAttempts++
				}
				for attempts := 1; ; attempts++ {
					ok := rng.Float64() >= tc.failureShare
					b.ObserveOutcome(now, ok)
					if ok || attempts == 4 || !b.Take(now, tc.proven, false) {
						break
					}
					if counted {
						retries++
					}
				}
			}
			if part := retries / firstAttempts; part > tc.maxShare || part < tc.minShare {
				t.Errorf("%.3f retries per first attempt, want %.3f to %.3f", part, tc.minShare, tc.maxShare)
			}
		})
	}
}

// Queued first attempts have precedence over retries of attempts that may have been executed. A group counts
// as failing only after minRecentAttempts, and not for longer than these are recent.
func TestQueuedFirstAttemptsAndFewAttempts(t *testing.T) {
	b := New()
	if b.Take(0, false, true) || !b.Take(0, false, false) {
		t.Error("a retry of a possibly executed attempt must be allowed only without queued requests")
	}
	for range 7 {
		b.ObserveOutcome(1, false)
	}
	if b.Failing(1) {
		t.Error("the group counts as failing after seven attempts")
	}
	b.ObserveOutcome(1, false)
	if !b.Failing(1) || b.Failing(10) {
		t.Error("the group must count as failing after eight attempts, but not forever")
	}
}
