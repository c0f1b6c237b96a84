package decision

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"mulleinrouter/internal/decision/retry"
)

// pool is what is known of the backends of one group. A host that names no groups has one pool for all.
type pool struct {
	name     string
	order    []*backend          // in this gateway's own order of use: maps are never walked
	lat      float64             // usual time of an answer, over the fleet
	kinds    map[string]*float64 // the same by kind of backend
	size     float64             // mean told size of the backends on the list
	listed   int                 // backends on the list that serve
	reach    int                 // backends in use: the first of its order that are not resting
	trials   float64             // attempts saved up for backends that are not known to be good
	sharing  float64             // how many times more gateways use a backend than a few
	warm     int                 // of those in use, the surely warm ones, half of them at least
	retries  retry.Budget
	sentRate float64 // sends a second
	usedAt   Seconds // a request was last for it
}

// group is the pool of a group of backends, made when it is first heard of.
func (g *Gateway) group(name string) *pool {
	p := g.groups[name]
	if p == nil {
		p = &pool{name: name, lat: latStart, kinds: map[string]*float64{}, size: 1, retries: g.budget(), trials: reachLeast}
		g.groups[name], g.pools = p, append(g.pools, p)
	}
	p.usedAt = g.now
	return p
}

// all are the backends of all groups.
func (g *Gateway) all() iter.Seq[*backend] {
	return func(yield func(*backend) bool) {
		for _, p := range g.pools {
			for _, b := range p.order {
				if !yield(b) {
					return
				}
			}
		}
	}
}

// budget is that of one group for further attempts.
func (g *Gateway) budget() retry.Budget {
	if g.s.RetryShare > 0 {
		return retry.Divided(g.s.RetryShare, g.s.RetrySlack, g.s.Gateways)
	}
	return retry.New()
}

// passAll has a time pass for all groups. One that nobody has asked for long and that has no backends is forgotten: services come
// and go by the operators.
func (g *Gateway) passAll(dt Seconds) {
	g.pools = slices.DeleteFunc(g.pools, func(p *pool) bool {
		g.pass(p, dt)
		gone := p != g.pool && len(p.order) == 0 && g.now-p.usedAt > idleLapse
		if gone {
			delete(g.groups, p.name)
		}
		return gone
	})
}

// extent sets how many backends of a group it uses.
func (g *Gateway) extent(p *pool) {
	p.listed = 0
	for _, b := range p.order {
		if b.listed && b.Serving {
			p.listed++
		}
	}
	gateways, all := float64(g.s.Gateways), float64(max(1, p.listed))
	reach := min(all, math.Ceil(max(reachLeast, reachFew*all/gateways, reachSpan*p.sentRate)))
	p.reach, p.sharing = int(reach), max(1, gateways*reach/all/reachFew)
}

// pass has a time pass for a group: what is learned fades, and who is gone is forgotten.
func (g *Gateway) pass(p *pool, dt Seconds) {
	p.sentRate *= math.Exp(-dt / sentSpan)
	p.trials = min(reachLeast, p.trials+trialRate*dt)
	g.extent(p)
	p.order = slices.DeleteFunc(p.order, func(b *backend) bool {
		// Servers come and go all day. Told of again, one is known by its start to be cold or warm.
		gone := !(b.listed && b.Serving) && b.out == 0 && g.now-b.usedAt > idleLapse
		if gone {
			delete(g.backends, b.ID)
		}
		return gone
	})
	used, warm, size, fade := 0, 0, 0.0, math.Exp(-dt/seenSpan)
	for _, b := range p.order {
		if !b.listed || !b.Serving {
			continue
		}
		size, b.seen = size+b.Size, b.seen*fade
		if g.now >= b.downTill && used < p.reach {
			if used++; g.cold(b) == 1 {
				warm++
			}
		}
		b.ghosts *= math.Exp(-dt / max(b.lat, p.lat))
		if g.now-b.usedAt > 1 {
			b.lat += latForget * dt * (*b.usual - b.lat)
			b.errs -= latForget * dt * b.errs
		}
	}
	p.warm, p.size = max(warm, (p.reach+1)/2), size/float64(max(1, p.listed))
}

// most is how many attempts a backend that tells its slots may hold from one gateway: all of them, and some that wait.
func (b *backend) most() float64 { return math.Ceil(slotsWait * b.Size) }

const slotsWait = 1.5 // of its slots: others send to it too, and it turns away what its queue does not hold

// far makes a backend in another zone cost more than one in this gateway's own, and one less while it has a slot free that is this gateway's
// to go for first: gateways that do not know of one another's requests do not meet there.
func (g *Gateway) far(b *backend) float64 {
	switch {
	case float64(b.out)+b.ghosts < b.home:
		return homeCost
	case g.s.RemoteZoneCost > 0 && b.Zone != g.s.Zone:
		return g.s.RemoteZoneCost
	}
	return 1
}

const homeCost = 0.3 // beside that of another backend

// SetZoneRank tells where this gateway stands among those of its zone.
func (g *Gateway) SetZoneRank(rank, peers int) {
	if rank < 0 || rank >= peers {
		return
	}
	g.standing = standing{rank, peers}
	for _, p := range g.pools {
		g.homes(p)
	}
}

// standing is a place among the gateways of a zone; peers 0: none is known.
type standing struct{ rank, peers int }

// homes cuts the slots of a group's backends in this zone evenly among the gateways here, in an order that all make alike.
func (g *Gateway) homes(p *pool) {
	if !g.s.CapacityInSlots || g.standing.peers == 0 {
		return
	}
	var near []*backend
	slots := 0.0
	for _, b := range p.order {
		if b.home = 0; b.listed && b.Serving && b.Zone == g.s.Zone {
			near = append(near, b)
			slots += b.Size
		}
	}
	slices.SortFunc(near, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	from := slots * float64(g.standing.rank) / float64(g.standing.peers)
	till, at := from+slots/float64(g.standing.peers), 0.0
	for _, b := range near {
		b.home = max(0, min(at+b.Size, till)-max(at, from))
		at += b.Size
	}
}

// SetMembers tells how many gateways there are, as it is learned. Budgets of further attempts and what a gateway uses follow.
func (g *Gateway) SetMembers(n int) {
	if n > 0 && n != g.s.Gateways {
		g.s.Gateways = n
		for _, p := range g.pools {
			p.retries.Divide(n)
		}
	}
}
