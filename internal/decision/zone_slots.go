package decision

import (
	"cmp"
	"slices"
)

// homeSlotCost is the cost of a backend with a free home slot, beside that of another.
const homeSlotCost = 0.3

// zonePosition is a gateway's place among those of its zone; peers 0: it is not known.
type zonePosition struct{ rank, peers int }

// SetZoneRank sets this gateway's place among those of its zone, counted from 0.
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
// come first: each backend of a zone is then in the subset of a gateway of that zone, also one that has just
// joined. In a random order alone, one in a hundred of a large group is in the subset of no gateway.
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

// localityCost weights a backend by where it is. One in another zone costs more than one in this gateway's
// own. One with a free home slot costs less: gateways that do not know of one another's requests do not meet
// there.
func (g *Gateway) localityCost(b *backend) float64 {
	switch {
	case float64(b.inFlight)+b.abandoned < b.homeSlots:
		return homeSlotCost
	case g.settings.RemoteZoneCost > 0 && b.Zone != g.settings.Zone:
		return g.settings.RemoteZoneCost
	}
	return 1
}

// assignHomeSlots divides the slots of a group's backends in this zone evenly among the gateways of the zone,
// in an order that is the same at all of them.
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
