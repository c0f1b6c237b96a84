package decision

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// limitedFleet simulates two to four gateways, a single customer, and a counter whose replies are delayed, or
// do not come while the counter is silent.
type limitedFleet struct {
	*testing.T
	rng            *rand.Rand
	settings       Settings
	gateways       []*Gateway
	counter        packedCounter
	counterSilent  bool
	maxReplyDelay  Seconds
	replies        []delayedReply
	now            Seconds
	nextRequestAt  Seconds // time of the customer's next request
	id             uint64
	sentUnits      map[string]float64 // units forwarded, by class
	limitTokens    float64            // bucket of the hard rate limit over all gateways
	minLimitTokens float64
	requests       map[uint64]Request
	largestUnits   float64         // units of the largest request that was forwarded
	reference      referenceBucket // requests that a single gateway would forward
}

// referenceBucket is a single token bucket for the requests at all gateways.
type referenceBucket struct {
	at           Seconds
	tokens, sent float64
}

func (rb *referenceBucket) admit(p Plan, now Seconds, units float64) {
	rb.tokens, rb.at = min(p.Burst, rb.tokens+p.Rate*(now-rb.at)), now
	if rb.tokens >= units {
		rb.tokens, rb.sent = rb.tokens-units, rb.sent+units
	}
}

type delayedReply struct {
	dueAt   Seconds
	gateway int
	CounterReply
}

func newLimitedFleet(t *testing.T, seed uint64, gatewayCount int, p Plan) *limitedFleet {
	c := &limitedFleet{
		T: t, rng: rand.New(rand.NewPCG(seed, 1)), counter: packedCounter{}, sentUnits: map[string]float64{},
		requests: map[uint64]Request{}, now: 100, limitTokens: p.LimitBurst,
	}
	c.settings = testSettings()
	c.settings.Classes[1].Value = 5.0 / 3 // class "keyed"; class "safe" has the value 1
	c.settings.Gateways = gatewayCount
	c.settings.MaxUnits = 6
	c.settings.CounterTimeout = 0.08
	c.settings.Plans = []Plan{p}
	for range gatewayCount {
		c.gateways = append(c.gateways, nil)
		c.start(len(c.gateways) - 1)
	}
	return c
}

// start starts a gateway. It replaces a running one, whose state is lost.
func (f *limitedFleet) start(i int) {
	s := f.settings
	s.Index = i
	f.gateways[i] = New(s, f.rng.Uint64())
	f.gateways[i].Handle(f.now, Start{})
	f.gateways[i].Handle(
		f.now,
		Backends{
			Complete: true,
			List:     []Backend{servingBackend("x"), servingBackend("y"), servingBackend("z")},
		},
	)
}

func (f *limitedFleet) perform(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case CounterCall:
			f.replies = append(f.replies, f.reply(i, a))
		case Send:
			r := f.requests[a.ID]
			f.sentUnits[r.Class] += r.Units
			f.largestUnits = max(f.largestUnits, r.Units)
			f.limitTokens -= r.Units
			f.minLimitTokens = min(f.minLimitTokens, f.limitTokens)
			ended := AttemptEnded{
				ID:       a.ID,
				Backend:  a.Backend,
				Outcome:  Succeeded,
				Duration: 0.01,
				Answered: true,
				Units:    f.settledUnits(r.Units),
			}
			f.perform(i, f.gateways[i].Handle(f.now, ended))
		}
	}
}

// reply returns the counter's delayed reply to a gateway's call, or a timeout.
func (f *limitedFleet) reply(gateway int, call CounterCall) delayedReply {
	if f.counterSilent {
		timedOut := CounterReply{Name: call.Name, Outcome: TimedOut}
		return delayedReply{f.now + f.settings.CounterTimeout, gateway, timedOut}
	}
	return delayedReply{f.now + f.maxReplyDelay*f.rng.Float64(), gateway, f.counter.add(call)}
}

// totalUnits returns the units that were forwarded.
func (f *limitedFleet) totalUnits() (sum float64) {
	for _, units := range f.sentUnits {
		sum += units
	}
	return sum
}

// settledUnits returns the actual units of a request, which are equal to the estimate on average.
func (f *limitedFleet) settledUnits(guess float64) float64 {
	if guess == 1 || guess == f.settings.MaxUnits {
		return guess
	}
	return guess + float64(f.rng.IntN(3)-1)
}

// run simulates a span with a demand in units per second. The given share of the requests comes through the
// first gateway, the rest evenly through all.
func (f *limitedFleet) run(span Seconds, units, firstShare float64) {
	p := f.settings.Plans[0]
	for until := f.now + span; f.now < until; {
		before := f.now
		f.now += 0.05
		f.limitTokens = min(p.LimitBurst, f.limitTokens+p.LimitRate*(f.now-before))
		due := f.replies
		f.replies = nil
		for _, d := range due {
			if d.dueAt > f.now {
				f.replies = append(f.replies, d)
			} else {
				f.perform(d.gateway, f.gateways[d.gateway].Handle(f.now, d.CounterReply))
			}
		}
		for i, g := range f.gateways {
			f.perform(i, g.Handle(f.now, Timer{"tick"}))
		}
		f.nextRequestAt = max(f.nextRequestAt, before)
		for f.nextRequestAt < f.now {
			f.request(p, firstShare)
			f.nextRequestAt += 3.5 / units * f.rng.ExpFloat64()
		}
	}
}

// request simulates one request, which comes through the first gateway with the given probability, else
// through a random one.
func (f *limitedFleet) request(p Plan, firstShare float64) {
	i := f.rng.IntN(len(f.gateways))
	if f.rng.Float64() < firstShare {
		i = 0
	}
	f.id++
	r := Request{
		ID:       f.id,
		Class:    []string{"safe", "keyed"}[f.rng.IntN(2)],
		Plan:     p.Name,
		Customer: "c",
		TimeLeft: 6,
		Units:    float64(1 + f.rng.IntN(6)),
		Gateways: len(f.gateways),
	}
	f.requests[r.ID] = r
	f.reference.admit(p, f.now, r.Units)
	f.perform(i, f.gateways[i].Handle(f.now, r))
}

// A hard rate limit must hold over all gateways while the demand is up to eight times the quota, mostly
// through one of them, the counter is slow or silent for 14 s, units are estimates, and gateways are killed
// and restart. The plan forwards nothing over quota, so its restarted gateways start with a part of the
// limit's tokens.
func TestRateLimitHoldsOverRestarts(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2))
		gatewayCount := 2 + int(seed%3)
		p := Plan{Name: "multi", Rate: 3.5 + 2.6*rng.Float64(), ValueWeight: 1.2, ExcessCost: 0.8}
		p.Burst = max(24, p.Rate*(3.1+2.1*rng.Float64()))
		over := 1.8 + 0.5*rng.Float64()
		p.LimitRate, p.LimitBurst = over*p.Rate, over*p.Burst
		p.LimitSlack = max(6, 0.1*p.LimitBurst)
		c := newLimitedFleet(t, seed, gatewayCount, p)
		c.maxReplyDelay = 0.02
		for range 6 {
			c.run(1+4*rng.Float64(), p.Rate*(0.3+7.5*rng.Float64()), rng.Float64())
			switch rng.IntN(4) {
			case 0:
				c.counterSilent = !c.counterSilent
			case 1:
				c.maxReplyDelay = 0.09 * rng.Float64()
			case 2:
				c.start(rng.IntN(gatewayCount))
			case 3:
				c.start(0)
				c.run(0.5, 8*p.Rate, 1)
				c.start(0) // a second restart right after the first one
			}
		}
		c.counterSilent = true
		c.run(14, 8*p.Rate, 0.5)
		if c.minLimitTokens < -p.LimitSlack {
			t.Errorf(
				"seed %d: %d gateways: the bucket of the rate limit fell to %.1f, slack %.1f",
				seed, gatewayCount,
				c.minLimitTokens, p.LimitSlack,
			)
		}
	}
}

// At the start no request may be rejected by a rate limit that no gateway has used yet: requests within the
// quota's burst are forwarded in the first second.
func TestBurstIsAdmittedAtTheStart(t *testing.T) {
	p := Plan{
		Name: "multi", Rate: 5, Burst: 24, ValueWeight: 1.2, ExcessCost: 0.8, LimitRate: 10, LimitBurst: 48,
		LimitSlack: 6,
	}
	sum := 0.0
	for seed := range uint64(40) {
		c := newLimitedFleet(t, seed, 3, p)
		c.run(1, 24, 0)
		sum += c.totalUnits() / 40
	}
	if sum < 14 || sum > 24+5 {
		t.Errorf("%.1f units in the first second of a burst of 24", sum)
	}
}

// The bucket of a small customer holds at least one request, even one larger than the even share of the
// burst, so no request is rejected every time.
func TestLargestRequestIsNotRejectedForEver(t *testing.T) {
	p := Plan{Name: "small", Rate: 1.6, Burst: 12, ValueWeight: 1, ExcessCost: 1.2}
	for gatewayCount := 2; gatewayCount <= 4; gatewayCount++ {
		c := newLimitedFleet(t, uint64(gatewayCount), gatewayCount, p)
		c.run(30, 4, 0)
		c.largestUnits = 0
		sent := c.totalUnits()
		c.run(400, 1, 0.3)
		if c.largestUnits < 6 {
			t.Errorf("%d gateways: no request larger than %v units forwarded", gatewayCount, c.largestUnits)
		}
		inside := (c.totalUnits() - sent) / 400
		if inside < 0.55 {
			t.Errorf(
				"%d gateways: %.2f of 1 unit per second forwarded, with a quota of 1.6",
				gatewayCount, inside,
			)
		}
		c.run(30, 6, 0.3)
		sent = c.totalUnits()
		if c.run(400, 6, 0.3); (c.totalUnits()-sent)/400 > 1.06*p.Rate {
			t.Errorf(
				"%d gateways: %.2f units per second, quota 1.6", gatewayCount, (c.totalUnits()-sent)/400,
			)
		}
	}
}

// If a customer's demand exceeds its quota, more of its valuable requests are admitted than of the others.
// If it does not, all requests of both classes are admitted.
func TestMoreValuableRequestsFirst(t *testing.T) {
	p := Plan{Name: "multi", Rate: 5, Burst: 24, ValueWeight: 1, ExcessCost: 1}
	for _, tc := range []struct{ units, minRatio, maxRatio float64 }{{15, 1.3, 2}, {2, 0.9, 1.1}} {
		c := newLimitedFleet(t, 1, 3, p)
		c.maxReplyDelay = 0.01
		c.run(20, tc.units, 0.2)
		clear(c.sentUnits)
		c.run(2000, tc.units, 0.2)
		if ratio := c.sentUnits["keyed"] / c.sentUnits["safe"]; ratio < tc.minRatio || ratio > tc.maxRatio {
			t.Errorf("%v units per second: %.2f times as much of the more valuable class", tc.units, ratio)
		}
	}
}

// The capacities of buckets are overbooked, but their refill rates are not. In a short span, the forwarded
// units must be within the quota and one and a half bursts, for any distribution over the gateways. Over a
// long time they must be close to the quota.
func TestOverbookedBucketsKeepTheRate(t *testing.T) {
	p := Plan{Name: "b", Rate: 6, Burst: 30, ValueWeight: 1, ExcessCost: 1}
	for seed := range uint64(20) {
		c := newLimitedFleet(t, seed, 2+int(seed%3), p)
		c.maxReplyDelay = 0.01
		c.run(40, 1, 0.3) // buckets fill up
		beforeBurst := c.totalUnits()
		c.run(2, 120, c.rng.Float64())
		// The bound allows for settled units that differ from the estimates.
		if burst := c.totalUnits() - beforeBurst; burst > 1.5*p.Burst+2*p.Rate+12 {
			t.Errorf("seed %d: %.0f units in 2 s of a quota of 6 with a burst of 30", seed, burst)
		}
		c.run(20, 30, 0.5)
		before := c.totalUnits()
		c.run(300, 30, 0.5)
		// A gateway that by chance gets no request in a cycle keeps its even share, so the sum may exceed
		// the quota.
		if share := (c.totalUnits() - before) / (300 * p.Rate); share < 0.95 || share > 1.15 {
			t.Errorf("seed %d: %.2f of the quota forwarded", seed, share)
		}
	}
}

// warmingFleet simulates a few gateways with nine warm servers and one in slow start, which each gateway
// learns of at a different time.
type warmingFleet struct {
	rng       *rand.Rand
	gateways  []*Gateway
	learnsAt  []Seconds // by gateway: time at which it learns of the warming server; 0: it knows it
	warm      []Backend
	inFlight  int       // attempts in flight at the warming server
	sentAt    []Seconds // times of the attempts at the warming server
	endings   []warmingAttempt
	requestID uint64
}

// warmingAttempt is the future end of an attempt that is in flight.
type warmingAttempt struct {
	at      Seconds
	gateway *Gateway
	ended   AttemptEnded
}

const (
	warmingServer    = "cold"
	warmServers      = 9
	warmServerRate   = 7.0  // requests per second that a warm server can serve
	warmServerUse    = 0.95 // demand as a share of the warm servers' capacity
	warmingStartedAt = 5.0  // s
	warmingShare     = 0.18 // share of its capacity with which the server starts
	warmingTime      = 17.0 // s, duration of slow start
	overloadFactor   = 3.0  // multiple of its present capacity that overloads the server
	overloadFor      = 1.5  // s for which the server withstands that load
)

func newWarmingFleet(seed uint64, gateways int) *warmingFleet {
	f := &warmingFleet{rng: rand.New(rand.NewPCG(seed, 3))}
	s := testSettings()
	s.Gateways, s.SlowStartShare, s.SlowStartTime = gateways, warmingShare, warmingTime
	s.OverloadFactor, s.OverloadFor = overloadFactor, overloadFor
	for j := range warmServers {
		f.warm = append(f.warm, servingBackend(fmt.Sprint("w", j)))
	}
	for i := range gateways {
		s.Index = i
		g := New(s, seed)
		g.Handle(0, Start{})
		g.Handle(0, Backends{Complete: true, List: f.warm})
		f.gateways = append(f.gateways, g)
		f.learnsAt = append(f.learnsAt, warmingStartedAt+3.5*f.rng.Float64())
	}
	return f
}

func (f *warmingFleet) run(until Seconds) {
	next := 0.0
	for now := 0.05; now < until; now += 0.05 {
		f.endAttempts(now)
		for i, g := range f.gateways {
			if f.learnsAt[i] > 0 && now >= f.learnsAt[i] {
				f.learnsAt[i] = 0
				warming := Backend{ID: warmingServer, Zone: "a", Serving: true, StartedAt: warmingStartedAt}
				g.Handle(now, Backends{Complete: true, List: append(slices.Clone(f.warm), warming)})
			}
			g.Handle(now, Timer{"tick"})
		}
		for ; next < now; next += f.rng.ExpFloat64() / (warmServerUse * warmServers * warmServerRate) {
			f.request(now)
		}
	}
}

func (f *warmingFleet) endAttempts(now Seconds) {
	pending := f.endings[:0]
	for _, e := range f.endings {
		if e.at > now {
			pending = append(pending, e)
			continue
		}
		e.gateway.Handle(now, e.ended)
		if e.ended.Backend == warmingServer {
			f.inFlight--
		}
	}
	f.endings = pending
}

func (f *warmingFleet) request(now Seconds) {
	f.requestID++
	g := f.gateways[f.rng.IntN(len(f.gateways))]
	for _, a := range actionsOf[Send](g.Handle(now, testRequest(f.requestID, "safe", "free"))) {
		duration := 0.1 + 0.3*f.rng.Float64()
		if a.Backend == warmingServer {
			f.sentAt = append(f.sentAt, now)
			f.inFlight++
			duration *= 1 + float64(f.inFlight)
		}
		ended := AttemptEnded{
			ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: duration, Answered: true,
		}
		f.endings = append(f.endings, warmingAttempt{now + duration, g, ended})
	}
}

// All gateways together must not overload a server that has just started, although each learns of it at a
// different time and all servers are nearly at capacity. It starts with 0.18 of its capacity and is warm
// after 17 s. In no 1.5 s may it get three times the requests that it can serve then, but it must be used.
func TestWarmingServerIsNotOverloadedByAFewGateways(t *testing.T) {
	for seed := range uint64(12) {
		gateways := 2 + int(seed%3)
		f := newWarmingFleet(seed, gateways)
		f.run(24)
		for i, at := range f.sentAt {
			warmth := min(1, (at-warmingStartedAt)/warmingTime)
			serverRate := warmServerRate * (warmingShare + (1-warmingShare)*warmth)
			n := 0
			for _, later := range f.sentAt[i:] {
				if later <= at+overloadFor {
					n++
				}
			}
			if float64(n) > overloadFactor*serverRate*overloadFor {
				t.Fatalf(
					"seed %d: %d gateways sent %d in %v s from %.1f s on; it can serve %.1f",
					seed, gateways, n, overloadFor, at, serverRate*overloadFor,
				)
			}
		}
		if len(f.sentAt) < 5 {
			t.Errorf("seed %d: sent %d in 19 s", seed, len(f.sentAt))
		}
	}
}

// Compares the smallest quota in use, 1.2 units per second with requests of 1 to 6 units, with one bucket
// for all gateways, over 1,000 s in which the busy gateway's share changes every 10 s. A customer within its
// quota must get most of the units that the one bucket admits. One with a higher demand must get its quota,
// and never much more.
func TestTinyQuotasAgainstOneBucket(t *testing.T) {
	for _, tc := range []struct{ demand, minRatio, maxRatio float64 }{
		{0.3, 0.72, 1.1},
		{0.7, 0.7, 1.1},
		{1, 0.68, 1.15},
		{3, 0.9, 1.15},
	} {
		for gatewayCount := 2; gatewayCount <= 3; gatewayCount++ {
			sent, oneBucket := 0.0, 0.0
			for seed := range uint64(4) {
				p := Plan{Name: "small", Rate: 1.2, Burst: 12, ValueWeight: 0.88, ExcessCost: 1.2}
				c := newLimitedFleet(t, seed, gatewayCount, p)
				c.maxReplyDelay = 0.02
				for range 100 {
					// The share of the busy gateway changes each time.
					c.run(10, tc.demand*p.Rate, c.rng.Float64())
				}
				sent, oneBucket = sent+c.totalUnits(), oneBucket+c.reference.sent
			}
			if sent < tc.minRatio*oneBucket || sent > tc.maxRatio*oneBucket {
				t.Errorf(
					"demand of %.1f quotas at %d gateways: %.2f of the units that one bucket admits",
					tc.demand, gatewayCount,
					sent/oneBucket,
				)
			}
		}
	}
}

// If excess is forwarded, a new gateway must start with an empty part of the rate limit, because the process
// before it may have used it up. It must then admit at most its half of the limit.
func TestRateLimitHoldsForOneGatewayAndAfterARestart(t *testing.T) {
	g := startedGateway(
		t, testSettings(), servingBackend("x"), servingBackend("y"), servingBackend("z"),
	)
	if len(actionsOf[Send](g.Handle(0, testRequest(1, "safe", "limited")))) != 0 {
		t.Error("a new gateway used a rate limit that the process before it may have used up")
	}
	units, id := 0.0, uint64(10)
	for now := 0.0; now < 6; now += 0.01 {
		id++
		for range actionsOf[Send](g.Handle(now, testRequest(id, "safe", "limited"))) {
			units++
			g.Handle(now, AttemptEnded{
				ID: id, Backend: g.requests[id].attempts[0].backend.ID, Outcome: Succeeded,
				Answered: true, Duration: 0.01,
			})
		}
	}
	if units == 0 || units > 10*6+1 {
		t.Errorf("%v units in 6 s, this gateway's half of the rate limit is 60", units)
	}
}

// A gateway that has used up its own part of a rate limit requests tokens of the shared part, and the reply
// decides.
func TestSharedPartOfARateLimitIsRequested(t *testing.T) {
	for _, tc := range []struct {
		reply CounterReply
		sends int
	}{
		// The capacity is 20 * 0.925 / 4.
		{CounterReply{Outcome: Succeeded, Total: 1}, 1},
		{CounterReply{Outcome: Succeeded, Total: 100}, 0},
		{CounterReply{Outcome: TimedOut}, 0},
		{CounterReply{Outcome: Rejected}, 0},
	} {
		g := startedGateway(t, testSettings(), servingBackend("x"))
		calls := actionsOf[CounterCall](g.Handle(0, testRequest(1, "safe", "limited")))
		if len(calls) != 1 || calls[0].Add != 1 {
			t.Fatalf("calls %v", calls)
		}
		tc.reply.Name = calls[0].Name
		out := g.Handle(0.01, tc.reply)
		if len(actionsOf[Send](out)) != tc.sends || len(actionsOf[Reject](out)) != 1-tc.sends {
			t.Errorf("%+v: %v", tc.reply, out)
		}
	}
}

// Guards against an empty rate limit bucket for a customer whose first request comes long after the start:
// 35% of the requests were rejected within 5 s although there was capacity (zdar-later).
func TestRateLimitOfANewCustomerHasRefilled(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	r := testRequest(1, "safe", "limited")
	if len(actionsOf[Send](g.Handle(30, r))) != 1 {
		t.Error("rejected, although this gateway has admitted nothing for 30 s")
	}
}
