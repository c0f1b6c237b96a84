package plans

import (
	"testing"

	"mulleinrouter/internal/decision"
)

// Ingresses of different versions compare digests and tags, so these must not change when a field is renamed. The
// expected values are those of version 76a3bb5.
func TestDigestAndTagsAsInEarlierVersions(t *testing.T) {
	plus := decision.Plan{
		Name: "plus", Rate: 10.25, Burst: 20, MaxInFlight: 3, ValueWeight: 2.5,
		ExcessValue: 0.3, ExcessCost: 0.1, LimitRate: 40, LimitBurst: 1e7, LimitSlack: 1.5,
	}
	basic := decision.Plan{Name: "basic", Rate: 1, Burst: 2}
	r := Revision{
		Number: 7, EffectiveAt: 1764691200.5, BookableRate: 12.5,
		Plans:   []decision.Plan{plus, basic},
		Members: map[string]string{"m1": "plus", "m2": "basic"},
		Bookings: []Booking{
			{ID: "b2", Member: "m2", From: 1764691200, To: 1764694800.25, Units: 3600},
			{ID: "b1", Member: "m1", From: 1e9, To: 2e9, Units: 0.5},
		},
	}
	if got, want := r.Digest(), "40a801ce4a3565cd"; got != want {
		t.Errorf("Digest() = %s, want %s", got, want)
	}
	if got, want := plus.Tag(), "1uw37cn"; got != want {
		t.Errorf("Tag() of plus = %s, want %s", got, want)
	}
	if got, want := basic.Tag(), "ovf6pq"; got != want {
		t.Errorf("Tag() of basic = %s, want %s", got, want)
	}
}
