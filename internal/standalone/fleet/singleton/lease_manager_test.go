package singleton

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// managerHarness is a manager whose proposals are applied to its table at once.
type managerHarness struct {
	table   *LeaseTable
	manager *LeaseManager
	index   uint64
}

func newManagerHarness() *managerHarness {
	table := NewLeaseTable()
	return &managerHarness{table: table, manager: NewLeaseManager(table)}
}

func (d *managerHarness) step(now Seconds, event ManagerEvent) {
	actions := d.manager.Step(now, event)
	for ; len(actions) > 0; actions = actions[1:] {
		if p, ok := actions[0].(Propose); ok {
			d.index++
			applied := CommandApplied{Command: p.Command, OK: d.table.Apply(p.Command, d.index)}
			actions = append(actions, d.manager.Step(now, applied)...)
		}
	}
}

// request sends a request for the role "d" with "b" as its preferred zone.
func (d *managerHarness) request(now Seconds, from Identity, zone string, load float64, r RoleRequest) {
	r.Role, r.PreferredZone = "d", "b"
	d.step(now, RequestReceived{AcquireRequest{From: from, Zone: zone, Load: load, Roles: []RoleRequest{r}}})
}

// TestCandidateOrder checks that a free role is granted in the order of zone, load and name, that the target of a
// transfer goes first, and that a holder is not preempted by a candidate that would come before it.
func TestCandidateOrder(t *testing.T) {
	d := newManagerHarness()
	d.step(0, LeadershipGained{})
	for now := 0.1; now < 1; now += 0.1 {
		d.request(now, n1, "a", 0.1, RoleRequest{})
		d.request(now, n2, "b", 0.9, RoleRequest{})
		d.request(now, n3, "b", 0.3, RoleRequest{})
		d.step(now, ManagerTick{})
	}
	if got := d.table.Leases["d"].Holder.Name; got != "n3" { // n3 has the smaller load in the preferred zone
		t.Errorf("holder is %s, want n3", got)
	}

	d.request(1.0, n1, "b", 0, RoleRequest{}) // n1 would now come before the holder in the order
	d.step(1.1, ManagerTick{})
	if got := d.table.Leases["d"].Holder; got != n3 {
		t.Errorf("holder is %v, want %v", got, n3)
	}
	if diff := cmp.Diff([]string{"n1", "n2"}, d.manager.Candidates("d")); diff != "" {
		t.Errorf("candidates (-want +got):\n%s", diff)
	}

	d.step(1.2, Transfer{Role: "d", To: "n2"})
	d.request(1.3, n3, "b", 0.3, RoleRequest{Token: 1, Release: true})
	if got := d.table.Leases["d"]; got.Holder != n2 || got.Token != 2 {
		t.Errorf("after the transfer the lease is %+v, want holder %v and token 2", got, n2)
	}
}

// checkGrantResponse returns an error if the response to a request that does not carry the token of its grant says that
// the lease is confirmed. A lease must start with a request that carries its token. The test of a seeded fault expects
// an error.
func checkGrantResponse() error {
	d := newManagerHarness()
	d.step(0, LeadershipGained{})
	for now := 0.1; now < 1; now += 0.1 {
		d.request(now, n1, "a", 0, RoleRequest{})
		d.step(now, ManagerTick{})
	}
	request := AcquireRequest{From: n1, ID: 9, Roles: []RoleRequest{{Role: "d"}}}
	actions := d.manager.Step(1, RequestReceived{request})
	want := []ManagerAction{Reply{To: n1, Response: AcquireResponse{
		ID:       9,
		Statuses: []RoleStatus{{Role: "d", Token: 1, Holder: "n1", IsHolder: true}},
	}}}
	if diff := cmp.Diff(want, actions); diff != "" {
		return fmt.Errorf("response to a request without the token of its grant (-want +got):\n%s", diff)
	}
	return nil
}

func TestGrantResponse(t *testing.T) {
	if err := checkGrantResponse(); err != nil {
		t.Error(err)
	}
}
