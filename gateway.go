package passhub

// All decisions of a gateway. The interface (settings, events, actions) is passhub.go.

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
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
	idleLapse          = 60.0     // s without use after which a customer, or a backend gone, is forgotten

	// Thin customers: see told.
	thinUnits            = 3.0         // largest requests in a cycle's even share: below it a slice is noise
	aimShare             = 0.85        // of the quota, by chance: a store near empty refuses by chance
	weightMost           = 0.15        // of a cycle's quota that one call may add
	validMost            = 4.0         // cycles for which a total that keeps saying the same is believed
	chanceUp, chanceDown = 0.005, 0.75 // added on an answer, times this on none
	chanceCuts           = 0.1         // s between cuts: a stall leaves many unanswered, and is one sign
	chanceLeast          = 0.02        // or no answer would ever raise it again

	// Bounded concurrency: what a backend may hold from this gateway, learned from its answers.
	limitStart, limitMost = 12.0, 64.0 // attempts: the first over all gateways, one for each at least
	limitLeast            = 0.1        // below 1 it is a pace: few with one attempt each drown a backend
	slowAt                = 0.35       // of the aim: a slower answer says that work waits too long
	limitUsed             = 0.7        // of the bound in use: only then do good answers tell about more
	limitGrow, limitCut   = 0.1, 0.7   // for each bound's worth of good answers; times this on a slow one
	excessRoom            = 0.5        // of the bound for work beyond a quota, so that paid work finds room

	// Pace: what this gateway sends in all, learned from all its answers.
	paceLate, paceGain  = 0.25, 0.15 // share of slow answers at which it rests; down for a slow one
	paceFree, paceBurst = 2.0, 2.0   // times the rate of sending, so that few answers cut it; sends saved up

	// Which backends a gateway uses.
	reachLeast, reachFew  = 4.0, 4.0 // backends; gateways to a backend, where there are as many
	reachSpan             = 1.0      // s in which each is met once: thinner evidence tells nothing
	trialShare, trialRate = 0.1, 0.1 // trials for a good answer, and a second: less starves (ib2b285)

	// Backends.
	latAlpha, errAlpha    = 0.1, 0.1 // weight of one answer in a backend's time and share of failures
	latStart, latForget   = 0.1, 0.2 // s before any answer; part a second by which unused ones forget
	seenSpan, sentSpan    = 2.0, 3.0 // s for which an answer tells of the present; for the rate of sending
	errCost               = 10.0     // a backend that fails fast looks fast: its time counts so much more
	ejectAfter            = 3        // failures in a row
	ejectFirst, ejectMost = 1.0, 4.0 // s, doubled with every further failure
	busyFor               = 0.1      // s a backend that turned work away is left alone, doubled 4 times

	// Attempts.
	holdShare                = 0.4       // of the aim: longest wait for a backend before a refusal
	silentShare, silentTimes = 0.3, 10.0 // of the aim, of the usual time: a first attempt is given up
	budgetShare, budgetMost  = 0.1, 8.0  // further attempts per request sent, and saved up
)

// Gateway decides for one gateway. It is not safe for use by several goroutines at once.
type Gateway struct {
	s                    Settings
	rng                  *rand.Rand
	now, ticked, started Seconds
	out                  []Action
	classes              map[string]*Class
	plans                map[string]*Plan
	backends             map[string]*backend
	order                []*backend // in this gateway's own order of use: maps are never walked
	customers            map[string]*customer
	known                []*customer
	requests             map[uint64]*request
	open, held           []*request // not yet answered, oldest first; waiting for a backend

	lat              float64             // usual time of an answer, over the fleet
	kinds            map[string]*float64 // the same by kind of backend
	patience         map[string]Seconds  // of a class: the longest that a client has left for an answer
	size             float64             // mean told size of the backends on the list
	listed           int                 // backends on the list that serve
	reach            int                 // backends in use: the first of its order that are not resting
	trials           float64             // attempts saved up for backends that are not known to be good
	sharing          float64             // how many times more gateways use a backend than a few
	warm             int                 // of those in use, the surely warm ones, half of them at least
	budget, sentRate float64             // further attempts saved up, sends a second
	pace, credit     float64             // sends a second; sends saved up
	creditAt         Seconds             // when credit was reckoned

	silent  int     // counter calls in a row without an answer
	muted   Seconds // the counter is left alone until then
	chance  float64 // of a call for a request of a thin customer
	cutAt   Seconds // when it was last cut
	rated   float64 // chance as it was at the last answer, be it that it turned the call away
	heard   Seconds // when that came
	unheard int     // calls in a row since then
}

type customer struct {
	key               string
	plan              *Plan
	doors, quota      float64 // gateways it may use; what slices share: units a second, or attempts open
	open              int     // attempts out
	seen, fastAt      Seconds
	fast              float64 // requests a second asked just now
	slice, level      float64 // units a second, units in the local store
	ceiling           float64 // what this gateway's part of the ceiling still lets through
	filled, ceilFill  Seconds // when level and ceiling were reckoned
	period, phase     Seconds
	cycle             int64
	since, readAt     Seconds // when the cycle began; when its totals are to be read, 0: not now
	demand, r         float64 // units asked in this cycle, units a second asked in the last one
	calls             int     // made in this cycle
	R, k              float64 // last believed totals
	totalAt, validFor Seconds // when they came, and how long they are believed

	thin       bool    // a cycle's even share holds no request: each request is a report of its own
	draw       float64 // 0 to 1 by its name, the same at all gateways
	sum, ratio float64 // total of this cycle so far; the common ratio x/r by the last totals
	share      float64 // of the demand that comes through this gateway, by the last totals
	asks       []query
}

// query is a request that waits for the counter's answer.
type query struct {
	r       *request
	name    string
	cycle   int64
	at, add float64 // when, and how much it added
	before  bool    // reads the total of the cycle before
}

type backend struct {
	Backend
	listed, good       bool     // good: its last answer was
	rank               uint64   // place in this gateway's order
	out, bad, busy     int      // attempts out; failures, and times it turned work away, in a row
	lat, seen, errs    float64  // learned time of an answer, answers lately, share of them that failed
	usual              *float64 // time of an answer, over all of its kind
	usedAt, cutAt      Seconds  // last sent to; when the limit was last cut
	waiting            Seconds  // since when it owes an answer and gave none, 0: owes none
	limit, ghosts      float64  // attempts it may hold; those not waited for that it may still work on
	downTill, fullTill Seconds  // left alone until then, for it failed, or turned work away
	coldAt, filled     Seconds  // when it is taken to have started, 0: warm; when tokens were reckoned
	tokens             float64  // sends saved up while cold
}

type attempt struct {
	b             *backend
	sent          Seconds
	ended, mayRun bool // mayRun: it may have run, or may yet
	slow, late    bool // it has been counted as slow, or as failed, for the aim has passed
}

type request struct {
	Request
	class            *Class
	c                *customer
	arrived, dueAt   Seconds
	value            float64
	attempts         []attempt
	out              int // attempts
	inside, answered bool
	spare            bool    // beyond the quota, or too late to earn its worth: waits for nothing
	aimAt            Seconds // an answer by then earns the whole worth
}

// New returns a gateway. Equal settings, seed and events give equal actions.
func New(s Settings, seed uint64) *Gateway {
	g := &Gateway{
		s: s, rng: rand.New(rand.NewPCG(seed, 1)), classes: map[string]*Class{}, plans: map[string]*Plan{},
		backends: map[string]*backend{}, customers: map[string]*customer{}, requests: map[uint64]*request{},
		kinds: map[string]*float64{}, patience: map[string]Seconds{},
		lat: latStart, size: 1, budget: budgetMost / 2, chance: 1, rated: 1, trials: reachLeast,
	}
	g.s.Balancers, g.s.MaxAttempts = max(1, s.Balancers), max(1, s.MaxAttempts)
	for i := range s.Classes {
		g.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	for i := range s.Plans {
		g.plans[s.Plans[i].Name] = &s.Plans[i]
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
	case Counted:
		g.counted(e)
	}
	return g.out
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

// ---- admission ----

func (g *Gateway) request(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	class, plan := g.classes[e.Class], g.plans[e.Plan]
	if class == nil { // not in the settings: safe to refuse, never to repeat
		class = &Class{Aim: e.Left, Worth: 1}
	}
	if plan == nil { // not in the settings: no quota is known
		plan = &Plan{Price: 1}
	}
	c := g.customer(e, plan)
	r := &request{Request: e, class: class, c: c, arrived: g.now, dueAt: g.now + e.Left}
	r.aimAt = g.now + class.Aim - g.age(e, class)
	g.requests[e.ID] = r
	g.open = append(g.open, r)
	c.demand += e.Units
	c.fast = c.fast*math.Exp((c.fastAt-g.now)/fastSpan) + 1/fastSpan
	c.fastAt = g.now
	if c.thin && !g.evenPart(c) && g.s.MayCount && g.now >= g.muted && e.Left > g.s.CountWait+2*tickEvery {
		if p := g.callChance(c, r); g.rng.Float64() < p {
			g.ask(r, c.cycleAt(g.now), c.units(r)/p)
			return
		}
	}
	r.inside = g.inside(r)
	g.admit(r)
}

// age is how long ago the client first asked, told by the time a repeat has left, for clients leave after a
// part of what remains of the deadline. It guards against work that can serve nobody in time any more, in an
// overload a quarter of all served (trebic-later). It errs where the patience of clients varies.
func (g *Gateway) age(e Request, class *Class) Seconds {
	g.patience[class.Name] = max(g.patience[class.Name], e.Left)
	if !e.Repeat {
		return 0
	}
	return max(0, class.Deadline*(1-(e.Left+tickEvery)/g.patience[class.Name]))
}

// admit sends a request on, or refuses it, once it is known whether it is inside.
func (g *Gateway) admit(r *request) {
	plan := r.c.plan
	r.value = r.class.Worth * plan.Price
	if r.spare = !r.inside; g.now+g.lat > r.aimAt {
		r.value, r.spare = r.value*r.class.LateWorth, true
	}
	if !r.inside {
		if r.value *= plan.ExcessWorth - plan.BeyondCosts; r.value <= 0 {
			g.refuse(r)
			return
		}
	}
	g.send(r)
}

func (g *Gateway) customer(e Request, plan *Plan) *customer {
	c := g.customers[e.Customer]
	if c == nil {
		h := fnv.New32a()
		h.Write([]byte(e.Customer))
		c = &customer{key: e.Customer, plan: plan, since: g.now, filled: g.now, totalAt: math.Inf(-1)}
		c.doors = float64(max(1, e.Doors))
		if c.quota = plan.Rate; plan.Rate <= 0 {
			c.quota = float64(plan.Open)
		}
		c.period = min(cycleMax, max(cycleMin, cycleUnits/c.quota)) // without a quota it does not matter
		c.phase = float64(h.Sum32()%1024) / 1024 * c.period         // spreads the calls of a cycle over it
		c.cycle = c.cycleAt(g.now)
		c.draw = float64(h.Sum32()) / math.MaxUint32
		c.validFor = freshCycles * c.period
		c.slice, c.level = c.quota/c.doors, plan.Burst+max(1, g.s.MaxUnits) // fill cuts it
		c.share = 1 / c.doors
		if plan.Rate > 0 {
			c.thin = c.doors > 1 && c.quota*c.period/c.doors < thinUnits*max(1, g.s.MaxUnits)
		} else {
			c.thin = c.quota > 0 && c.doors > 2*c.quota
		}
		c.ceilFill = g.started // used up then: a gateway that was killed cannot know what it spent
		g.customers[e.Customer] = c
		g.known = append(g.known, c)
	}
	c.seen = g.now
	return c
}

// inside tells, without asking, whether the quota has room, as far as this gateway may use it.
func (g *Gateway) inside(r *request) bool {
	c, worth := r.c, r.c.plan.BeyondCosts/(1+r.c.plan.BeyondCosts) // the chance of being inside that pays
	if limit := c.plan.Open; limit > 0 {
		if c.open >= limit || g.evenPart(c) {
			return c.open < limit
		}
		if c.plan.Rate <= 0 && !c.thin {
			// Exception: limits of two or three do not divide. Sent on is what has chance enough of being
			// inside, with the others' attempts by the totals or, before these tell of a burst, the own rate.
			rest := min(c.r, quietShare*c.quota/c.doors) * (c.doors - 1)
			if g.believed(c) {
				rest = c.R - c.r + (c.doors-c.k)*quietShare*c.quota/c.doors
			}
			return chanceUnder(limit-c.open, max(rest, c.fast*(c.doors-1))*g.lat) > worth
		}
	}
	if c.quota <= 0 {
		return true
	}
	if c.thin && (g.believed(c) || g.silent > 0 && c.ratio > 0) && g.rng.Float64() >= c.ratio {
		return false // a silent counter freezes the ratio
	}
	g.fill(c)
	if c.level < c.units(r) {
		return false
	}
	c.level -= c.units(r)
	return true
}

// units is what a request counts against its quota.
func (c *customer) units(r *request) float64 {
	if c.plan.Rate <= 0 {
		return 1
	}
	return r.Units
}

// evenPart tells whether an attempt more is within the even part of an open limit: no sum passes it.
func (g *Gateway) evenPart(c *customer) bool {
	return c.plan.Rate <= 0 && (float64(c.open)+1)*c.doors <= c.quota
}

// fill brings the local store up to now. It holds the slice's share of the burst; that of a thin customer the
// share of its demand, the even one while nothing is known of it, and one request at least.
func (g *Gateway) fill(c *customer) {
	rate, most := c.slice, c.plan.Burst*min(1, c.slice/c.quota)
	if c.thin {
		rate, most = g.rate(c)*c.share, max(1, g.s.MaxUnits, c.plan.Burst*c.share)
	}
	c.level = min(most, c.level+rate*(g.now-c.filled))
	c.filled = g.now
}

func (g *Gateway) believed(c *customer) bool { return g.now-c.totalAt < c.validFor }

// refuse answers a request that may not have run.
func (g *Gateway) refuse(r *request) {
	wait := g.s.MaxRetryAfter
	if c := r.c; c.plan.Rate > 0 && !r.inside && c.slice > 0 {
		wait = min(wait, max(0, r.Units-c.level)/c.slice)
	}
	if !g.s.MayRetryAfter {
		wait = 0
	}
	g.do(Refuse{r.ID, wait})
	g.end(r)
}

func (g *Gateway) end(r *request) {
	r.answered = true
	if r.out == 0 {
		delete(g.requests, r.ID)
	}
}

// ---- the slice cycle ----

func (c *customer) cycleAt(now Seconds) int64 { return int64(math.Floor((now - c.phase) / c.period)) }

func (c *customer) name(cycle int64) string { return c.key + "/" + strconv.FormatInt(cycle, 36) }

func (g *Gateway) count(c *customer, cycle int64, add float64) {
	g.do(Count{c.name(cycle), add, 2*c.period + 1})
}

// turn closes a customer's cycle and, where its demand nears the slice, adds it to the counter.
func (g *Gateway) turn(c *customer) {
	span := max(g.now-c.since, c.period/2)
	c.r, c.demand, c.since = c.demand/span, 0, g.now
	c.cycle = c.cycleAt(g.now)
	c.readAt, c.calls = 0, 0
	if c.quota <= 0 || c.doors < 2 || c.thin {
		return
	}
	if even := c.quota / c.doors; c.r < quietShare*even {
		c.slice = even // quiet: no calls, and the others leave it quietShare of this
		return
	}
	if !g.s.MayCount || g.now < g.muted {
		return // frozen
	}
	c.calls = 1
	field, unit := c.pack()
	most := math.Floor((field - 1) / c.doors) // so that no number of gateways spills into k
	g.count(c, c.cycle, field+min(most, math.Floor(c.r/unit+g.rng.Float64())))
}

// pack tells how a total of seven digits holds k, in as many as the gateways need, and below it R, in units
// rounded by chance, so that hundreds of small ones add up right.
func (c *customer) pack() (field, unit float64) {
	field = math.Pow(10, 6-math.Floor(math.Log10(c.doors)))
	return field, packSpan * c.quota / field
}

// counted takes a total. What is no sound answer for this cycle leaves the slice frozen.
func (g *Gateway) counted(e Counted) {
	if e.Outcome == Done || e.Outcome == Busy || e.Outcome == Failed {
		if g.unheard >= muteAfter && g.now-g.heard > lostAfter {
			g.chance = g.rated // else it took minutes, at few calls, until quotas were watched again
		}
		g.heard, g.unheard = g.now, 0
		defer func() { g.rated = g.chance }()
	} else {
		g.unheard++
	}
	switch e.Outcome {
	case Done:
		g.silent, g.muted = 0, 0
		g.chance = min(1, g.chance+chanceUp)
	case Failed: // answered, if not with a total: no sign that it has no room
	default:
		if (e.Outcome == Busy || e.Outcome == TimedOut) && g.now >= g.cutAt+chanceCuts {
			// A broken connection says nothing of room.
			g.cutAt = g.now
			g.chance = max(chanceLeast, g.chance*chanceDown)
		}
		if g.silent++; g.silent >= muteAfter {
			g.muted = g.now + muteFor
		}
	}
	c := g.customers[e.Name[:max(0, strings.LastIndexByte(e.Name, '/'))]]
	if c == nil {
		return
	}
	if c.thin {
		if i := slices.IndexFunc(c.asks, func(a query) bool { return a.name == e.Name }); i >= 0 {
			a := c.asks[i]
			c.asks = slices.Delete(c.asks, i, i+1)
			g.told(c, a, e)
		}
		return
	}
	if c.calls == 0 || c.name(c.cycle) != e.Name || e.Outcome != Done {
		return
	}
	field, unit := c.pack()
	if k := math.Floor(e.Total / field); c.calls == 1 && k < c.doors {
		c.readAt = g.now + readDelay
	} else {
		g.settle(c, (e.Total-k*field)*unit, k)
	}
}

// settle sets the slice from totals, unless they cannot be true.
func (g *Gateway) settle(c *customer, R, k float64) {
	doubt := g.believed(c) && k < c.k && R < dropShare*c.R // counts lost? once only
	if k < 1 || k > c.doors || R < c.r/2 {
		return
	}
	if c.R, c.k, c.totalAt = R, k, g.now; doubt || c.plan.Rate <= 0 {
		return
	}
	g.fill(c)
	left := c.quota * (1 - quietShare*(c.doors-k)/c.doors) // quiet gateways keep their part
	if c.slice = c.r + (left-R)/k; R > left {
		c.slice = left * c.r / R
	}
}

// ---- thin customers ----

// callChance is how likely a request of a thin customer asks the counter. What is added is divided by it,
// so it must not weigh much in a cycle: large quotas need few calls, small ones all. When the counter cannot
// take them all, some customers are not watched, the same ones at all gateways: half a total is noise.
func (g *Gateway) callChance(c *customer, r *request) float64 {
	least := min(1, c.units(r)/(weightMost*g.rate(c)*c.period))
	if c.draw*least > g.chance && g.unheard < muteAfter { // else somebody must try whether it is back
		return 0
	}
	return least + (1-least)*min(1, (g.now-c.totalAt)/c.validFor)*g.chance
}

// rate is what a full quota lets through in a second; a quarter of an open limit may be out on average.
func (g *Gateway) rate(c *customer) float64 {
	if c.plan.Rate <= 0 {
		return c.quota / 4 / g.lat
	}
	return c.quota
}

// ask adds a request to a cycle's total, or with 0 reads it, and lets the request wait for the answer.
func (g *Gateway) ask(r *request, cycle int64, add float64) {
	r.c.asks = append(r.c.asks, query{r, r.c.name(cycle), cycle, g.now, add, add == 0})
	g.count(r.c, cycle, add)
}

// told decides a request of a thin customer. Exception: where a cycle's even share is below a few requests,
// r is 0 or noise. Then each counted request is a report: it adds itself, and the answer of that add is the
// read. The step is the same: with R under the quota x covers r, above it x is Q*r/R, and chance admits that
// part, so that what is expected to be sent on stays pinned to Q. Up to the burst's room all is inside;
// whether it was used before is asked of the last cycle, where that matters and is not known.
func (g *Gateway) told(c *customer, a query, e Counted) {
	r, Q, T := a.r, g.rate(c), c.period
	if r.answered {
		return
	}
	if e.Outcome != Done {
		r.inside = g.inside(r)
		g.admit(r)
		return
	}
	now, before, known := a.cycle, c.R*T, g.believed(c)
	if a.before {
		now, before, known = a.cycle+1, e.Total, true
	} else {
		c.sum = e.Total
	}
	spent := min(T, g.now-float64(now)*T-c.phase)
	if !known {
		if before = 0; c.sum > Q*spent && c.sum > a.add+1e-6 {
			g.ask(r, a.cycle-1, 0)
			return
		}
	}
	R := (before + c.sum) / (T + spent)
	c.validFor = min(validMost*T, 2*c.validFor)
	if math.IsInf(c.totalAt, -1) || (R > Q) != (c.R > Q) {
		c.validFor = T
	}
	c.R, c.totalAt = R, g.now
	room := c.plan.Burst * max(0, min(1, 3-2.5*before/(Q*T))) // spent by who was over the quota, or near it
	switch {
	case c.sum <= room+Q*spent:
		c.ratio = 1
	case before > Q*T:
		c.ratio = min(1, aimShare*Q/R)
	default:
		c.ratio = min(1, aimShare*Q*spent/c.sum)
	}
	// Between two words the ratio may let in no more than the slice it stands for, and its part of the burst:
	// demand that rises meanwhile went beyond quotas (fleet day: three times the quotas for six seconds).
	quiet := quietShare * Q / c.doors // as r is noise
	own := (c.r*T+c.demand)/(T+max(0, g.now-c.since)) + quiet
	c.share = min(1, own/(R+quiet*c.doors))
	g.fill(c)
	if r.inside = g.rng.Float64() < c.ratio; r.inside {
		c.level = max(0, c.level-c.units(r))
	}
	g.admit(r)
}

// chanceUnder is the chance of fewer than n where mean are expected (Poisson).
func chanceUnder(n int, mean float64) float64 {
	p, sum := math.Exp(-mean), 0.0
	for i := 0; i < n; i++ {
		sum += p
		p *= mean / float64(i+1)
	}
	return sum
}

// ---- sending ----

// send starts the first attempt, or holds the request until a backend can take it.
func (g *Gateway) send(r *request) {
	switch b := g.pick(r); {
	case b != nil:
		g.start(r, b)
	case g.now >= r.holdUntil():
		// No later look would come in time (h440035: a client's last try with 40 ms left was lost).
		g.refuse(r)
	default:
		g.held = append(g.held, r)
	}
}

// holdUntil is when a request that finds no backend is to be refused.
func (r *request) holdUntil() Seconds {
	return min(r.arrived+holdShare*r.class.Aim, r.aimAt, r.dueAt-2*tickEvery)
}

// paced tells whether the pace lets another attempt through now. Where all backends are in use, there is
// evidence of each, and their bounds do.
func (g *Gateway) paced(r *request) bool {
	g.credit = min(paceBurst, g.credit+max(g.pace, g.fleetPace())*(g.now-g.creditAt))
	g.creditAt = g.now
	return g.credit >= 1 && !r.spare || g.credit >= paceBurst || g.reach >= g.listed
}

// step moves the pace by one answer: down a little for a slow one, up by less for another, so that it rests
// where paceLate of all are slow: a brake that waits for queues comes too late, for backends driven to their
// limit stay slow (issue 11). It guards against any slowness that all share and hurts where work itself is
// slow, down to one attempt out at a backend, over all gateways: with fewer there is no queue.
func (g *Gateway) step(slow bool) {
	factor := 1 + paceGain*paceLate/(1-paceLate)
	if slow {
		factor = 1 - paceGain
	}
	g.pace = min(factor*max(g.pace, g.fleetPace()), paceFree*(g.sentRate+1))
}

// fleetPace, the first and least, is that of one attempt out at each backend over all gateways.
func (g *Gateway) fleetPace() float64 {
	return float64(max(1, g.listed)) / float64(g.s.Balancers) / g.lat
}

func (g *Gateway) start(r *request, b *backend) {
	if c := r.c; len(r.attempts) == 0 && c.plan.CeilingRate > 0 {
		// Ceiling: this gateway's part of rate, depth and slack is safe whatever the others do.
		p := c.plan
		c.ceiling = min((p.CeilingDepth+p.CeilingSlack)/c.doors,
			c.ceiling+p.CeilingRate/c.doors*(g.now-c.ceilFill))
		c.ceilFill = g.now
		if c.ceiling < r.Units {
			g.refuse(r)
			return
		}
		c.ceiling -= r.Units
	}
	timeout, rest := 0.0, r.aimAt-g.now
	if r.class.Effect == Safe && r.class.LateWorth == 0 && rest > 0 && rest+tickEvery <= r.dueAt-g.now {
		timeout = rest + tickEvery // nothing is earned after the aim: free the backend
		// Far beyond the usual time none will come (the connection fell silent): another can be in time.
		if early := max(silentShare*r.class.Aim, silentTimes*g.lat); len(r.attempts) == 0 && 2*early < rest {
			timeout = early
		}
	}
	r.attempts = append(r.attempts, attempt{b: b, sent: g.now, mayRun: true})
	r.out++
	r.c.open++
	b.out++
	b.usedAt = g.now
	if b.waiting == 0 {
		b.waiting = g.now
	}
	if g.cold(b) < 1 {
		b.tokens--
	}
	g.sentRate += 1 / sentSpan
	if !b.good {
		g.trials--
	}
	g.credit--
	g.budget = min(budgetMost, g.budget+budgetShare)
	g.do(Send{r.ID, b.ID, timeout})
}

// pick chooses the backend with the least expected wait; nil if none may be used now. One of many gateways
// uses the first backends in its own order (subsetting), for one that it never meets again teaches it nothing
// (issue 11: full ones stayed full). One not known to be good costs a trial, earned by good answers: a sick
// fleet is tried less. Guards against dead, cut off, hanging and slow ones too; hurts where traffic gathers
// at gateways that share backends by chance, until reach has grown, and finds late one that is well again.
func (g *Gateway) pick(r *request) (best *backend) {
	if !g.paced(r) {
		return nil
	}
	// When all look bad, none is the outlier: the fault may be this gateway's own link. Full is not bad.
	up := func(b *backend) bool { return b.listed && b.Serving && g.now >= b.downTill }
	healthy, bestCost, used, thin := slices.ContainsFunc(g.order, up), math.Inf(1), 1, g.reach < g.listed
	for _, b := range g.order {
		if !b.listed || !b.Serving || healthy && g.now < max(b.downTill, b.fullTill) {
			continue
		}
		if thin && !b.good && g.trials < 1 {
			continue
		}
		if used > g.reach {
			break
		}
		if !thin || b.bad == 0 {
			used++
		}
		limit := b.limit
		if r.spare {
			limit *= excessRoom
		}
		if float64(b.out)+b.ghosts >= max(1, limit) || limit < 1 && g.now < b.usedAt+b.lat/limit {
			continue
		}
		share := g.cold(b)
		if share < 1 && !g.coldRoom(b, share) {
			continue
		}
		// A backend takes as long as learned, or as it has owed an answer without giving any (it hangs).
		// Where evidence is thin, chance in proportion to size: all gateways would else choose alike.
		cost, known := float64(b.out+1)*b.lat/share, b.seen/(b.seen+1)
		if b.waiting > 0 {
			cost *= max(1, (g.now-b.waiting)/b.lat)
		}
		cost *= (known + (1-known)*g.rng.ExpFloat64()*g.size/b.Size) * (1 + errCost*b.errs) * float64(1+b.bad)
		if cost < bestCost {
			best, bestCost = b, cost
		}
	}
	return best
}

// cold is the share of its capacity that a backend surely has.
func (g *Gateway) cold(b *backend) float64 {
	if b.coldAt == 0 || g.now-b.coldAt >= g.s.WarmUp {
		return 1
	}
	return g.s.ColdShare + (1-g.s.ColdShare)*max(0, g.now-b.coldAt)/g.s.WarmUp
}

// coldRoom keeps a cold backend to its share of what this gateway sends to a warm one: it bears a multiple.
// Where that is less than a send while it is cold, none is saved up: the choice by chance keeps the share.
func (g *Gateway) coldRoom(b *backend, share float64) bool {
	rate := share * g.sentRate / float64(max(1, g.warm))
	b.tokens = min(1, b.tokens+rate*(g.now-b.filled))
	b.filled = g.now
	return b.tokens >= 1 || rate*g.s.WarmUp < 1
}

// again decides what follows an attempt that was not served: another attempt, or the answer. What may have
// run is sent again only where that is harmless, and while few are.
func (g *Gateway) again(r *request, proven bool) {
	late := g.now > r.aimAt && r.class.LateWorth == 0 || r.dueAt-g.now <= 2*g.s.AnswerSlack
	afford, safe := proven || g.budget >= 1 && len(g.held) == 0, r.class.Effect == Safe
	if afford && (safe || !r.mayHaveRun()) && !late && len(r.attempts) < g.s.MaxAttempts {
		if b := g.pick(r); b != nil {
			if !proven {
				g.budget--
			}
			g.start(r, b)
			return
		}
	}
	g.giveUp(r)
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun })
}

// giveUp gives the final answer: a refusal only where a new try surely does no harm.
func (g *Gateway) giveUp(r *request) {
	if !r.mayHaveRun() || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll {
		g.refuse(r)
		return
	}
	g.do(Fail{r.ID})
	g.end(r)
}

func (g *Gateway) cancel(r *request) {
	for i := range r.attempts {
		if !r.attempts[i].ended && g.s.MayCancel {
			g.do(Cancel{r.ID, i})
		}
	}
}

// ---- outcomes and health ----

func (g *Gateway) ended(e AttemptEnded) {
	r := g.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	b, proven := a.b, e.Outcome == Busy || e.Outcome == Refused || e.Outcome == Skipped
	a.ended, a.mayRun = true, !proven
	r.out--
	r.c.open--
	b.waiting = 0
	if b.out--; b.out > 0 {
		b.waiting = g.now
	}
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		b.ghosts++ // whether work stops when nobody waits for it is not told
	}
	g.judge(b, r, a, e)
	if e.Outcome == Done && e.Units > 0 && r.inside && r.c.plan.Rate > 0 && !r.answered {
		r.c.level -= e.Units - r.Units
	}
	switch {
	case r.answered:
	case e.Settled || e.Outcome == Done:
		g.end(r)
		g.cancel(r)
	default:
		g.again(r, proven)
	}
	if r.answered && r.out == 0 {
		delete(g.requests, r.ID)
	}
	g.release()
}

// judge learns a backend's time and health from an outcome, from nothing else: one that answers probes may
// still lose its answers. One that failed gets one attempt at first when its time out is over, for it may
// have started again unannounced; a further failure doubles the time.
func (g *Gateway) judge(b *backend, r *request, a *attempt, e AttemptEnded) {
	switch e.Outcome {
	case Done:
		if !a.late {
			b.bad, b.busy, b.good = 0, 0, true
			g.trials = min(reachLeast, g.trials+trialShare)
		}
		b.seen++
		if !a.slow {
			g.step(e.Took > slowAt*r.class.Aim)
		}
		b.errs, b.lat = b.errs*(1-errAlpha), b.lat+latAlpha*(e.Took-b.lat)
		*b.usual += latAlpha / 2 * (e.Took - *b.usual)
		g.lat += latAlpha / 4 * (e.Took - g.lat)
		if !a.slow {
			g.adapt(b, e.Took > slowAt*r.class.Aim)
		}
	case Busy:
		g.step(true)
		b.bad, b.good, b.busy = 0, false, min(b.busy+1, 4)
		b.fullTill = g.now + busyFor*math.Exp2(float64(b.busy))
		g.adapt(b, true)
	case Refused, Reset, TimedOut, Failed:
		b.errs += errAlpha * (1 - b.errs)
		if e.Outcome == TimedOut {
			if !a.slow {
				g.step(true)
				g.adapt(b, true)
			}
			b.lat = max(b.lat, b.lat+latAlpha*(e.Took-b.lat))
		}
		if !a.late {
			g.failed(b, e.Outcome == Refused)
		}
	}
}

// failed lets a backend rest that failed several times in a row.
func (g *Gateway) failed(b *backend, proven bool) {
	b.good = b.good && b.bad == 0 && !proven // one answer may be lost
	if b.bad++; b.bad >= ejectAfter || proven {
		b.downTill = g.now + min(ejectMost, ejectFirst*math.Exp2(float64(max(0, b.bad-ejectAfter))))
		b.bad = min(b.bad, ejectAfter+2)
		b.limit, b.lat = 1, *b.usual
	}
}

// adapt moves a backend's limit: up by one for each limit's worth of good answers while it is used,
// down on a slow one, once in the time an answer takes.
func (g *Gateway) adapt(b *backend, slow bool) {
	if !slow {
		if float64(b.out+1) >= b.limit*limitUsed {
			b.limit = min(limitMost, b.limit+limitGrow/max(1, b.limit))
		}
	} else if g.now > b.cutAt+g.lat {
		b.limit, b.cutAt = max(limitLeast/g.sharing, b.limit*limitCut), g.now
	}
}

func (g *Gateway) list(e Backends) {
	if e.Complete {
		for _, b := range g.order {
			b.listed = false
		}
	}
	for _, row := range e.List {
		if row.Size <= 0 {
			row.Size = 1 // not told
		}
		b := g.backends[row.ID]
		if b == nil {
			if g.kinds[row.Kind] == nil {
				g.kinds[row.Kind] = new(g.lat)
			}
			h := fnv.New64a()
			h.Write([]byte(row.ID))
			b = &backend{usual: g.kinds[row.Kind], filled: g.now}
			b.limit = max(1, limitStart/float64(g.s.Balancers))
			b.rank = rand.NewPCG(h.Sum64(), uint64(g.s.Me)).Uint64()
			b.lat = *b.usual
			g.backends[row.ID] = b
			g.order = append(g.order, b)
		}
		if row.Booted > b.Booted {
			b.coldAt, b.filled, b.tokens, b.limit, b.downTill = row.Booted, g.now, 0, 1, 0
		}
		b.Backend, b.listed = row, true
	}
	slices.SortFunc(g.order, func(a, b *backend) int { return cmp.Compare(a.rank, b.rank) })
	g.extent()
}

// extent sets how many backends it uses.
func (g *Gateway) extent() {
	g.listed = 0
	for _, b := range g.order {
		if b.listed && b.Serving {
			g.listed++
		}
	}
	gateways, all := float64(g.s.Balancers), float64(max(1, g.listed))
	reach := min(all, math.Ceil(max(reachLeast, reachFew*all/gateways, reachSpan*g.sentRate)))
	g.reach, g.sharing = int(reach), max(1, gateways*reach/all/reachFew)
}

func (g *Gateway) tick() {
	g.do(SetTimer{g.now + tickEvery, "tick"})
	dt := max(0, min(1, g.now-g.ticked))
	g.ticked = g.now
	g.sentRate *= math.Exp(-dt / sentSpan)
	g.trials = min(reachLeast, g.trials+trialRate*dt)
	g.extent()
	g.order = slices.DeleteFunc(g.order, func(b *backend) bool {
		// Servers come and go all day. Told of again, one is known by its start to be cold or warm.
		gone := !(b.listed && b.Serving) && b.out == 0 && g.now-b.usedAt > idleLapse
		if gone {
			delete(g.backends, b.ID)
		}
		return gone
	})
	used, warm, size, fade := 0, 0, 0.0, math.Exp(-dt/seenSpan)
	for _, b := range g.order {
		if !b.listed || !b.Serving {
			continue
		}
		size, b.seen = size+b.Size, b.seen*fade
		if g.now >= b.downTill && used < g.reach {
			if used++; g.cold(b) == 1 {
				warm++
			}
		}
		b.ghosts *= math.Exp(-dt / max(b.lat, g.lat))
		if g.now-b.usedAt > 1 {
			b.lat += latForget * dt * (*b.usual - b.lat)
			b.errs -= latForget * dt * b.errs
		}
	}
	g.warm, g.size = max(warm, (g.reach+1)/2), size/float64(max(1, g.listed))
	g.release()
	g.overdue()
	g.known = slices.DeleteFunc(g.known, func(c *customer) bool {
		// A host that loses an answer of the counter must not lose the request.
		for len(c.asks) > 0 && g.now > c.asks[0].at+2*g.s.CountWait+tickEvery {
			a := c.asks[0]
			c.asks = c.asks[1:]
			g.told(c, a, Counted{Outcome: TimedOut})
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

// release sends held requests on, and refuses those that have waited too long.
func (g *Gateway) release() {
	if len(g.held) == 0 {
		return
	}
	held := g.held
	g.held = nil
	// The dearest first; among equals the newest: what has waited long would be late anyway.
	slices.SortStableFunc(held, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(b.arrived, a.arrived))
	})
	for i, r := range held {
		switch {
		case r.answered:
		case len(g.held) > 0 && g.now < r.holdUntil():
			g.held = append(g.held, held[i]) // no room for a dearer one: none for this
		default:
			g.send(r)
		}
	}
}

// overdue counts an attempt as slow while it is out (i891194: unsafe ones told so only after five seconds).
func (g *Gateway) overdue() {
	g.open = slices.DeleteFunc(g.open, func(r *request) bool {
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.ended && !a.slow && g.now-a.sent > slowAt*r.class.Aim {
				a.slow = true
				g.step(true)
				g.adapt(a.b, true)
			}
			if !a.ended && !a.late && g.now-a.sent > r.class.Aim {
				a.late = true
				g.failed(a.b, false)
			}
		}
		return r.answered
	})
}
