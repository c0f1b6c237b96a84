package decision

import (
	"iter"
	"math"
	"slices"

	"mulleinrouter/internal/decision/retry"
)

const (
	initialLatency    = 0.1 // s, before any answer
	latencyForgetRate = 0.2 // part a second by which unused backends forget their latency and errors
	unusedAfter       = 1.0 // s without an attempt after which a backend is unused
	answerWindow      = 2.0 // s for which an answer is evidence of the present
	sendRateWindow    = 3.0 // s

	// Subsetting: each gateway uses only some backends of a large group.
	minSubset             = 4.0 // backends
	minGatewaysPerBackend = 4.0 // where there are as many
	// Seconds in which each backend of a subset is met once: with less, there is no evidence.
	subsetContactInterval = 1.0

	// Trial tokens pay for attempts at backends that are not known to be healthy.
	trialsPerAnswer = 0.1 // good ones
	trialsPerSecond = 0.1 // with fewer, a gateway that has only unhealthy backends is starved

	// slotOverbooking is how many attempts a gateway may have at a backend for each of its slots: others send
	// to it too, and it rejects what its queue does not hold.
	slotOverbooking = 1.5
)

// backendPool is what is known of the backends of one group. A host that names no groups has one pool for
// all.
type backendPool struct {
	name               string
	order              []*backend          // in this gateway's own order of use
	homeBackends       int                 // those with home slots: the first of the order
	latency            Seconds             // typical, over the group
	kindLatencies      map[string]*float64 // the same by kind of backend
	meanSize           float64             // of the available backends
	serving            int                 // available backends
	subsetSize         int                 // backends in use: the first of the order that are not ejected
	trialTokens        float64
	gatewaysPerBackend float64 // that use one backend, as a multiple of minGatewaysPerBackend
	warm               int     // surely warm ones of those in use, half of them at least
	retryBudget        retry.Budget
	sendRate           float64 // attempts a second
	lastUsedAt         Seconds // when a request last was for it
	waiting            waitingValues
	lowestValue        lowestValue
}

// poolFor returns the pool of a group of backends. It creates one that is not known.
func (g *Gateway) poolFor(name string) *backendPool {
	p := g.poolsByGroup[name]
	if p == nil {
		p = &backendPool{
			name:          name,
			latency:       initialLatency,
			kindLatencies: map[string]*float64{},
			meanSize:      1,
			retryBudget:   g.newRetryBudget(),
			trialTokens:   minSubset,
			lowestValue:   lowestValue{value: math.Inf(1)},
		}
		g.poolsByGroup[name] = p
		g.pools = append(g.pools, p)
	}
	p.lastUsedAt = g.now
	return p
}

// allBackends iterates over the backends of all groups.
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

// newRetryBudget returns the retry budget of one group.
func (g *Gateway) newRetryBudget() retry.Budget {
	if g.settings.RetryShare > 0 {
		return retry.Divided(g.settings.RetryShare, g.settings.RetrySlack, g.settings.Gateways)
	}
	return retry.New()
}

// agePools lets time pass for all groups. One without backends that nobody has used for long is forgotten, as
// operators add and remove services.
func (g *Gateway) agePools(elapsed Seconds) {
	g.pools = slices.DeleteFunc(g.pools, func(p *backendPool) bool {
		g.agePool(p, elapsed)
		expired := p != g.defaultPool && len(p.order) == 0 && g.now-p.lastUsedAt > idleExpiry
		if expired {
			delete(g.poolsByGroup, p.name)
		}
		return expired
	})
}

// agePool lets time pass for a group: what was learned fades, and removed backends are forgotten.
func (g *Gateway) agePool(p *backendPool, elapsed Seconds) {
	p.sendRate *= math.Exp(-elapsed / sendRateWindow)
	p.trialTokens = min(minSubset, p.trialTokens+trialsPerSecond*elapsed)
	g.updateSubset(p)
	p.order = slices.DeleteFunc(p.order, func(b *backend) bool {
		// Backends come and go all day. Listed again, one is known by its start to be warm or not.
		expired := !b.available() && b.inFlight == 0 && g.now-b.lastSentAt > idleExpiry
		if expired {
			delete(g.backends, b.ID)
		}
		return expired
	})
	answerFade := math.Exp(-elapsed / answerWindow)
	used, warm, size := 0, 0, 0.0
	for _, b := range p.order {
		if !b.available() {
			continue
		}
		size += b.Size
		if g.now >= b.ejectedUntil && used < p.subsetSize {
			used++
			if g.warmFraction(b) == 1 {
				warm++
			}
		}
		b.recentAnswers *= answerFade
		g.ageBackend(b, elapsed)
	}
	p.warm = max(warm, (p.subsetSize+1)/2)
	p.meanSize = size / float64(max(1, p.serving))
}

func (g *Gateway) ageBackend(b *backend, elapsed Seconds) {
	b.abandoned *= math.Exp(-elapsed / max(b.latency, b.pool.latency))
	if g.now-b.lastSentAt > unusedAfter {
		b.latency += latencyForgetRate * elapsed * (*b.kindLatency - b.latency)
		b.errorRate -= latencyForgetRate * elapsed * b.errorRate
	}
}

// updateSubset sets how many backends of a group this gateway uses.
func (g *Gateway) updateSubset(p *backendPool) {
	p.serving = 0
	for _, b := range p.order {
		if b.available() {
			p.serving++
		}
	}
	gateways := float64(g.settings.Gateways)
	serving := float64(max(1, p.serving))
	fair := minGatewaysPerBackend * serving / gateways
	size := min(serving, math.Ceil(max(minSubset, fair, subsetContactInterval*p.sendRate)))
	size = max(size, float64(p.homeBackends))
	p.subsetSize = int(size)
	p.gatewaysPerBackend = max(1, gateways*size/serving/minGatewaysPerBackend)
}

// slotLimit is how many attempts a backend whose slots are known may hold from one gateway.
func (b *backend) slotLimit() float64 { return math.Ceil(slotOverbooking * b.Size) }

// SetMembers sets how many gateways there are, as it is learned. Retry budgets and subsets follow.
func (g *Gateway) SetMembers(n int) {
	if n <= 0 || n == g.settings.Gateways {
		return
	}
	g.settings.Gateways = n
	for _, p := range g.pools {
		p.retryBudget.SetGateways(n)
	}
}
