package decision

import (
	"cmp"
	"slices"
)

// homeSlotCost is the cost of a backend with a free home slot, relative to a backend in this zone without
// one.
const homeSlotCost = 0.3

// zonePosition is a gateway's rank among the gateways of its zone, and their number; peers 0: not known.
type zonePosition struct{ rank, peers int }

// SetZoneRank sets this gateway's rank among the gateways of its zone, from 0, and their number. A rank out
// of range is ignored.
func (g *Gateway) SetZoneRank(rank, peers int) {
	if rank < 0 || rank >= peers {
		return
	}
	g.zonePosition = zonePosition{rank: rank, peers: peers}
	for _, p := range g.pools {
		g.orderBackends(p)
	}
}

// orderBackends sorts the backends of a group into this gateway's own order of use. Those with home slots
// come first, so that each backend of a zone, even one that has just joined, is in the subset of a gateway
// of that zone. With a purely random order, one in a hundred backends of a large group is in no gateway's
// subset.
func (g *Gateway) orderBackends(p *backendPool) {
	g.assignHomeSlots(p)
	slices.SortFunc(p.order, func(a, b *backend) int {
		return cmp.Or(compareBool(b.homeSlots > 0, a.homeSlots > 0), cmp.Compare(a.rank, b.rank))
	})
}

// compareBool compares two booleans, false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// localityCost returns a backend's cost factor for its zone and its home slots. A backend in another zone
// costs more than one in this gateway's zone. A backend with a free home slot costs less, because no other
// gateway prefers that slot, so gateways that do not know each other's requests do not collide there.
func (g *Gateway) localityCost(b *backend) float64 {
	switch {
	case float64(b.inFlight)+b.abandoned < b.homeSlots:
		return homeSlotCost
	case g.settings.RemoteZoneCost > 0 && b.Zone != g.settings.Zone:
		return g.settings.RemoteZoneCost
	}
	return 1
}

// assignHomeSlots divides the slots of a group's backends in this zone evenly among the gateways of the
// zone. It goes through the backends in the order of their IDs, so that all gateways compute the same
// division.
func (g *Gateway) assignHomeSlots(p *backendPool) {
	if !g.settings.CapacityInSlots || g.zonePosition.peers == 0 {
		return
	}
	p.homeBackends = 0
	var local []*backend
	slots := 0.0
	for _, b := range p.order {
		b.homeSlots = 0
		if b.available() && b.Zone == g.settings.Zone {
			local = append(local, b)
			slots += b.Size
		}
	}
	slices.SortFunc(local, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	first := slots * float64(g.zonePosition.rank) / float64(g.zonePosition.peers)
	end := first + slots/float64(g.zonePosition.peers)
	offset := 0.0
	for _, b := range local {
		b.homeSlots = max(0, min(offset+b.Size, end)-max(offset, first))
		offset += b.Size
		if b.homeSlots > 0 {
			p.homeBackends++
		}
	}
}
