package decision

import (
	"fmt"
	"testing"
)

// Guards against attempts at ejected backends once the others have reached their limits: 39% of the
// attempts got no connection (ic5a586).
func TestReachedLimitsDoNotSendWorkToEjectedBackends(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	g.backends["x"].ejectedUntil = 100
	sent := map[string]int{}
	for i := uint64(0); i < 20; i++ {
		for _, s := range actionsOf[Send](g.Handle(1, testRequest(i, "safe", "free"))) {
			sent[s.Backend]++
		}
	}
	if sent["x"] != 0 || sent["y"] != initialLimit/2 { // the limit is divided between two gateways
		t.Errorf("sent %v, want none to x and 6 to y", sent)
	}
}

// Gateways without recent answers must choose different backends, and larger ones more often. Otherwise all
// of them would overload the same one.
func TestGatewaysWithoutEvidenceDoNotChooseAlike(t *testing.T) {
	list, sent := []Backend{}, map[string]int{}
	for i := range 20 {
		b := servingBackend(fmt.Sprint("b", i))
		if b.Size = 1; i < 10 {
			b.Size = 2
		}
		list = append(list, b)
	}
	big := 0
	for seed := range uint64(600) {
		g := New(testSettings(), seed)
		g.Handle(0, Start{})
		g.Handle(0, Backends{Complete: true, List: list})
		g.tick()
		for _, s := range actionsOf[Send](g.Handle(0.1, testRequest(1, "safe", "free"))) {
			if sent[s.Backend]++; g.backends[s.Backend].Size == 2 {
				big++
			}
		}
	}
	if len(sent) != 20 || big < 350 || big > 450 {
		t.Errorf(
			"600 gateways sent to %d of 20 backends, %d to those of twice the size; want 400", len(sent), big,
		)
	}
}

// Each backend must be in the subsets of several gateways. A subset must grow with the traffic, and must hold
// all backends if there are few gateways.
func TestSubsetsCoverAllBackends(t *testing.T) {
	gateways, list := newTestFleet(240, 60)
	users := map[string]int{}
	for _, g := range gateways {
		if g.defaultPool.subsetSize != int(minSubset) {
			t.Fatalf("initial subset size %d", g.defaultPool.subsetSize)
		}
		for _, b := range g.defaultPool.order[:g.defaultPool.subsetSize] {
			users[b.ID]++
		}
		before := g.defaultPool.order[0].ID
		g.Handle(1, Backends{List: []Backend{servingBackend("new")}})
		if g.defaultPool.order[0].ID != before && g.defaultPool.order[0].ID != "new" {
			t.Error("a new backend changed the order of the others")
		}
		g.defaultPool.sendRate = 200 // most traffic comes through this gateway
		if g.tick(); g.defaultPool.subsetSize != 61 {
			t.Errorf("subset size %d at 200 attempts per second", g.defaultPool.subsetSize)
		}
	}
	for _, b := range list {
		if n := users[b.ID]; n < 3 || n > 30 { // 16 on average
			t.Errorf("%s is used by %d gateways", b.ID, n)
		}
	}
	few, list := newTestFleet(3, 10)
	for _, g := range few {
		if g.defaultPool.subsetSize != len(list) || g.defaultPool.gatewaysPerBackend != 1 {
			t.Errorf(
				"few gateways: subset size %d, gateways per backend %v", g.defaultPool.subsetSize,
				g.defaultPool.gatewaysPerBackend,
			)
		}
	}
}

// If all backends are ejected, requests must still be sent, because the fault may be in the gateway's own
// network.
func TestNoOutlierWhereAllAreUnhealthy(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	for _, b := range g.defaultPool.order {
		b.ejectedUntil = 100
	}
	if len(actionsOf[Send](g.Handle(1, testRequest(1, "safe", "free")))) != 1 {
		t.Error("no attempt although all backends are equally unhealthy")
	}
}
