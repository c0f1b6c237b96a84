package decision

import (
	"math/rand/v2"
	"slices"

	"mulleinrouter/internal/decision/conformance"
)

const (
	// tickInterval is the time between two ticks, in seconds. Queues and cycles need no finer resolution.
	tickInterval = 0.05
	tickToken    = "tick" // token of the timer of the ticks
	// maxTickSpan is the longest time, in seconds, by which one tick ages the state. A longer pause between
	// two ticks, such as a stalled host or a clock that jumps, counts as this much.
	maxTickSpan = 1.0
)

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	settings  Settings
	rng       *rand.Rand
	now       Seconds // time of the event that is being handled
	startedAt Seconds
	tickedAt  Seconds
	actions   []Action // results of the event that is being handled, so far

	classes     map[string]*Class
	plans       map[string]*Terms  // Settings.Plans, by plan name
	maxTimeLeft map[string]Seconds // by class: longest TimeLeft of any request so far

	customers    map[string]*customer
	customerList []*customer // the same in order of arrival, because map iteration is not deterministic
	requests     map[uint64]*request
	unanswered   []*request // requests without an answer, oldest first; ticks remove the answered ones
	queue        []*request // requests that wait for a backend

	backends     map[string]*backend
	defaultPool  *backendPool // backends without a group
	poolsByGroup map[string]*backendPool
	pools        []*backendPool // the same in order of creation, because map iteration is not deterministic
	zonePosition zonePosition

	conformance     conformance.Estimator
	counter         counterHealth
	ownerReachedAt  Seconds           // time of the last reply of an owner of pair counters
	grants          map[string]*grant // quota grants, by customer
	disruptionUntil Seconds           // requests that arrived before this time are not abandoned as slow
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
	// Settings.Gateways may still be 0 here. The retry budget of the default pool then counts one gateway.
	g.defaultPool = g.poolFor("")
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

// Handle processes one event and returns the actions for the host, in order.
func (g *Gateway) Handle(now Seconds, event Event) []Action {
	g.now = now
	g.actions = nil
	switch e := event.(type) {
	case Start:
		g.start()
	case Backends:
		g.updateBackends(e)
	case Request:
		g.handleRequest(e)
	case Terms:
		if c := g.customers[e.Customer]; c != nil {
			g.changeTerms(c, &e)
		}
	case ClientDisconnected:
		g.handleDisconnect(e)
	case Timer:
		if e.Token == tickToken {
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

func (g *Gateway) start() {
	g.tickedAt = g.now
	g.startedAt = g.now
	g.counter.repliedAt = g.now
	// Gateways that start at the same time must not tick at the same time, because their simultaneous calls
	// would overload the counter, which then rejects a quarter of them.
	first := tickInterval * (1 + g.rng.Float64())
	g.emit(SetTimer{At: g.now + first, Token: tickToken})
}

func (g *Gateway) tick() {
	g.emit(SetTimer{At: g.now + tickInterval, Token: tickToken})
	elapsed := max(0, min(maxTickSpan, g.now-g.tickedAt))
	g.tickedAt = g.now
	g.agePools(elapsed)
	g.dispatchQueued()
	g.observeOverdueAttempts()
	g.customerList = slices.DeleteFunc(g.customerList, func(c *customer) bool {
		g.expireQueries(c)
		if c.isIdle(g.now) {
			delete(g.customers, c.key)
			return true
		}
		g.advanceCycle(c)
		return false
	})
}
