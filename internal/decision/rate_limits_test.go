package decision

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// limitedFleet is two to four gateways of one customer, with a counter, whose answers come late; or never,
// while it is silent.
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
	nextRequestAt  Seconds // when it asks next
	id             uint64
	sentUnits      map[string]float64 // units forwarded, by class
	limitTokens    float64            // bucket of the hard rate limit, as a node that sees all would keep it
	minLimitTokens float64
	requests       map[uint64]Request
	largestUnits   float64         // units of the largest that was forwarded
	reference      referenceBucket // what one gateway that sees all would forward
}

// referenceBucket is one bucket that sees all.
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
	c.settings.Classes[1].Value = 5.0 / 3 // keyed; the safe one is value 1
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

// start starts a gateway; one that runs is killed before.
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

// reply is the counter's reply to a gateway's call, after a delay, or a timeout.
func (f *limitedFleet) reply(gateway int, call CounterCall) delayedReply {
	if f.counterSilent {
		timedOut := CounterReply{Name: call.Name, Outcome: TimedOut}
		return delayedReply{f.now + f.settings.CounterTimeout, gateway, timedOut}
	}
	return delayedReply{f.now + f.maxReplyDelay*f.rng.Float64(), gateway, f.counter.add(call)}
}

// totalUnits is what was forwarded, in units.
func (f *limitedFleet) totalUnits() (sum float64) {
	for _, units := range f.sentUnits {
		sum += units
	}
	return sum
}

// settledUnits is what a request of a guessed size turns out to count: the same on average.
func (f *limitedFleet) settledUnits(guess float64) float64 {
	if guess == 1 || guess == f.settings.MaxUnits {
		return guess
	}
	return guess + float64(f.rng.IntN(3)-1)
}

// run has the customer ask so many units a second for a while: the given share of it through the first
// gateway, the rest evenly.
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

// request has the customer send one request: with the given probability through the first gateway, else
// through any.
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

// A hard rate limit holds over all gateways while the customer asks up to eight times its quota, mostly
// through one of them, the counter is silent for 14 s or slow, units are guesses, and gateways are killed and
// start anew; though a plan from which nothing is forwarded over quota does not start from nothing.
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
				c.start(0) // once more at once
			}
		}
		c.counterSilent = true
		c.run(14, 8*p.Rate, 0.5)
		if c.minLimitTokens < -p.LimitSlack {
			t.Errorf(
				"seed %d: %d gateways: the bucket of the rate limit came down to %.1f, slack %.1f",
				seed, gatewayCount,
				c.minLimitTokens, p.LimitSlack,
			)
		}
	}
}

// At the start nobody is rejected for a rate limit that no gateway has used yet: what is within the quota's
// burst runs in the first second.
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

// A bucket of small customers holds one request, be it larger than the even part of the burst: none is always
// rejected.
func TestLargestRequestIsNotRejectedForEver(t *testing.T) {
	p := Plan{Name: "small", Rate: 1.6, Burst: 12, ValueWeight: 1, ExcessCost: 1.2}
	for gatewayCount := 2; gatewayCount <= 4; gatewayCount++ {
		c := newLimitedFleet(t, uint64(gatewayCount), gatewayCount, p)
		c.run(30, 4, 0)
		c.largestUnits = 0
		sent := c.totalUnits()
		c.run(400, 1, 0.3)
		if c.largestUnits < 6 {
			t.Errorf("%d gateways: none larger than %v units", gatewayCount, c.largestUnits)
		}
		inside := (c.totalUnits() - sent) / 400
		if inside < 0.55 {
			t.Errorf(
				"%d gateways: %.2f units a second of 1 forwarded, within a quota of 1.6",
				gatewayCount, inside,
			)
		}
		c.run(30, 6, 0.3)
		sent = c.totalUnits()
		if c.run(400, 6, 0.3); (c.totalUnits()-sent)/400 > 1.06*p.Rate {
			t.Errorf(
				"%d gateways: %.2f units a second of a quota of 1.6", gatewayCount, (c.totalUnits()-sent)/400,
			)
		}
	}
}

// A customer that asks for more than its quota has more of its valuable requests admitted than of the others;
// one that does not, all of both.
func TestMoreValuableRequestsFirst(t *testing.T) {
	p := Plan{Name: "multi", Rate: 5, Burst: 24, ValueWeight: 1, ExcessCost: 1}
	for _, tc := range []struct{ units, minRatio, maxRatio float64 }{{15, 1.3, 2}, {2, 0.9, 1.1}} {
		c := newLimitedFleet(t, 1, 3, p)
		c.maxReplyDelay = 0.01
		c.run(20, tc.units, 0.2)
		clear(c.sentUnits)
		c.run(2000, tc.units, 0.2)
		if ratio := c.sentUnits["keyed"] / c.sentUnits["safe"]; ratio < tc.minRatio || ratio > tc.maxRatio {
			t.Errorf("%v units a second: %.2f times as much of the dearer", tc.units, ratio)
		}
	}
}

// Stores are overbooked, what comes into them is not: over any span, what runs is within the quota and one
// and a half bursts, wherever it is asked; and in the long run near the quota.
func TestOverbookedBucketsKeepTheRate(t *testing.T) {
	p := Plan{Name: "b", Rate: 6, Burst: 30, ValueWeight: 1, ExcessCost: 1}
	for seed := range uint64(20) {
		c := newLimitedFleet(t, seed, 2+int(seed%3), p)
		c.maxReplyDelay = 0.01
		c.run(40, 1, 0.3) // buckets fill up
		calm := c.totalUnits()
		c.run(2, 120, c.rng.Float64())
		// Settled units are not the guessed ones.
		if burst := c.totalUnits() - calm; burst > 1.5*p.Burst+2*p.Rate+12 {
			t.Errorf("seed %d: %.0f units in 2 s of a quota of 6 with a burst of 30", seed, burst)
		}
		c.run(20, 30, 0.5)
		before := c.totalUnits()
		c.run(300, 30, 0.5)
		// A gateway that is asked nothing in a cycle, by chance, keeps its even part.
		if share := (c.totalUnits() - before) / (300 * p.Rate); share < 0.95 || share > 1.15 {
			t.Errorf("seed %d: %.2f of the quota forwarded", seed, share)
		}
	}
}

// warmingFleet is a few gateways with nine warm servers and one that warms up, which each learns of at a time
// of its own.
type warmingFleet struct {
	rng       *rand.Rand
	gateways  []*Gateway
	learnsAt  []Seconds // when each gateway learns of the warming server; 0: it has
	warm      []Backend
	inFlight  int       // at the warming server
	sentAt    []Seconds // to the warming server
	endings   []warmingAttempt
	requestID uint64
}

// warmingAttempt is an attempt that will end.
type warmingAttempt struct {
	at      Seconds
	gateway *Gateway
	ended   AttemptEnded
}

const (
	warmingServer    = "cold"
	warmServers      = 9
	warmServerRate   = 7.0  // requests a second that a warm server can do
	warmServerUse    = 0.95 // of it that is asked
	warmingStartedAt = 5.0  // s
	warmingShare     = 0.18 // of its capacity that the server begins with
	warmingTime      = 17.0 // s
	overloadFactor   = 3.0
	overloadFor      = 1.5 // s
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

// A server that has just started is not overloaded by all gateways together, though each learns of it at
// another time and servers are nearly full: in no 1.5 s is it sent three times what it can do then, at 0.18
// of its capacity and warm after 17 s; and it is used.
func TestWarmingServerIsNotOverloadedByAFewGateways(t *testing.T) {
	for seed := range uint64(12) {
		gateways := 2 + int(seed%3)
		f := newWarmingFleet(seed, gateways)
		f.run(24)
		for i, at := range f.sentAt {
			warmth := min(1, (at-warmingStartedAt)/warmingTime)
			can := warmServerRate * (warmingShare + (1-warmingShare)*warmth)
			n := 0
			for _, later := range f.sentAt[i:] {
				if later <= at+overloadFor {
					n++
				}
			}
			if float64(n) > overloadFactor*can*overloadFor {
				t.Fatalf(
					"seed %d: %d gateways sent %d in %v s from %.1f s on; it can do %.1f",
					seed, gateways, n, overloadFor, at, can*overloadFor,
				)
			}
		}
		if len(f.sentAt) < 5 {
			t.Errorf("seed %d: sent %d in 19 s", seed, len(f.sentAt))
		}
	}
}

// The smallest quotas of the second user, 1.2 units a second where a request counts 1 to 6, against one
// bucket that sees all, over 1,000 s in which the busy gateway's part changes every 10 s: a customer within
// its quota gets most of what that would let through, one that asks more gets the quota, and never much more.
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
					// The busy one is asked another part of it each time.
					c.run(10, tc.demand*p.Rate, c.rng.Float64())
				}
				sent, oneBucket = sent+c.totalUnits(), oneBucket+c.reference.sent
			}
			if sent < tc.minRatio*oneBucket || sent > tc.maxRatio*oneBucket {
				t.Errorf(
					"asked %.1f of the quota through %d: %.2f of what one bucket admits",
					tc.demand, gatewayCount,
					sent/oneBucket,
				)
			}
		}
	}
}

func TestRateLimitHoldsForOneGatewayAndAfterARestart(t *testing.T) {
	g := startedGateway(
		t, testSettings(), servingBackend("x"), servingBackend("y"), servingBackend("z"),
	)
	if len(actionsOf[Send](g.Handle(0, testRequest(1, "safe", "limited")))) != 0 {
		t.Error("a gateway just started spent of a rate limit it cannot know")
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
		t.Errorf("%v units in 6 s, half of the rate limit is 60", units)
	}
}

// A gateway with nothing left of its own part asks for the common one, and goes by the answer.
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

// 35% were rejected within 5 s though there was capacity (zdar-later).
func TestRateLimitOfALateCustomerHasFilled(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	r := testRequest(1, "safe", "limited")
	if len(actionsOf[Send](g.Handle(30, r))) != 1 {
		t.Error("rejected, though this gateway has spent nothing for 30 s")
	}
}
