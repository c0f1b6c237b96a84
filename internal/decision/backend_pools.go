package decision

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"mulleinrouter/internal/decision/retry"
)

// pool is what is known of the backends of one group. A host that names no groups has one pool for all.
type backendPool struct {
	name               string
	order              []*backend          // in this gateway's own order of use: maps are never walked
	latency            float64             // usual time of an answer, over the fleet
	kindLatencies      map[string]*float64 // the same by kind of backend
	meanSize           float64             // mean told size of the backends on the list
	serving            int                 // backends on the list that serve
	subsetSize         int                 // backends in use: the first of its order that are not resting
	trialTokens        float64             // attempts saved up for backends that are not known to be good
	gatewaysPerBackend float64             // how many times more gateways use a backend than a few
	warm               int                 // of those in use, the surely warm ones, half of them at least
	retryBudget        retry.Budget
	sendRate           float64 // sends a second
	usedAt             Seconds // a request was last for it
}

// group is the pool of a group of backends, made when it is first heard of.
func (g *Gateway) poolFor(name string) *backendPool {
	p := g.poolsByGroup[name]
	if p == nil {
		p = &backendPool{name: name, latency: initialLatency, kindLatencies: map[string]*float64{}, meanSize: 1, retryBudget: g.newRetryBudget(), trialTokens: minSubset}
		g.poolsByGroup[name], g.pools = p, append(g.pools, p)
	}
	p.usedAt = g.now
	return p
}

// all are the backends of all groups.
func (g *Gateway) allBackends() iter.Seq[*backend] {
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
func (g *Gateway) newRetryBudget() retry.Budget {
	if g.settings.RetryShare > 0 {
		return retry.Divided(g.settings.RetryShare, g.settings.RetrySlack, g.settings.Gateways)
	}
	return retry.New()
}

// passAll has a time pass for all groups. One that nobody has asked for long and that has no backends is forgotten: services come
// and go by the operators.
func (g *Gateway) agePools(dt Seconds) {
	g.pools = slices.DeleteFunc(g.pools, func(p *backendPool) bool {
		g.agePool(p, dt)
		gone := p != g.defaultPool && len(p.order) == 0 && g.now-p.usedAt > idleExpiry
		if gone {
			delete(g.poolsByGroup, p.name)
		}
		return gone
	})
}

// extent sets how many backends of a group it uses.
func (g *Gateway) updateSubset(p *backendPool) {
	p.serving = 0
	for _, b := range p.order {
		if b.listed && b.Serving {
			p.serving++
		}
	}
	gateways, all := float64(g.settings.Gateways), float64(max(1, p.serving))
	reach := min(all, math.Ceil(max(minSubset, minGatewaysPerBackend*all/gateways, subsetContactInterval*p.sendRate)))
	p.subsetSize, p.gatewaysPerBackend = int(reach), max(1, gateways*reach/all/minGatewaysPerBackend)
}

// pass has a time pass for a group: what is learned fades, and who is gone is forgotten.
func (g *Gateway) agePool(p *backendPool, dt Seconds) {
	p.sendRate *= math.Exp(-dt / sendRateWindow)
	p.trialTokens = min(minSubset, p.trialTokens+trialsPerSecond*dt)
	g.updateSubset(p)
	p.order = slices.DeleteFunc(p.order, func(b *backend) bool {
		// Servers come and go all day. Told of again, one is known by its start to be cold or warm.
		gone := !(b.listed && b.Serving) && b.inFlight == 0 && g.now-b.lastSentAt > idleExpiry
		if gone {
			delete(g.backends, b.ID)
		}
		return gone
	})
	used, warm, size, fade := 0, 0, 0.0, math.Exp(-dt/answerWindow)
	for _, b := range p.order {
		if !b.listed || !b.Serving {
			continue
		}
		size, b.recentAnswers = size+b.Size, b.recentAnswers*fade
		if g.now >= b.ejectedUntil && used < p.subsetSize {
			if used++; g.warmFraction(b) == 1 {
				warm++
			}
		}
		b.abandoned *= math.Exp(-dt / max(b.latency, p.latency))
		if g.now-b.lastSentAt > 1 {
			b.latency += latencyForgetRate * dt * (*b.kindLatency - b.latency)
			b.errorRate -= latencyForgetRate * dt * b.errorRate
		}
	}
	p.warm, p.meanSize = max(warm, (p.subsetSize+1)/2), size/float64(max(1, p.serving))
}

// most is how many attempts a backend that tells its slots may hold from one gateway: all of them, and some that wait.
func (b *backend) slotLimit() float64 { return math.Ceil(slotOverbooking * b.Size) }

const slotOverbooking = 1.5 // of its slots: others send to it too, and it turns away what its queue does not hold

// far makes a backend in another zone cost more than one in this gateway's own, and one less while it has a slot free that is this gateway's
// to go for first: gateways that do not know of one another's requests do not meet there.
func (g *Gateway) localityCost(b *backend) float64 {
	switch {
	case float64(b.inFlight)+b.abandoned < b.homeSlots:
		return homeSlotCost
	case g.settings.RemoteZoneCost > 0 && b.Zone != g.settings.Zone:
		return g.settings.RemoteZoneCost
	}
	return 1
}

const homeSlotCost = 0.3 // beside that of another backend

// SetZoneRank tells where this gateway stands among those of its zone.
func (g *Gateway) SetZoneRank(rank, peers int) {
	if rank < 0 || rank >= peers {
		return
	}
	g.zonePosition = zonePosition{rank, peers}
	for _, p := range g.pools {
		g.assignHomeSlots(p)
	}
}

// standing is a place among the gateways of a zone; peers 0: none is known.
type zonePosition struct{ rank, peers int }

// homes cuts the slots of a group's backends in this zone evenly among the gateways here, in an order that all make alike.
func (g *Gateway) assignHomeSlots(p *backendPool) {
	if !g.settings.CapacityInSlots || g.zonePosition.peers == 0 {
		return
	}
	var near []*backend
	slots := 0.0
	for _, b := range p.order {
		if b.homeSlots = 0; b.listed && b.Serving && b.Zone == g.settings.Zone {
			near = append(near, b)
			slots += b.Size
		}
	}
	slices.SortFunc(near, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	from := slots * float64(g.zonePosition.rank) / float64(g.zonePosition.peers)
	till, at := from+slots/float64(g.zonePosition.peers), 0.0
	for _, b := range near {
		b.homeSlots = max(0, min(at+b.Size, till)-max(at, from))
		at += b.Size
	}
}

// SetMembers tells how many gateways there are, as it is learned. Budgets of further attempts and what a gateway uses follow.
func (g *Gateway) SetMembers(n int) {
	if n > 0 && n != g.settings.Gateways {
		g.settings.Gateways = n
		for _, p := range g.pools {
			p.retryBudget.SetGateways(n)
		}
	}
}
