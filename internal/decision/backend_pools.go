package decision

import (
	"iter"
	"math"
	"slices"

	"mulleinrouter/internal/decision/retry"
)

const (
	initialLatency = 0.1 // s, before any answer
	// latencyForgetRate is the share per second by which the latency of an unused backend returns to that of
	// its kind, and its error rate to 0, so that it is tried again.
	latencyForgetRate = 0.2
	unusedAfter       = 1.0 // s without an attempt after which a backend counts as unused
	answerWindow      = 2.0 // s, time constant by which the weight of recent answers decays
	sendRateWindow    = 3.0 // s, time constant of the send rate

	// Subsetting: each gateway uses only some backends of a large group.
	minSubset             = 4.0 // backends; also the largest number of trial tokens
	minGatewaysPerBackend = 4.0 // gateways that use one backend on average, if there are that many
	// subsetContactInterval is the time, in seconds, in which a gateway uses each backend of its subset about
	// once. The subset grows with the traffic only as long as each backend gives recent answers to choose by.
	subsetContactInterval = 1.0

	// Trial tokens limit the attempts at backends that are not known to be healthy: each costs one token.
	trialsPerAnswer = 0.1 // tokens per successful answer that is not late
	// trialsPerSecond is the number of tokens added per second. With fewer, a gateway that has only unhealthy
	// backends sends hardly any requests.
	trialsPerSecond = 0.1

	// slotOverbooking is the number of attempts that a gateway may have in flight per slot of a backend. It
	// is low because other gateways send to the backend too, and a backend rejects requests when its queue is
	// full.
	slotOverbooking = 1.5
)

// backendPool is the state of the backends of a group. If the host names no groups, one pool contains all
// backends.
type backendPool struct {
	name               string
	order              []*backend          // in this gateway's own order of use
	homeBackends       int                 // backends with home slots, which come first in the order
	latency            Seconds             // typical latency over the group
	kindLatencies      map[string]*float64 // typical latency by kind of backend
	meanSize           float64             // mean size of the available backends
	serving            int                 // number of available backends
	subsetSize         int                 // number of backends in use: first in order, not ejected
	trialTokens        float64
	gatewaysPerBackend float64 // gateways per backend, in multiples of minGatewaysPerBackend; at least 1
	warm               int     // backends in use that are past slow start; at least half of those in use
	retryBudget        retry.Budget
	sendRate           float64 // attempts per second
	lastUsedAt         Seconds // time of the last request or new backend of the group
	waiting            waitingValues
	lowestValue        lowestValue
}

// poolFor returns the pool of a group of backends, and creates it if it does not exist.
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

// newRetryBudget creates the retry budget of a group. It is divided among all gateways if RetryShare is set.
func (g *Gateway) newRetryBudget() retry.Budget {
	if g.settings.RetryShare > 0 {
		return retry.Divided(g.settings.RetryShare, g.settings.RetrySlack, g.settings.Gateways)
	}
	return retry.New()
}

// agePools ages the state of all groups. It deletes a group that has no backends and has not been used for
// idleExpiry, because operators add and remove services.
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

// agePool ages the state of a group: learned values decay, and backends are deleted that are draining or
// removed, have no attempt in flight and have not been used for idleExpiry.
func (g *Gateway) agePool(p *backendPool, elapsed Seconds) {
	p.sendRate *= math.Exp(-elapsed / sendRateWindow)
	p.trialTokens = min(minSubset, p.trialTokens+trialsPerSecond*elapsed)
	g.updateSubset(p)
	p.order = slices.DeleteFunc(p.order, func(b *backend) bool {
		// Backends are replaced all day, so their state must not accumulate. If one is listed again, its
		// start time shows whether it is in slow start.
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

// updateSubset sets the number of backends of a group that this gateway uses.
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

// slotLimit returns the concurrency limit of a backend whose number of slots is known, for one gateway.
func (b *backend) slotLimit() float64 { return math.Ceil(slotOverbooking * b.Size) }

// SetMembers sets the number of gateways when it becomes known. Retry budgets are adjusted to it at once,
// subsets at the next tick. A number below 1 is ignored.
func (g *Gateway) SetMembers(n int) {
	if n <= 0 || n == g.settings.Gateways {
		return
	}
	g.settings.Gateways = n
	for _, p := range g.pools {
		p.retryBudget.SetGateways(n)
	}
}
