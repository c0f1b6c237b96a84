package usage

import (
	"encoding/json"
	"testing"

	"mulleinrouter/internal/decision"
)

// Arrived and NotArrived need proof. Without proof the arrival is unknown, and the request is counted in another row.
func TestArrivalOf(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcome  decision.Outcome
		answered bool
		want     Arrival
	}{
		{"succeeded", decision.Succeeded, true, Arrived},
		{"rejected", decision.Rejected, true, Arrived},
		{"a 500", decision.Failed, true, Arrived},
		{"a malformed answer", decision.Failed, false, ArrivalUnknown},
		{"timed out", decision.TimedOut, false, ArrivalUnknown},
		{"connection reset", decision.ConnectionReset, false, ArrivalUnknown},
		{"cancelled", decision.Cancelled, false, ArrivalUnknown},
		{"connection refused", decision.ConnectionRefused, false, NotArrived},
		{"not sent", decision.NotSent, false, NotArrived},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := ArrivalOf(tc.outcome, tc.answered); got != tc.want {
				t.Errorf("outcome %v, answered %v: got %v, want %v", tc.outcome, tc.answered, got, tc.want)
			}
		})
	}
}

// Pending requests are stored as JSON, so the names of the fields must not change.
func TestRequestJSON(t *testing.T) {
	const want = `{"Tenant":"t","Member":"m","Plan":"p","Class":"c","Revision":7,"Units":1500000,"Beyond":true,` +
		`"Minute":29000000}`
	got, err := json.Marshal(Request{
		Tenant:    "t",
		Member:    "m",
		Plan:      "p",
		Class:     "c",
		Revision:  7,
		Units:     1_500_000,
		OverQuota: true,
		Minute:    29_000_000,
	})
	if err != nil || string(got) != want {
		t.Errorf("got %s, error %v, want %s", got, err, want)
	}
}
