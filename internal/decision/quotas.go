package decision

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/decision/conformance"
	"mulleinrouter/internal/decision/ratelimit"
)

type customer struct {
	key, tag, suffix   string // tag: of its terms; suffix: of the names of its counters
	pairs                     // where counters are pairs
	hash               uint32 // of its key
	plan               *Plan
	doors, quota       float64 // gateways it may use; what slices share: units a second, or attempts open
	open               int     // attempts out
	seen, fastAt       Seconds
	fast               float64                       // requests a second asked just now
	slice, level, most float64                       // units a second; units in the local store, and that it can hold
	mix                conformance.ValueDistribution // what it asks for
	ceiling            float64                       // what this gateway's part of the ceiling still lets through
	filled, ceilFill   Seconds                       // when level and ceiling were reckoned
	period, phase      Seconds
	cycle              int64
	since, readAt      Seconds // when the cycle began; when its totals are to be read, 0: not now
	demand, r          float64 // units asked in this cycle, units a second asked in the last one
	calls              int     // made in this cycle
	R, k               float64 // last believed totals
	totalAt, validFor  Seconds // when they came, and how long they are believed
	holdTill           Seconds // until then totals of fewer gateways than before are not believed

	thin       bool    // a request at each gateway is over two bursts: each request reports itself
	sum, ratio float64 // total of this cycle so far; the common ratio x/r by the last totals
	share      float64 // of the demand that comes through this gateway, by the last totals
	asks       []query
}

// query is a request that waits for the counter's answer.
type query struct {
	r       *request
	plan    *Plan
	name    string
	cycle   int64
	at, add float64 // when, and how much it added
	before  bool    // reads the total of the cycle before
	room    float64 // of a call for the common part of the ceiling: what there is in its span; else 0
}

func (g *Gateway) customer(e Request, t *Terms) *customer {
	c := g.customers[e.Customer]
	if c == nil {
		h := fnv.New32a()
		h.Write([]byte(e.Customer))
		c = &customer{key: e.Customer, hash: h.Sum32(), since: g.now, filled: g.now, totalAt: math.Inf(-1)}
		c.doors, c.ackedAt = float64(max(1, e.Gateways)), g.firstAck()
		g.adopt(c, t)
		c.validFor = freshCycles * c.period
		c.slice, c.level = c.quota/c.doors, g.store(c, t) // fill cuts it
		c.share = 1 / c.doors
		c.ceilFill, c.ceiling = g.started, c.plan.ceilingAtStart()/c.doors
		g.customers[e.Customer] = c
		g.known = append(g.known, c)
	}
	g.replan(c, t)
	c.seen = g.now
	return c
}

// adopt sets what follows from terms alone.
func (g *Gateway) adopt(c *customer, t *Terms) {
	c.plan, c.tag, c.suffix = &t.Plan, t.Tag, g.suffix(t)
	if c.quota = c.plan.Rate; c.quota <= 0 {
		c.quota = float64(c.plan.MaxInFlight)
	}
	// Without a quota it does not matter.
	c.period = cmp.Or(g.s.CounterCycle, min(cycleMax, max(cycleMin, cycleUnits/c.quota)))
	// The phase spreads the calls of a cycle over it.
	c.phase = float64(c.hash%1024) / 1024 * c.period
	c.cycle = c.cycleAt(g.now)
	if c.thin = c.quota > 0 && c.doors > 2*c.quota; c.plan.Rate > 0 {
		c.thin = c.doors > 1 && thinBursts*c.plan.Burst < c.doors*g.s.MaxUnits
	}
	g.thinOfPairs(c)
}

// replan puts a customer on other terms. Stores keep what they hold, up to the new most, and a slice its part
// of the quota: no change costs what was held, and none, often as it comes, gives a second burst. Gateways
// hear at different times, and totals of one name are for one quota: k of the old name is put beyond all
// gateways, which freezes slices there, and those here stay until as many report: never more than the larger.
func (g *Gateway) replan(c *customer, t *Terms) {
	if c.tag == t.Tag {
		return
	}
	g.topUp(c)
	part := 1 / c.doors
	if c.quota > 0 {
		g.fill(c)
		part = c.slice / c.quota
	}
	field, _ := c.pack()
	if !g.s.PairCounters && g.s.HasCounter && g.now >= g.muted && !c.thin && c.doors > 1 && c.quota > 0 {
		for n := range int64(changeCycles + 1) {
			name, keep := c.name(c.cycleAt(g.now)+n), (changeCycles+1)*c.period+1
			g.do(CounterCall{Name: name, Add: field * c.doors, Retention: keep})
		}
	}
	if c.plan.LimitRate > 0 {
		c.level = min(c.level, c.ceiling) // what the ceiling kept back is not set free
	} else {
		c.ceiling = max(c.ceiling, c.level) // what the quota let through, a new ceiling does
	}
	g.adopt(c, t)
	c.slice, c.filled, c.readAt, c.calls, c.sum = part*c.quota, g.now, 0, 0, 0
	c.holdTill = g.now + changeCycles*c.period
	if c.thin && c.ratio > 0 && c.R > 0 {
		c.ratio = min(1, aimShare*g.rate(c)/c.R)
	}
}

// topUp brings what this gateway's own part of the ceiling still lets through up to now.
func (g *Gateway) topUp(c *customer) {
	if c.plan.LimitRate > 0 {
		c.ceiling = c.plan.split(c.doors, g.s.HasCounter).Own(c.ceiling, g.now-c.ceilFill, g.part())
	}
	c.ceilFill = g.now
}

// common asks the counter for a request inside the quota that is more than this gateway's own part allows.
func (g *Gateway) common(r *request) bool {
	c := r.c
	if g.topUp(c); !r.inside || c.ceiling >= r.Units || g.now < max(g.muted, c.holdTill) {
		return false
	}
	span, room, keep, ok := c.plan.split(c.doors, g.s.HasCounter).Common(g.now)
	if ok {
		c.asks = append(c.asks, query{r: r, plan: c.plan, name: c.key + "/" + span, at: g.now, room: room})
		g.do(CounterCall{Name: c.key + "/" + span, Add: r.Units, Retention: keep})
	}
	return ok
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
	return c.plan.Rate <= 0 && float64(c.open+1)*c.doors <= c.quota
}

// fill brings the local store up to now. It holds the slice's share of the burst; that of a thin customer the
// share of its demand, the even one while nothing is known of it, and one request at least.
func (g *Gateway) fill(c *customer) {
	slice := g.paced(c)
	rate, most := slice, max(g.whole(c), c.plan.Burst*min(1, g.stored(c)/c.quota))
	if c.thin {
		rate, most = g.alone(c), max(g.s.MaxUnits, c.plan.Burst*c.share)
	}
	c.most = g.room(most)
	c.level = min(c.most, c.level+g.part()*rate*(g.now-c.filled))
	c.filled = g.now
}

func (g *Gateway) believed(c *customer) bool { return g.now-c.totalAt < c.validFor }

func (c *customer) cycleAt(now Seconds) int64 { return int64(math.Floor((now - c.phase) / c.period)) }

func (c *customer) name(cycle int64) string {
	return c.key + "/" + strconv.FormatInt(cycle, 36) + c.suffix
}

func (g *Gateway) count(c *customer, cycle int64, add float64) {
	g.do(CounterCall{c.name(cycle), add, 2*c.period + 1, c.key, cycle, c.thin})
}

// turn closes a customer's cycle and, where its demand nears the slice, adds it to the counter.
func (g *Gateway) turn(c *customer) {
	span := max(g.now-c.since, c.period/2)
	r := c.demand / span / max(0.1, g.part())
	if g.s.PairCounters && !math.IsInf(c.totalAt, -1) {
		r = c.r + smoothing*(r-c.r)
	}
	c.r, c.demand, c.since = r, 0, g.now
	c.cycle = c.cycleAt(g.now)
	c.readAt, c.calls = 0, 0
	if g.s.PairCounters {
		g.report(c)
		return
	}
	if c.quota <= 0 || c.doors < 2 || c.thin {
		return
	}
	if even := c.quota / c.doors; c.r < quietShare*even {
		c.slice = even // quiet: no calls, and the others leave it quietShare of this
		return
	}
	if !g.s.HasCounter || g.now < g.muted {
		return // frozen
	}
	c.calls = 1
	field, unit := c.pack()
	most := math.Floor((field - 1) / c.doors) // so that no number of gateways spills into k
	g.count(c, c.cycle, g.reporter(field)+min(most, math.Floor(c.r*g.part()/unit+g.rng.Float64())))
}

// pack tells how a total of seven digits holds k and, below it, R in units that are rounded by chance.
func (c *customer) pack() (field, unit float64) {
	field = math.Pow(10, 6-math.Floor(math.Log10(c.doors)))
	return field, packSpan * c.quota / field
}

// counted takes a total. What is no sound answer for this cycle leaves the slice frozen.
func (g *Gateway) counted(e CounterReply) {
	g.reached(e)
	if e.Outcome == Succeeded || e.Outcome == Rejected || e.Outcome == Failed {
		if g.unheard >= muteAfter && g.now-g.heard > lostAfter {
			g.chance = g.rated // else it took minutes, at few calls, until quotas were watched again
		}
		g.heard, g.unheard = g.now, 0
		defer func() { g.rated = g.chance }()
	} else {
		g.unheard++
	}
	switch e.Outcome {
	case Succeeded:
		g.silent, g.muted = 0, 0
		g.chance = min(1, g.chance+chanceUp)
	case Failed: // answered, if not with a total: no sign that it has no room
	default:
		if (e.Outcome == Rejected || e.Outcome == TimedOut) && g.now >= g.cutAt+chanceCuts {
			// A broken connection says nothing of room.
			g.cutAt = g.now
			g.chance = max(chanceLeast, g.chance*chanceDown)
		}
		if g.silent++; g.silent >= muteAfter {
			g.muted = g.now + muteFor
		}
	}
	c := cmp.Or(g.customers[e.Name[:max(0, strings.LastIndexByte(e.Name, '/'))]], &customer{}) // forgotten
	if i := slices.IndexFunc(c.asks, func(a query) bool { return a.name == e.Name }); i >= 0 {
		a := c.asks[i]
		c.asks = slices.Delete(c.asks, i, i+1)
		g.told(c, a, e)
		return
	}
	if c.thin || c.calls == 0 || c.name(c.cycle) != e.Name || e.Outcome != Succeeded {
		c.taken(g.now, e)
		return
	}
	if g.s.PairCounters {
		g.read(c, e)
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
	if k < 1 || k > c.doors || R < c.r/2 || k < c.k && g.now < c.holdTill {
		return
	}
	if c.R, c.k, c.totalAt = R, k, g.now; doubt || c.plan.Rate <= 0 {
		return
	}
	g.fill(c)
	c.step(c.quota * (1 - quietShare*(c.doors-k)/c.doors)) // quiet gateways keep their part
}

// callChance is how likely a request of a thin customer asks the counter. What is added is divided by it,
// so it must not weigh much in a cycle: large quotas need few calls, small ones all. When the counter cannot
// take them all, some customers are not watched, the same ones at all gateways, for half a total is noise;
// first those whose answer decides nothing. Where what is beyond costs, all are watched, but sampled thinly.
func (g *Gateway) callChance(c *customer, r *request) float64 {
	if g.s.PairCounters {
		return 1
	}
	least := min(1, c.units(r)/(weightMost*g.rate(c)*c.period))
	if g.unheard < muteAfter { // else who tries it?
		watched := g.chance
		if c.plan.sendsBeyond() { // the answer decides nothing
			watched = math.Pow(g.chance, yieldPower)
		} else if least > g.chance && c.plan.ExcessCost > 0 {
			return g.chance
		}
		if float64(c.hash)/math.MaxUint32*least > watched {
			return 0
		}
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
	r.c.asks = append(r.c.asks, query{r, r.c.plan, r.c.name(cycle), cycle, g.now, add, add == 0, 0})
	g.count(r.c, cycle, add)
}

// told decides a request of a thin customer. Exception: each counted one is a report, as r is 0 or noise. It
// adds itself, and the answer is the read. The step is the same: with R under the quota x covers r, above it
// x is Q*r/R, and chance admits that part: it stays pinned to Q. Up to the burst's room all is inside.
func (g *Gateway) told(c *customer, a query, e CounterReply) {
	r, Q, T := a.r, g.rate(c), c.period
	g.heardOf(c, e)
	if r.answered {
		return
	}
	if a.room > 0 {
		if e.Outcome == Succeeded && e.Total <= a.room && a.plan == c.plan {
			r.common = g.now + ratelimit.Late
		}
		g.send(r)
		return
	}
	if e.Outcome != Succeeded || a.plan != c.plan {
		r.inside = g.inside(r)
		g.admit(r)
		return
	}
	now, before, known := a.cycle, c.R*T, g.recent(c)
	if a.before {
		now, before, known = a.cycle+1, e.Total, true
	} else {
		c.sum = e.Total
	}
	spent := min(T, g.now-float64(now)*T-c.phase)
	if !known {
		if before = 0; c.sum > Q*spent && c.sum > a.add+1e-6 {
			if g.chance >= crowded || c.plan.ExcessCost <= 0 {
				g.ask(r, a.cycle-1, 0)
				return
			}
			before = min(c.sum/max(spent, T/4), 2*Q) * T // a second call would cost another its only one
		}
	}
	R, ratio := (before+c.sum)/(T+spent), c.ratio
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
		c.ratio = min(1, g.aimed()*Q/R)
	default:
		c.ratio = min(1, g.aimed()*Q*spent/c.sum)
	}
	g.brake(c, ratio, room+Q*spent, now, spent)
	// Between two words the ratio lets in no more than its slice and burst (fleet day: 3 quotas for 6 s).
	quiet := quietShare * Q / c.doors // as r is noise
	own := (c.r*T+c.demand)/(T+max(0, g.now-c.since)) + quiet
	c.share = min(1, own/(R+quiet*c.doors))
	g.fill(c)
	if c.plan.ExcessCost > 0 {
		g.odds.Observe(r.ClientRetry, c.ratio)
	}
	if r.inside = g.rng.Float64() < c.ratio; r.inside {
		c.level = max(0, c.level-c.units(r))
	}
	g.admit(r)
}
