package conformance

import "testing"

// The estimate starts at 1 and follows the recent observations, separately for first requests and retries.
func TestEstimator(t *testing.T) {
	var estimator Estimator
	if estimator.Conforming(false) != 1 || estimator.Conforming(true) != 1 {
		t.Error("not all requests conform before any observation")
	}
	estimator.Observe(true, 0)
	if got := estimator.Conforming(true); got != 0.5 {
		t.Errorf("probability %v after one observation against the prior, want 0.5", got)
	}
	for range 10 { // 20 s of observations, one in two seconds
		estimator.Observe(true, 0.2)
		estimator.Observe(false, 0.9)
	}
	if got := estimator.Conforming(true); got < 0.2 || got > 0.35 {
		t.Errorf("probability of retries %v, want 0.2 to 0.35", got)
	}
	if got := estimator.Conforming(false); got < 0.9 || got > 0.95 {
		t.Errorf("probability of first requests %v, want 0.9 to 0.95", got)
	}
	for range 40 {
		estimator.Observe(true, 1)
	}
	if got := estimator.Conforming(true); got < 0.8 {
		t.Errorf("probability %v after forty conforming requests, want at least 0.8", got)
	}
}
