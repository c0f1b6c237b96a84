package hclfile

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
)

// TestPlanRoundTrip checks that no field of a plan is lost or exchanged between a file and the decision module.
func TestPlanRoundTrip(t *testing.T) {
	want := decision.Plan{
		Name: "plus", Rate: 1, Burst: 2, MaxInFlight: 3, ValueWeight: 4, ExcessValue: 5, ExcessCost: 6,
		LimitRate: 7, LimitBurst: 8, LimitSlack: 9,
	}
	if diff := cmp.Diff(want, FromPlan(want).Plan()); diff != "" {
		t.Errorf("after FromPlan and Plan (-want +got):\n%s", diff)
	}
}
