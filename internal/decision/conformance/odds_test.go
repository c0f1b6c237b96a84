package conformance

import "testing"

func TestOdds(t *testing.T) {
	var o Estimator
	if o.Inside(false) != 1 || o.Inside(true) != 1 {
		t.Error("knows something before anything was told")
	}
	o.Told(true, 0)
	if got := o.Inside(true); got != 0.5 {
		t.Errorf("one answer against the prior: %v", got)
	}
	for range 10 { // at one answer in two seconds: what is learned within the first rush
		o.Told(true, 0.2)
		o.Told(false, 0.9)
	}
	if got := o.Inside(true); got < 0.2 || got > 0.35 {
		t.Errorf("repeats: %v", got)
	}
	if got := o.Inside(false); got < 0.9 || got > 0.95 {
		t.Errorf("first tries: %v", got)
	}
	for range 40 {
		o.Told(true, 1)
	}
	if got := o.Inside(true); got < 0.8 {
		t.Errorf("still %v after forty that were inside", got)
	}
}
