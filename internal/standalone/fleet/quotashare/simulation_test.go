package quotashare

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"mulleinrouter/internal/standalone/fleet/membership"
)

const (
	simulationStep   = 0.1  // length of a step, seconds
	simulatedQuota   = 40.0 // quota of each customer, units a second
	simulatedServers = 9    // servers in each endpoint list
	simulatedTTL     = 9    // TTL of the counter's names, seconds
	quotaTolerance   = 1e-9 // fraction by which grants may exceed a quota, for rounding
	settleTime       = 10.0 // seconds without the counter until the use of quotas is measured
	counterDownFrom  = 5.0  // start of the counter's outage, seconds
)

// ingress is one gateway of a simulation.
type ingress struct {
	name               string
	number             int     // index in the fleet
	clockRate          float64 // seconds of its clock per simulated second, within MaxClockDrift of 1
	allocator          *Allocator
	boot               uint64
	up                 bool
	suspendedUntil     float64 // simulated time, seconds
	counterUnreachable bool    // whether its link to the counter is partitioned
	startedAt          float64
	grants             map[string]QuotaGrant
	grantsUntil        Seconds // end of the grants by its own clock
}

// envelope is a message in flight.
type envelope struct {
	at      float64 // arrival, simulated time in seconds
	from    int
	to      int
	boot    uint64 // boot number of the receiver when the message was sent
	message Message
}

// link is one direction of the connection between two ingresses.
type link struct{ from, to int }

// simulation is a fleet with customers that send requests, a counter, and a faulty network.
type simulation struct {
	rng       *rand.Rand
	now       float64
	ingresses []*ingress
	gateways  int // number of gateways of each customer

	customers    []string
	firstGateway map[string]int
	demand       map[string][]float64 // units a second at each gateway

	inFlight    []envelope
	partitioned map[link]bool
	loss        float64 // fraction of messages that are lost
	maxDelay    float64 // seconds
	messages    int     // number of messages sent

	counterDown  bool
	counterSplit bool               // whether the ingresses with odd numbers use a second counter
	totals       map[string]float64 // totals of the counter by name

	violation           string  // first violation of the invariant; empty if there is none
	withoutCounterSince float64 // time since when no ingress trusts the counter; 0 if one does
	maxQuotaFraction    float64 // greatest sum of a customer's grants without the counter, as a fraction of its quota
	ungranted           float64 // demand within the quota that was not granted without the counter
	demandSum           float64 // demand within the quota, without the counter
}

func newSimulation(seed uint64, ingresses, customers, gateways int) *simulation {
	s := &simulation{
		rng:          rand.New(rand.NewPCG(seed, 9)),
		ingresses:    make([]*ingress, ingresses),
		gateways:     gateways,
		firstGateway: map[string]int{},
		demand:       map[string][]float64{},
		partitioned:  map[link]bool{},
		totals:       map[string]float64{},
	}
	for i := range ingresses {
		s.ingresses[i] = &ingress{
			name:      fmt.Sprint("n", i),
			number:    i,
			clockRate: 0.951 + 0.098*s.rng.Float64(),
		}
		s.start(s.ingresses[i])
	}
	for i := range customers {
		name := fmt.Sprintf("%016x", i)
		s.customers = append(s.customers, name)
		s.firstGateway[name] = s.rng.IntN(ingresses)
		s.randomizeDemand(name)
	}
	return s
}

// randomizeDemand draws a demand of 0.3 to 1.5 times the quota for a customer, most of it at one gateway.
func (s *simulation) randomizeDemand(customer string) {
	rates := make([]float64, s.gateways)
	total := simulatedQuota * (0.3 + 1.2*s.rng.Float64())
	busy := s.rng.IntN(s.gateways)
	for g := range rates {
		rates[g] = 0.15 * total / float64(s.gateways-1)
		if g == busy {
			rates[g] = 0.85 * total
		}
	}
	s.demand[customer] = rates
}

// clock returns the current time by an ingress's own clock.
func (s *simulation) clock(i *ingress) Seconds { return 1000*float64(i.number) + s.now*i.clockRate }

func (s *simulation) start(i *ingress) {
	i.boot++
	i.up = true
	i.suspendedUntil = 0
	i.grants = nil
	i.startedAt = s.now
	i.allocator = New(s.clock(i), Options{
		Name:        i.name,
		Zone:        fmt.Sprint("z", i.number%3),
		Ingresses:   len(s.ingresses),
		Incarnation: membership.Incarnation{Boot: i.boot, Nonce: s.rng.Uint64()},
		HasCounter:  true,
	})
}

// isRunning reports whether an ingress is neither killed nor suspended.
func (s *simulation) isRunning(i *ingress) bool { return i.up && s.now >= i.suspendedUntil }

func (s *simulation) gateway(customer string, g int) *ingress {
	return s.ingresses[(s.firstGateway[customer]+g)%len(s.ingresses)]
}

func (s *simulation) execute(i *ingress, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendMessage:
			s.send(i, a)
		case SetGrants:
			i.grantsUntil = a.Until
			i.grants = map[string]QuotaGrant{}
			for _, g := range a.Grants {
				i.grants[g.Customer] = g
			}
		}
	}
}

// send puts a message on the network, which may lose, duplicate and delay it.
func (s *simulation) send(from *ingress, a SendMessage) {
	s.messages++
	var to int
	_, err := fmt.Sscanf(a.To, "n%d", &to)
	if err != nil || s.partitioned[link{from.number, to}] || s.rng.Float64() < s.loss {
		return
	}
	for range 1 + s.rng.IntN(2) {
		s.inFlight = append(s.inFlight, envelope{
			at:      s.now + 0.001 + s.maxDelay*s.rng.Float64()*s.rng.Float64(),
			from:    from.number,
			to:      to,
			boot:    s.ingresses[to].boot,
			message: a.Message,
		})
	}
}

// deliver delivers the messages that are due to the ingresses that are still running.
func (s *simulation) deliver() {
	slices.SortStableFunc(s.inFlight, func(a, b envelope) int { return cmp.Compare(a.at, b.at) })
	due := 0
	for ; due < len(s.inFlight) && s.inFlight[due].at <= s.now; due++ {
		e := s.inFlight[due]
		if to := s.ingresses[e.to]; s.isRunning(to) && to.boot == e.boot {
			received := Received{From: s.ingresses[e.from].name, Message: e.message}
			s.execute(to, to.allocator.Step(s.clock(to), received))
		}
	}
	s.inFlight = s.inFlight[due:]
}

// callCounter adds an amount to a name of the counter, and passes the answer to the ingress.
func (s *simulation) callCounter(i *ingress, name string, amount float64) {
	i.allocator.Step(s.clock(i), CounterCall{Name: name, Amount: amount, TTL: simulatedTTL})
	if s.counterDown || i.counterUnreachable {
		s.execute(i, i.allocator.Step(s.clock(i), CounterAnswer{Name: name}))
		return
	}
	key := name
	if s.counterSplit && i.number%2 == 1 {
		key = "other " + name
	}
	s.totals[key] += amount
	s.execute(i, i.allocator.Step(s.clock(i), CounterAnswer{
		Name:     name,
		Answered: true,
		HasTotal: true,
		Total:    s.totals[key],
	}))
}

// sendRequests simulates one step of the customers' requests. The gateways add to the counter every two seconds.
func (s *simulation) sendRequests() {
	for _, name := range s.customers {
		for g, rate := range s.demand[name] {
			i := s.gateway(name, g)
			if !s.isRunning(i) || rate == 0 {
				continue
			}
			i.allocator.Step(s.clock(i), Demand{
				Customer:     name,
				FirstGateway: s.firstGateway[name],
				Gateways:     s.gateways,
				Quota:        simulatedQuota,
				Units:        rate / 10,
			})
			if int(s.now*10)%20 == g {
				s.callCounter(i, fmt.Sprintf("%s/%d", name, int(s.now/2)), 1+rate)
			}
		}
	}
}

// step advances the simulation by simulationStep.
func (s *simulation) step() {
	s.now += simulationStep
	names, alive := map[int]string{}, []string{}
	for _, i := range s.ingresses {
		names[i.number] = i.name
		if i.up {
			alive = append(alive, i.name)
		}
	}
	s.sendRequests()
	s.deliver()
	for _, i := range s.ingresses {
		if !s.isRunning(i) {
			continue
		}
		peers := slices.DeleteFunc(slices.Clone(alive), func(name string) bool { return name == i.name })
		tick := Tick{Ingresses: names, AlivePeers: peers, ServerCount: simulatedServers}
		s.execute(i, i.allocator.Step(s.clock(i), tick))
	}
	s.checkInvariant()
}

// usable returns the part of a customer's quota that an ingress may use by its own clock, in units a second. It also
// counts a suspended ingress, because that could use its grants as soon as it resumes.
func (s *simulation) usable(i *ingress, customer string) float64 {
	g, known := i.grants[customer]
	if !known || !i.up || g.Scaled {
		return 0
	}
	if s.clock(i) > i.grantsUntil {
		return g.Reserved
	}
	return g.Rate
}

func (s *simulation) isCounterTrusted() bool {
	if s.counterSplit {
		return true
	}
	return slices.ContainsFunc(s.ingresses, func(i *ingress) bool {
		trusted, _ := i.allocator.CounterTrusted()
		return s.isRunning(i) && trusted
	})
}

// checkInvariant checks that the grants of each customer don't exceed its quota, while no ingress trusts the counter.
// It also measures how much of the demand is granted.
func (s *simulation) checkInvariant() {
	if s.isCounterTrusted() {
		s.withoutCounterSince = 0
		return
	}
	if s.withoutCounterSince == 0 {
		s.withoutCounterSince = s.now
	}
	for _, name := range s.customers {
		granted, used, demand := 0.0, 0.0, 0.0
		for g := range s.gateways {
			i := s.gateway(name, g)
			usable := s.usable(i, name)
			granted += usable
			if s.isRunning(i) {
				used += min(usable, s.demand[name][g])
				demand += s.demand[name][g]
			}
		}
		s.maxQuotaFraction = max(s.maxQuotaFraction, granted/simulatedQuota)
		if granted > simulatedQuota*(1+quotaTolerance) && s.violation == "" {
			s.violation = fmt.Sprintf("%.1f s: gateways of %s have %.3f of its quota",
				s.now, name, granted/simulatedQuota)
		}
		if s.now > s.withoutCounterSince+settleTime {
			s.demandSum += min(demand, simulatedQuota)
			s.ungranted += max(0, min(demand, simulatedQuota)-used)
		}
	}
}

// injectFault injects a random fault or ends one, or changes the demand of a customer.
func (s *simulation) injectFault() {
	i := s.ingresses[s.rng.IntN(len(s.ingresses))]
	switch s.rng.IntN(10) {
	case 0:
		s.loss = []float64{0, 0.3, 0.6}[s.rng.IntN(3)]
	case 1:
		s.maxDelay = []float64{0, 0.2, 5}[s.rng.IntN(3)]
	case 2:
		s.partitioned[link{i.number, s.rng.IntN(len(s.ingresses))}] = true
	case 3:
		clear(s.partitioned)
	case 4:
		i.suspendedUntil = s.now + 10*s.rng.Float64()
	case 5:
		i.up = false
		if s.rng.IntN(2) == 0 { // restarted at once, without state
			s.start(i)
		}
	case 6:
		for _, i := range s.ingresses {
			if !i.up {
				s.start(i)
			}
		}
	default:
		s.randomizeDemand(s.customers[s.rng.IntN(len(s.customers))])
	}
}

// runScenario runs a minute of random faults in which the counter fails after counterDownFrom.
func runScenario(seed uint64) *simulation {
	s := newSimulation(seed, 4+int(seed%3)*2, 6, 2+int(seed%3))
	for s.now < 60 {
		if s.now > counterDownFrom {
			s.counterDown = true
		}
		if s.rng.Float64() < 0.06 && s.now > counterDownFrom+1 {
			s.injectFault()
		}
		s.step()
	}
	return s
}

// longRun reports whether the long variants of the tests are enabled.
func longRun() bool { return os.Getenv("MULLEIN_LONG") != "" }

// TestGrantsStayWithinQuota checks in random scenarios that the grants of a customer's gateways together never exceed
// its quota while no ingress trusts the counter. Otherwise the parts of a partitioned fleet could together admit more
// than the quota.
func TestGrantsStayWithinQuota(t *testing.T) {
	seeds := uint64(40)
	if longRun() {
		seeds = 1000
	}
	maxFraction, unused, demand := 0.0, 0.0, 0.0
	for seed := range seeds {
		s := runScenario(seed)
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		maxFraction = max(maxFraction, s.maxQuotaFraction)
		unused += s.ungranted
		demand += s.demandSum
	}
	t.Logf("%d scenarios: the gateways of a customer have at most %.4f of its quota; "+
		"%.1f%% of the demand within it was not granted",
		seeds, maxFraction, 100*unused/demand)
	if maxFraction == 0 {
		t.Error("no scenario ran without the counter")
	}
}

// TestQuotaUseWithoutCounter checks how much of the demand is granted without the counter, for several faults and sizes
// of the fleet. With MULLEIN_LONG=1 it runs 4, 16, 80 and 300 ingresses, the last two with 10,000 customers.
func TestQuotaUseWithoutCounter(t *testing.T) {
	type size struct{ ingresses, customers int }
	sizes := []size{{4, 20}}
	if longRun() {
		sizes = []size{{4, 40}, {16, 160}, {80, 10000}, {300, 10000}}
	}
	for _, tc := range []struct {
		name      string
		fault     func(s *simulation)
		maxUnused float64 // fraction of the demand within the quota
		large     bool    // also run with the large sizes, which take half an hour each
	}{
		{"the counter is down", func(*simulation) {}, 0.03, true},
		{"busy gateways change twice", func(s *simulation) {
			if s.now > 20 && s.now < 20.15 || s.now > 30 && s.now < 30.15 {
				for _, name := range s.customers {
					s.randomizeDemand(name)
				}
			}
		}, 0.13, false},
		{"30% of the messages are lost", func(s *simulation) { s.loss = 0.3 }, 0.05, false},
		{"a quarter of the ingresses is killed", func(s *simulation) {
			for _, i := range s.ingresses {
				if i.number%4 == 0 && s.now > 15 {
					i.up = false
				}
			}
		}, 0.35, true},
		{"the ingresses are partitioned into halves", func(s *simulation) {
			if s.now > 15 && len(s.partitioned) == 0 {
				s.partitionHalves()
			}
		}, 0.5, false},
		{"all ingresses are isolated", func(s *simulation) { s.loss = 1 }, 0.6, false},
	} {
		for _, size := range sizes {
			if size.ingresses > 16 && !tc.large {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d ingresses", tc.name, size.ingresses), func(t *testing.T) {
				s := newSimulation(3, size.ingresses, size.customers, 3)
				trustedAfter := runOutage(s, tc.fault)
				unused := s.ungranted / max(1, s.demandSum)
				messages := float64(s.messages) / s.now / float64(size.ingresses)
				t.Logf("at most %.3f of a quota, %4.1f%% of the demand not granted, "+
					"counter trusted %.1f s after its return, %.0f messages a second and ingress",
					s.maxQuotaFraction, 100*unused, trustedAfter, messages)
				if s.violation != "" || unused > tc.maxUnused || s.demandSum == 0 || trustedAfter == 0 {
					t.Errorf("violation %q, unused %.3f (want at most %.3f), trusted after %.1f s",
						s.violation, unused, tc.maxUnused, trustedAfter)
				}
			})
		}
	}
}

// partitionHalves cuts all links between ingresses with even and odd numbers.
func (s *simulation) partitionHalves() {
	for i := range s.ingresses {
		for j := range s.ingresses {
			if i%2 != j%2 {
				s.partitioned[link{i, j}] = true
			}
		}
	}
}

// runOutage simulates 50 s, with the counter down for 35 s of them. It returns the time from the end of the outage
// until the counter was trusted again, in seconds; 0 if it was not.
func runOutage(s *simulation, fault func(s *simulation)) (trustedAfter float64) {
	const counterDownUntil, end = 40.0, 50.0
	for s.now < end {
		s.counterDown = s.now > counterDownFrom && s.now < counterDownUntil
		if s.now > counterDownUntil && trustedAfter == 0 && s.withoutCounterSince == 0 {
			trustedAfter = s.now - counterDownUntil
		}
		fault(s)
		s.step()
	}
	return trustedAfter
}
