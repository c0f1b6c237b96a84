package singleton

import (
	"fmt"
	"testing"
)

// checkLeaseHolder plays the responses of a leader to a LeaseHolder and returns an error for the first rule that is
// broken: a lease starts when the request was sent, a grant gives no lease until it is confirmed, and a process that
// was paused must not act. The test of seeded faults expects an error from this check or from checkLeaseTable.
func checkLeaseHolder() error {
	holder := NewLeaseHolder(n1, "a")
	respond := func(now Seconds, id, token uint64, confirmed bool) {
		status := RoleStatus{Role: "d", Token: token, Confirmed: confirmed, IsHolder: true, Holder: "n1"}
		holder.Step(now, ResponseReceived{AcquireResponse{ID: id, Statuses: []RoleStatus{status}}})
	}
	checkActing := func(now Seconds, when string, want bool) error {
		if _, got := holder.FencingToken(now, "d"); got != want {
			return fmt.Errorf("%s: acting is %v, want %v", when, got, want)
		}
		return nil
	}

	holder.Step(0, Acquire{Role: "d"})
	respond(0.4, 1, 7, false) // reports the grant to the request sent at 0; the next request is sent at once
	if err := checkActing(0.5, "granted, not confirmed", false); err != nil {
		return err
	}
	respond(1.2, 2, 7, true)
	if err := checkActing(1.3, "confirmed", true); err != nil {
		return err
	}
	if got := holder.ExpiresAt("d"); got != 0.4+LeaseDuration {
		return fmt.Errorf("the lease of a request sent at 0.4 ends at %.2f, want %.2f", got, 0.4+LeaseDuration)
	}
	if err := checkActing(0.4+LeaseDuration, "at the end of the lease", false); err != nil {
		return err
	}
	holder.Step(1.4, StallDetected{})
	if err := checkActing(1.5, "after a pause", false); err != nil {
		return err
	}
	respond(1.6, 4, 7, true) // responds to the request that StallDetected sent
	return checkActing(1.7, "confirmed after a pause", true)
}

func TestLeaseHolder(t *testing.T) {
	if err := checkLeaseHolder(); err != nil {
		t.Error(err)
	}
}
