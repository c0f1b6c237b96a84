package decision

import (
	"math/rand/v2"
	"slices"

	"mulleinrouter/internal/decision/conformance"
)

const (
	tickInterval = 0.05 // s: held work and cycles need no finer clock; 20 looks a second cost little

	unitsPerCycle                     = 8.0      // a cycle should see about this many units of a full quota, or r is noise
	minCyclePeriod, maxCyclePeriod    = 2.0, 6.0 // s: shorter ones see less, demand moves faster than longer ones
	readDelay                         = 0.5      // s after the adds; gateways' clocks must agree to well within this
	packedQuotas                      = 20.0     // quotas that the totals of R can hold
	quietFraction                     = 0.4      // of the even share: who asks for less makes no calls, is left this much
	validCycles                       = 2.5      // a total is believed for this many cycles
	doubtFraction                     = 0.5      // less than this of the last total, by fewer reporters, is doubted once
	pauseAfterFailures, pauseDuration = 4, 1.0   // calls in a row without answer, then s without calls until one tries again
	counterLostAfter                  = 2.5      // s without an answer: lost, which tells nothing of what it takes
	arrivalWindow                     = 0.7      // s: spikes are over before a cycle tells of them
	termsChangeCycles                 = 3        // after a change of terms, others may not have heard of it
	idleExpiry                        = 60.0     // s without use after which a customer, or a backend gone, is forgotten

	reservedForValuable                              = 0.2         // of a store, for requests dearer than one
	sampledUtilization                               = 0.85        // of the quota, by chance: a store near empty refuses by chance
	maxCallWeight                                    = 0.15        // of a cycle's quota that one call may add
	maxValidCycles                                   = 4.0         // cycles for which a total that keeps saying the same is believed
	callProbabilityIncrease, callProbabilityDecrease = 0.005, 0.75 // added on an answer, times this on none
	callProbabilityCutInterval                       = 0.1         // s between cuts: a stall leaves many unanswered, and is one sign
	excessCallExponent                               = 4.0         // of the chance: calls that decide nothing give way so much sooner
	sparseBursts                                     = 2.0         // bursts that a request at each gateway may be: stores hold one each
	crowdedCallProbability                           = 0.6         // chance below which no second call is made for a request
	minCallProbability                               = 0.02        // or no answer would ever raise it again

	// Bounded concurrency: what a backend may hold from this gateway, learned from its answers.
	initialLimit, maxLimit       = 12.0, 64.0 // attempts: the first over all gateways, one for each at least
	minLimit                     = 0.1        // below 1 it is a pace: few with one attempt each drown a backend
	slowFraction                 = 0.35       // of the aim: a slower answer says that work waits too long
	limitUtilization             = 0.7        // of the bound in use: only then do good answers tell about more
	limitIncrease, limitDecrease = 0.1, 0.7   // for each bound's worth of good answers; times this on a slow one
	lowPriorityShare             = 0.5        // of the bound for work beyond a quota, so that paid work finds room

	minSubset, minGatewaysPerBackend = 4.0, 4.0 // backends; gateways to a backend, where there are as many
	subsetContactInterval            = 1.0      // s in which each is met once: thinner evidence tells nothing
	trialsPerAnswer, trialsPerSecond = 0.1, 0.1 // trials for a good answer, and a second: less starves (ib2b285)

	latencyWeight, errorWeight        = 0.1, 0.1 // weight of one answer in a backend's time and share of failures
	initialLatency, latencyForgetRate = 0.1, 0.2 // s before any answer; part a second by which unused ones forget
	answerWindow, sendRateWindow      = 2.0, 3.0 // s for which an answer tells of the present; for the rate of sending
	errorCost                         = 10.0     // a backend that fails fast looks fast: its time counts so much more
	ejectAfterFailures                = 3        // failures in a row
	minEjection, maxEjection          = 1.0, 4.0 // s, doubled with every further failure
	overloadPause                     = 0.1      // s a backend that turned work away is left alone, doubled 4 times

	queueTimeFraction                         = 0.4       // of the aim: longest wait for a backend before a refusal
	lostAttemptFraction, lostAttemptLatencies = 0.3, 10.0 // of the aim, of the usual time: a first attempt is given up
)

// Gateway decides for one gateway. It is not safe for use by several goroutines at once.
type Gateway struct {
	settings  Settings
	rng       *rand.Rand
	now       Seconds // of the event that is being handled
	startedAt Seconds
	tickedAt  Seconds
	actions   []Action // that the event in hand has caused so far

	classes     map[string]*Class
	plans       map[string]*Terms  // of the settings, by plan name
	maxTimeLeft map[string]Seconds // by class: the longest time that any request of it had left

	customers    map[string]*customer
	customerList []*customer // the same, in order of arrival: maps are never walked
	requests     map[uint64]*request
	unanswered   []*request // oldest first
	queue        []*request // requests that wait for a backend

	backends     map[string]*backend
	defaultPool  *backendPool // of the backends without a group
	poolsByGroup map[string]*backendPool
	pools        []*backendPool // the same, in order of arrival: maps are never walked
	zonePosition zonePosition

	conformance     conformance.Estimator
	counter         counterHealth
	keeperReachedAt Seconds           // when a keeper of pair counters last answered
	grants          map[string]*grant // of quotas, by customer
	disruptionUntil Seconds           // requests that arrived before then are not abandoned as slow
}

// New returns a gateway. Equal settings, seed and events give equal actions.
func New(s Settings, seed uint64) *Gateway {
	g := &Gateway{
		settings:     s,
		rng:          rand.New(rand.NewPCG(seed, 1)),
		classes:      map[string]*Class{},
		plans:        map[string]*Terms{},
		maxTimeLeft:  map[string]Seconds{},
		customers:    map[string]*customer{},
		requests:     map[uint64]*request{},
		backends:     map[string]*backend{},
		poolsByGroup: map[string]*backendPool{},
		counter:      counterHealth{callProbability: 1, probabilityAtReply: 1},
	}
	g.defaultPool = g.poolFor("") // reads Gateways as the host set it
	g.settings.MaxUnits = max(1, s.MaxUnits)
	g.settings.Gateways = max(1, s.Gateways)
	g.settings.MaxAttempts = max(1, s.MaxAttempts)
	for i := range s.Classes {
		g.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	for i := range s.Plans {
		g.plans[s.Plans[i].Name] = &Terms{Plan: s.Plans[i], Tag: s.Plans[i].Tag()}
	}
	return g
}

// Handle takes one event and returns what to do, in order.
func (g *Gateway) Handle(now Seconds, event Event) []Action {
	g.now, g.actions = now, nil
	switch e := event.(type) {
	case Start:
		g.tickedAt, g.startedAt, g.counter.repliedAt = now, now, now
		// Gateways that start together must not call the counter together (i151ab8: 25% turned away).
		g.emit(SetTimer{now + tickInterval*(1+g.rng.Float64()), "tick"})
	case Backends:
		g.updateBackends(e)
	case Request:
		g.handleRequest(e)
	case Terms:
		if c := g.customers[e.Customer]; c != nil {
			g.changeTerms(c, &e)
		}
	case ClientDisconnected:
		if r := g.requests[e.ID]; r != nil && !r.answered {
			g.finish(r)
			g.cancelAttempts(r)
		}
	case Timer:
		if e.Token == "tick" {
			g.tick()
		}
	case AttemptEnded:
		g.handleAttemptEnded(e)
	case CounterReply:
		g.handleCounterReply(e)
	}
	return g.actions
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) tick() {
	g.emit(SetTimer{g.now + tickInterval, "tick"})
	dt := max(0, min(1, g.now-g.tickedAt))
	g.tickedAt = g.now
	g.agePools(dt)
	g.dispatchQueued()
	g.observeOverdueAttempts()
	g.customerList = slices.DeleteFunc(g.customerList, func(c *customer) bool {
		// A host that loses an answer of the counter must not lose the request.
		for len(c.sparse.queries) > 0 && g.now > c.sparse.queries[0].sentAt+2*g.settings.CounterTimeout+tickInterval {
			a := c.sparse.queries[0]
			c.sparse.queries = c.sparse.queries[1:]
			g.decideBySample(c, a, CounterReply{Outcome: TimedOut})
		}
		if g.now-c.lastUsedAt > idleExpiry && c.inFlight == 0 {
			delete(g.customers, c.key)
			return true
		}
		if c.cycleAt(g.now) != c.cycle.number {
			g.closeCycle(c)
		} else if c.cycle.readAt > 0 && g.now >= c.cycle.readAt {
			c.cycle.readAt, c.cycle.calls = 0, 2
			g.callCounter(c, c.cycle.number, 0)
		}
		return false
	})
}
