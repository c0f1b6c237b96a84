package singleton

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var (
	one = Identity{"n1", 1, 1}
	two = Identity{"n2", 1, 1}
)

// rules plays what the parts must do each for itself, and gives the first that does not hold.
func rules() string {
	r := NewLeaseTable()
	for i, s := range []struct {
		c    Command
		ok   bool
		last uint64
	}{
		{Command{Kind: Grant, Role: "d", To: one}, true, 1},
		{Command{Kind: Grant, Role: "d", To: two, Token: 1}, false, 1}, // it is held
		{Command{Kind: Grant, Role: "d", To: two}, false, 1},           // and the proposer knew an older state
		{Command{Kind: Renew, Role: "d", To: two, Token: 1}, false, 1},
		{Command{Kind: Renew, Role: "d", To: one, Token: 1}, true, 1},
		{Command{Kind: Expire, Role: "d", Token: 1, RenewedAt: 1}, false, 1}, // renewed since
		{Command{Kind: Release, Role: "d", To: two, Token: 1}, false, 1},
		{Command{Kind: Expire, Role: "d", Token: 1, RenewedAt: 5}, true, 1},
		{Command{Kind: Renew, Role: "d", To: one, Token: 1}, false, 1}, // too late
		{Command{Kind: Grant, Role: "d", To: two, Token: 0}, false, 1}, // of an older state
		{Command{Kind: Grant, Role: "d", To: two, Token: 1}, true, 2},
		{Command{Kind: Release, Role: "d", To: two, Token: 2}, true, 2},
		{Command{Kind: Grant, Role: "", To: two}, false, 2},
	} {
		if ok := r.Apply(s.c, uint64(i+1)); ok != s.ok || r.LastToken != s.last {
			return fmt.Sprintf("command %d, %+v: %v with token %d", i, s.c, ok, r.LastToken)
		}
	}
	// The lease counts from when the question was sent; a grant is none before it was confirmed; who woke acts on nothing.
	h := NewLeaseHolder(one, "a")
	h.Step(0, Acquire{Role: "d"})
	answer := func(now Seconds, id, token uint64, held bool) {
		h.Step(now, ResponseReceived{AcquireResponse{ID: id, Grants: []RoleStatus{{Role: "d", Token: token, Confirmed: held, IsHolder: true, Holder: "n1"}}}})
	}
	may := func(now Seconds) bool { _, ok := h.FencingToken(now, "d"); return ok }
	answer(0.4, 1, 7, false) // the question of 0 hears of the grant, the next one is sent at once
	if may(0.5) {
		return "a grant is acted on before it was confirmed"
	}
	answer(1.2, 2, 7, true)
	if !may(1.3) || h.ExpiresAt("d") != 0.4+LeaseDuration {
		return fmt.Sprintf("the lease of a question of 0.4 ends at %.1f", h.ExpiresAt("d"))
	}
	if may(0.4 + LeaseDuration) {
		return "it is acted on when the lease has ended"
	}
	h.Step(1.4, StallDetected{})
	if may(1.5) {
		return "it woke, and acts before it has asked"
	}
	answer(1.6, 4, 7, true) // sent with the waking
	if !may(1.7) {
		return "it woke and asked, and does not act"
	}
	return ""
}

func TestRules(t *testing.T) {
	if text := rules(); text != "" {
		t.Error(text)
	}
}

// Who waits has the duty in the order of zone, load and name; who is named goes first; nobody is pushed out.
func TestLine(t *testing.T) {
	r := NewLeaseTable()
	c := NewLeaseManager(r)
	index := uint64(0)
	step := func(now Seconds, e ManagerEvent) {
		for queue := c.Step(now, e); len(queue) > 0; queue = queue[1:] {
			if p, ok := queue[0].(Propose); ok {
				index++
				queue = append(queue, c.Step(now, CommandApplied{p.Command, r.Apply(p.Command, index)})...)
			}
		}
	}
	ask := func(now Seconds, who Identity, zone string, load float64, w RoleRequest) {
		w.Role, w.PreferredZone = "d", "b"
		step(now, RequestReceived{AcquireRequest{From: who, Zone: zone, Load: load, Roles: []RoleRequest{w}}})
	}
	three := Identity{"n3", 1, 1}
	step(0, LeadershipGained{})
	for now := 0.1; now < 1; now += 0.1 {
		ask(now, one, "a", 0.1, RoleRequest{})
		ask(now, two, "b", 0.9, RoleRequest{})
		ask(now, three, "b", 0.3, RoleRequest{})
		step(now, ManagerTick{})
	}
	if got := r.Leases["d"].Holder.Name; got != "n3" { // of the zone that is preferred the one with less to do
		t.Errorf("%s holds it", got)
	}
	ask(1.0, one, "b", 0, RoleRequest{}) // better than the holder by now
	step(1.1, ManagerTick{})
	if diff := cmp.Diff([]string{"n1", "n2"}, c.Candidates("d")); diff != "" || r.Leases["d"].Holder != three {
		t.Errorf("%v holds it; the line:\n%s", r.Leases["d"].Holder, diff)
	}
	step(1.2, Transfer{"d", "n2"})
	ask(1.3, three, "b", 0.3, RoleRequest{Token: 1, Release: true})
	if got := r.Leases["d"]; got.Holder != two || got.Token != 2 {
		t.Errorf("given to n2, it is %v", got)
	}
}
