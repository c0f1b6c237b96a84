package decision

import (
	"math/rand/v2"
	"slices"

	"mulleinrouter/internal/decision/conformance"
)

const (
	tickEvery = 0.05 // s: held work and cycles need no finer clock; 20 looks a second cost little

	cycleUnits         = 8.0      // a cycle should see about this many units of a full quota, or r is noise
	cycleMin, cycleMax = 2.0, 6.0 // s: shorter ones see less, demand moves faster than longer ones
	readDelay          = 0.5      // s after the adds; gateways' clocks must agree to well within this
	packSpan           = 20.0     // quotas that the totals of R can hold
	quietShare         = 0.4      // of the even share: who asks for less makes no calls, is left this much
	freshCycles        = 2.5      // a total is believed for this many cycles
	dropShare          = 0.5      // less than this of the last total, by fewer reporters, is doubted once
	muteAfter, muteFor = 4, 1.0   // calls in a row without answer, then s without calls until one tries again
	lostAfter          = 2.5      // s without an answer: lost, which tells nothing of what it takes
	fastSpan           = 0.7      // s: spikes are over before a cycle tells of them
	changeCycles       = 3        // after a change of terms, others may not have heard of it
	idleLapse          = 60.0     // s without use after which a customer, or a backend gone, is forgotten

	keptForDear          = 0.2         // of a store, for requests dearer than one
	aimShare             = 0.85        // of the quota, by chance: a store near empty refuses by chance
	weightMost           = 0.15        // of a cycle's quota that one call may add
	validMost            = 4.0         // cycles for which a total that keeps saying the same is believed
	chanceUp, chanceDown = 0.005, 0.75 // added on an answer, times this on none
	chanceCuts           = 0.1         // s between cuts: a stall leaves many unanswered, and is one sign
	yieldPower           = 4.0         // of the chance: calls that decide nothing give way so much sooner
	thinBursts           = 2.0         // bursts that a request at each gateway may be: stores hold one each
	crowded              = 0.6         // chance below which no second call is made for a request
	chanceLeast          = 0.02        // or no answer would ever raise it again

	// Bounded concurrency: what a backend may hold from this gateway, learned from its answers.
	limitStart, limitMost = 12.0, 64.0 // attempts: the first over all gateways, one for each at least
	limitLeast            = 0.1        // below 1 it is a pace: few with one attempt each drown a backend
	slowAt                = 0.35       // of the aim: a slower answer says that work waits too long
	limitUsed             = 0.7        // of the bound in use: only then do good answers tell about more
	limitGrow, limitCut   = 0.1, 0.7   // for each bound's worth of good answers; times this on a slow one
	excessRoom            = 0.5        // of the bound for work beyond a quota, so that paid work finds room

	reachLeast, reachFew  = 4.0, 4.0 // backends; gateways to a backend, where there are as many
	reachSpan             = 1.0      // s in which each is met once: thinner evidence tells nothing
	trialShare, trialRate = 0.1, 0.1 // trials for a good answer, and a second: less starves (ib2b285)

	latAlpha, errAlpha    = 0.1, 0.1 // weight of one answer in a backend's time and share of failures
	latStart, latForget   = 0.1, 0.2 // s before any answer; part a second by which unused ones forget
	seenSpan, sentSpan    = 2.0, 3.0 // s for which an answer tells of the present; for the rate of sending
	errCost               = 10.0     // a backend that fails fast looks fast: its time counts so much more
	ejectAfter            = 3        // failures in a row
	ejectFirst, ejectMost = 1.0, 4.0 // s, doubled with every further failure
	busyFor               = 0.1      // s a backend that turned work away is left alone, doubled 4 times

	holdShare                = 0.4       // of the aim: longest wait for a backend before a refusal
	silentShare, silentTimes = 0.3, 10.0 // of the aim, of the usual time: a first attempt is given up
)

// Gateway decides for one gateway. It is not safe for use by several goroutines at once.
type Gateway struct {
	s                    Settings
	rng                  *rand.Rand
	now, ticked, started Seconds
	out                  []Action
	classes              map[string]*Class
	plans                map[string]*Terms // by their names in the settings
	backends             map[string]*backend
	customers            map[string]*customer
	known                []*customer
	requests             map[uint64]*request
	open, held           []*request // not yet answered, oldest first; waiting for a backend

	*pool                       // of the backends without a group
	groups   map[string]*pool   // all of them, by group, and
	pools    []*pool            // in the order in which they were heard of: maps are never walked
	standing standing           // among the gateways of the zone
	patience map[string]Seconds // of a class: the longest that a client has left for an answer

	plannedTill Seconds // requests that come until then are not given up by patience

	odds               conformance.Estimator
	silent             int     // counter calls in a row without an answer
	muted              Seconds // the counter is left alone until then
	chance             float64 // of a call for a request of a thin customer
	rights             map[string]*right
	rated              float64 // chance as it was at the last answer, be it that it turned the call away
	heard, cutAt, kept Seconds // when that came; when the chance was last cut; when a keeper answered
	unheard            int     // calls in a row since then
}

// New returns a gateway. Equal settings, seed and events give equal actions.
func New(s Settings, seed uint64) *Gateway {
	g := &Gateway{
		s: s, rng: rand.New(rand.NewPCG(seed, 1)), classes: map[string]*Class{}, plans: map[string]*Terms{},
		backends: map[string]*backend{}, customers: map[string]*customer{}, requests: map[uint64]*request{},
		groups: map[string]*pool{}, patience: map[string]Seconds{}, chance: 1, rated: 1,
	}
	g.pool, g.s.MaxUnits = g.group(""), max(1, s.MaxUnits)
	g.s.Gateways, g.s.MaxAttempts = max(1, s.Gateways), max(1, s.MaxAttempts)
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
	g.now, g.out = now, nil
	switch e := event.(type) {
	case Start:
		g.ticked, g.started, g.heard = now, now, now
		// Gateways that start together must not call the counter together (i151ab8: 25% turned away).
		g.do(SetTimer{now + tickEvery*(1+g.rng.Float64()), "tick"})
	case Backends:
		g.list(e)
	case Request:
		g.request(e)
	case Terms:
		if c := g.customers[e.Customer]; c != nil {
			g.replan(c, &e)
		}
	case ClientGone:
		if r := g.requests[e.ID]; r != nil && !r.answered {
			g.end(r)
			g.cancel(r)
		}
	case Timer:
		if e.Token == "tick" {
			g.tick()
		}
	case AttemptEnded:
		g.ended(e)
	case CounterReply:
		g.counted(e)
	}
	return g.out
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (g *Gateway) tick() {
	g.do(SetTimer{g.now + tickEvery, "tick"})
	dt := max(0, min(1, g.now-g.ticked))
	g.ticked = g.now
	g.passAll(dt)
	g.release()
	g.overdue()
	g.known = slices.DeleteFunc(g.known, func(c *customer) bool {
		// A host that loses an answer of the counter must not lose the request.
		for len(c.asks) > 0 && g.now > c.asks[0].at+2*g.s.CounterTimeout+tickEvery {
			a := c.asks[0]
			c.asks = c.asks[1:]
			g.told(c, a, CounterReply{Outcome: TimedOut})
		}
		if g.now-c.seen > idleLapse && c.open == 0 {
			delete(g.customers, c.key)
			return true
		}
		if c.cycleAt(g.now) != c.cycle {
			g.turn(c)
		} else if c.readAt > 0 && g.now >= c.readAt {
			c.readAt, c.calls = 0, 2
			g.count(c, c.cycle, 0)
		}
		return false
	})
}
