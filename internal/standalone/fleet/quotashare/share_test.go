package quotashare

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

// ingress is one of a timeline: its book, its clock, and what becomes of it.
type ingress struct {
	name       string
	number     int
	rate       float64 // of its clock
	allocator  *Allocator
	boot       uint64
	up         bool
	stopped    float64
	counterCut bool    // its link to the counter is cut
	startedAt  float64 // of its process
	grants     map[string]QuotaGrant
	until      Seconds
}

type envelope struct {
	at       float64
	from, to int
	boot     uint64
	message  Message
}

// simulation is a timeline: members that ask at their doors, a counter, and a network that does wrong.
type simulation struct {
	ingressCount        int
	rng                 *rand.Rand
	now                 float64
	all                 []*ingress
	gateways            int
	quota               float64
	customers           []string
	first               map[string]int
	demand              map[string][]float64 // units a second at each door
	inFlight            []envelope
	partitioned         map[[2]int]bool
	loss                float64
	maxDelay            float64
	counterDown         bool               // the counter
	totals              map[string]float64 // by name
	counterSplit        bool               // each half of the ingresses sees another counter
	worst               float64            // of the sum of rights against the quota, without a counter
	unused              float64
	demandSum           float64
	messages            int
	violation           string
	withoutCounterSince float64 // since when nobody has the counter; 0: somebody has
}

func newSimulation(seed uint64, n, members, doors int) *simulation {
	f := &simulation{ingressCount: n, rng: rand.New(rand.NewPCG(seed, 9)), gateways: doors, quota: 40, first: map[string]int{}, demand: map[string][]float64{}, partitioned: map[[2]int]bool{}, totals: map[string]float64{}}
	for i := range n {
		f.all = append(f.all, &ingress{name: fmt.Sprint("n", i), number: i, rate: 0.951 + 0.098*f.rng.Float64()})
		f.start(f.all[i])
	}
	for i := range members {
		m := fmt.Sprintf("%016x", i)
		f.customers = append(f.customers, m)
		f.first[m] = f.rng.IntN(n)
		f.drawDemand(m)
	}
	return f
}

// drawDemand has a member ask for about its quota, for the most part at one door.
func (f *simulation) drawDemand(m string) {
	rates := make([]float64, f.gateways)
	all := f.quota * (0.3 + 1.2*f.rng.Float64())
	busy := f.rng.IntN(f.gateways)
	for d := range rates {
		if rates[d] = 0.15 * all / float64(f.gateways-1); d == busy {
			rates[d] = 0.85 * all
		}
	}
	f.demand[m] = rates
}

func (f *simulation) local(i *ingress) float64 { return 1000*float64(i.number) + f.now*i.rate }

func (f *simulation) start(i *ingress) {
	i.boot++
	i.up, i.stopped, i.grants, i.startedAt = true, 0, nil, f.now
	i.allocator = New(f.local(i), Options{Name: i.name, Zone: fmt.Sprint("z", i.number%3), Ingresses: f.ingressCount, Incarnation: Incarnation{Boot: i.boot, Nonce: f.rng.Uint64()}, HasCounter: true})
}

func (f *simulation) gateway(m string, d int) *ingress { return f.all[(f.first[m]+d)%len(f.all)] }

func (f *simulation) execute(i *ingress, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendMessage:
			f.messages++
			var to int
			if _, err := fmt.Sscanf(a.To, "n%d", &to); err != nil || f.partitioned[[2]int{i.number, to}] || f.rng.Float64() < f.loss {
				continue
			}
			for range 1 + f.rng.IntN(2) {
				f.inFlight = append(f.inFlight, envelope{f.now + 0.001 + f.maxDelay*f.rng.Float64()*f.rng.Float64(), i.number, to, f.all[to].boot, a.Message})
			}
		case SetGrants:
			i.until, i.grants = a.Until, map[string]QuotaGrant{}
			for _, r := range a.Grants {
				i.grants[r.Customer] = r
			}
		}
	}
}

// callCounter is a call of the counter: an add and its answer.
func (f *simulation) callCounter(i *ingress, name string, amount float64) {
	i.allocator.Step(f.local(i), CounterCall{name, amount, 9})
	half := ""
	if f.counterSplit && i.number%2 == 1 {
		half = "other "
	}
	if f.counterDown || i.counterCut {
		f.execute(i, i.allocator.Step(f.local(i), CounterAnswer{Name: name}))
		return
	}
	f.totals[half+name] += amount
	f.execute(i, i.allocator.Step(f.local(i), CounterAnswer{name, true, true, f.totals[half+name]}))
}

// step lets a tenth of a second pass.
func (f *simulation) step() {
	f.now += 0.1
	names, living := map[int]string{}, []string{}
	for _, i := range f.all {
		names[i.number] = i.name
		if i.up {
			living = append(living, i.name)
		}
	}
	for _, m := range f.customers {
		for d, rate := range f.demand[m] {
			i := f.gateway(m, d)
			if !i.up || f.now < i.stopped || rate == 0 {
				continue
			}
			i.allocator.Step(f.local(i), Demand{m, f.first[m], f.gateways, f.quota, rate / 10})
			if int(f.now*10)%20 == d {
				f.callCounter(i, fmt.Sprintf("%s/%d", m, int(f.now/2)), 1+rate)
			}
		}
	}
	slices.SortStableFunc(f.inFlight, func(a, b envelope) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	n := 0
	for ; n < len(f.inFlight) && f.inFlight[n].at <= f.now; n++ {
		p := f.inFlight[n]
		if to := f.all[p.to]; to.up && f.now >= to.stopped && to.boot == p.boot {
			f.execute(to, to.allocator.Step(f.local(to), Received{f.all[p.from].name, p.message}))
		}
	}
	f.inFlight = f.inFlight[n:]
	for _, i := range f.all {
		if i.up && f.now >= i.stopped {
			others := slices.DeleteFunc(slices.Clone(living), func(n string) bool { return n == i.name })
			f.execute(i, i.allocator.Step(f.local(i), Tick{Ingresses: names, AlivePeers: others, ServerCount: 9}))
		}
	}
	f.checkInvariant()
}

// usable is what a door may use of a member's quota at this moment, as it believes itself; also one that has just woken.
func (f *simulation) usable(i *ingress, m string) float64 {
	r, held := i.grants[m]
	if !held || !i.up || r.Scaled {
		return 0
	}
	if f.local(i) > i.until {
		return r.Keep
	}
	return r.Rate
}

// checkInvariant holds the rights of all doors against the quota, while nobody has the counter.
func (f *simulation) checkInvariant() {
	sound := f.counterSplit
	for _, i := range f.all {
		if s, _ := i.allocator.CounterTrusted(); i.up && f.now >= i.stopped && s {
			sound = true
		}
	}
	if sound {
		f.withoutCounterSince = 0
		return
	}
	if f.withoutCounterSince == 0 {
		f.withoutCounterSince = f.now
	}
	for _, m := range f.customers {
		sum, serves, wants := 0.0, 0.0, 0.0
		for d := range f.gateways {
			i := f.gateway(m, d)
			x := f.usable(i, m)
			sum += x
			if i.up && f.now >= i.stopped {
				serves += min(x, f.demand[m][d])
				wants += f.demand[m][d]
			}
		}
		if f.worst = max(f.worst, sum/f.quota); sum > f.quota*(1+1e-9) && f.violation == "" {
			f.violation = fmt.Sprintf("%.1f s: doors of %s have %.3f of its quota", f.now, m, sum/f.quota)
		}
		if f.now > f.withoutCounterSince+10 {
			f.demandSum += min(wants, f.quota)
			f.unused += max(0, min(wants, f.quota)-serves)
		}
	}
}

// runScenario is a timeline of faults while nobody has the counter.
func runScenario(seed uint64) *simulation {
	f := newSimulation(seed, 4+int(seed%3)*2, 6, 2+int(seed%3))
	for f.now < 60 {
		if f.now > 5 {
			f.counterDown = true
		}
		if f.rng.Float64() < 0.06 && f.now > 6 {
			i := f.all[f.rng.IntN(len(f.all))]
			switch f.rng.IntN(10) {
			case 0:
				f.loss = []float64{0, 0.3, 0.6}[f.rng.IntN(3)]
			case 1:
				f.maxDelay = []float64{0, 0.2, 5}[f.rng.IntN(3)]
			case 2:
				f.partitioned[[2]int{i.number, f.rng.IntN(len(f.all))}] = true
			case 3:
				clear(f.partitioned)
			case 4:
				i.stopped = f.now + 10*f.rng.Float64()
			case 5:
				if i.up = false; f.rng.IntN(2) == 0 { // and back at once, with nothing
					f.start(i)
				}
			case 6:
				for _, i := range f.all {
					if !i.up {
						f.start(i)
					}
				}
			default:
				f.drawDemand(f.customers[f.rng.IntN(len(f.customers))])
			}
		}
		f.step()
	}
	return f
}

func TestGrantsStayWithinQuota(t *testing.T) {
	seeds := uint64(40)
	if os.Getenv("MULLEIN_LONG") != "" {
		seeds = 1000
	}
	worst, unused, asked := 0.0, 0.0, 0.0
	for seed := range seeds {
		f := runScenario(seed)
		if f.violation != "" {
			t.Fatalf("seed %d: %s", seed, f.violation)
		}
		worst, unused, asked = max(worst, f.worst), unused+f.unused, asked+f.demandSum
	}
	t.Logf("%d timelines: the doors of a member have at most %.4f of its quota; of what was inside it %.1f%% was not to be had", seeds, worst, 100*unused/asked)
	if worst == 0 {
		t.Error("nothing was looked at")
	}
}

// checkRules are those of health and votes.
func checkRules() string {
	// A total below what is known to be in a name: the counter came back empty, or half of the doors see another one.
	b := New(0, Options{Name: "n0", Zone: "a", Ingresses: 2, Incarnation: Incarnation{1, 1}, HasCounter: true})
	total := func(now Seconds, name string, amount, total float64) {
		b.Step(now, CounterCall{name, amount, 9})
		b.Step(now+0.01, CounterAnswer{name, true, true, total})
	}
	total(1, "m/1", 5, 5)
	total(1.2, "m/1", 0, 12)
	if sound, why := b.CounterTrusted(); !sound {
		return "a counter that others add to is doubted: " + why
	}
	// What another door says it has added by the time of a call must be in its total; what is heard while the call is out need not.
	b.Step(1.3, CounterCall{"m/1", 0, 9})
	b.Step(1.31, Received{"n1", Message{Incarnation: [2]uint64{1, 1}, Seq: 1, CounterTrusted: true, Customers: []CustomerReport{{Customer: "m", Totals: []CounterTotal{{"m/1", 20}}}}}})
	b.Step(1.32, CounterAnswer{"m/1", true, true, 12})
	if sound, why := b.CounterTrusted(); !sound {
		return "an answer that may have been on its way is doubted: " + why
	}
	total(1.4, "m/1", 0, 12)
	if sound, _ := b.CounterTrusted(); sound && !mutated("totals-believed") || sound && mutated("totals-believed") {
		return "a total without what another door has added is believed"
	}
	for now := Seconds(2); now < 20; now += 0.5 {
		total(now, fmt.Sprint("m/", now), 1, 1)
		b.Step(now, Tick{})
	}
	if sound, why := b.CounterTrusted(); !sound {
		return "it is not trusted again: " + why
	}
	// Votes: one voter is none, however often it says so; three of two zones are heard; a crowd of warnings is cut.
	vote := func(from, zone string, seq uint64, bad ...string) {
		b.Step(20, Received{from, Message{Incarnation: [2]uint64{9, 1}, Seq: seq, Zone: zone, UnhealthyServers: bad, ServerCount: 9}})
	}
	vote("n1", "a", 2, "s1", "s1", "s1")
	vote("n2", "b", 1)
	vote("n3", "b", 1)
	b.Step(20, Tick{ServerCount: 9})
	if len(b.WarnedServers()) > 0 {
		return fmt.Sprintf("one voter is enough against %v", b.WarnedServers())
	}
	vote("n2", "b", 2, "s1", "s2", "s3")
	vote("n3", "b", 2, "s1", "s2", "s3")
	vote("n4", "b", 1, "s4", "s2", "s3")
	vote("n5", "b", 1, "s4", "s2", "s5")
	vote("n6", "c", 1, "s4", "s5", "s2")
	vote("n7", "c", 1, "s4", "s5", "s3")
	vote("liar", "c", 1, "s1", "s2", "s3", "s4", "s5", "s6", "s7")
	b.Step(20, Tick{ServerCount: 9})
	if got := fmt.Sprint(b.WarnedServers()); got != "[s2 s3 s4]" {
		return "warned of " + got
	}
	b.Step(27, Tick{ServerCount: 9})
	if len(b.WarnedServers()) > 0 {
		return "votes last for ever"
	}
	return ""
}

func TestCounterHealthAndVotes(t *testing.T) {
	if text := checkRules(); text != "" {
		t.Error(text)
	}
}

// What is to be had of quotas without the counter, by fault and size. MULLEIN_LONG=1 has 4, 16, 80 and 300 ingresses, the last two with 10,000 members.
func TestQuotaUseWithoutCounter(t *testing.T) {
	type size struct{ ingresses, members int }
	sizes := []size{{4, 20}}
	if os.Getenv("MULLEIN_LONG") != "" {
		sizes = []size{{4, 40}, {16, 160}, {80, 10000}, {300, 10000}}
	}
	for _, row := range []struct {
		name   string
		fault  func(f *simulation)
		unused float64 // of what is asked inside the quota, at the most
	}{
		{"the counter is gone", func(*simulation) {}, 0.03},
		{"and busy doors change twice", func(f *simulation) {
			if f.now > 20 && f.now < 20.15 || f.now > 30 && f.now < 30.15 {
				for _, m := range f.customers {
					f.drawDemand(m)
				}
			}
		}, 0.13},
		{"and 30% of the words are lost", func(f *simulation) { f.loss = 0.3 }, 0.05},
		{"and a quarter of the ingresses is killed", func(f *simulation) {
			for _, i := range f.all {
				if i.number%4 == 0 && f.now > 15 {
					i.up = false
				}
			}
		}, 0.35},
		{"and the ingresses are cut in halves", func(f *simulation) {
			if f.now > 15 && len(f.partitioned) == 0 {
				for i := range f.all {
					for j := range f.all {
						if i%2 != j%2 {
							f.partitioned[[2]int{i, j}] = true
						}
					}
				}
			}
		}, 0.5},
		{"and all are alone", func(f *simulation) { f.loss = 1 }, 0.6},
	} {
		for _, s := range sizes {
			if s.ingresses > 16 && row.name != "the counter is gone" && row.name != "and a quarter of the ingresses is killed" {
				continue // half an hour each
			}
			f := newSimulation(3, s.ingresses, s.members, 3)
			back := 0.0
			for f.now < 50 {
				if f.counterDown = f.now > 5 && f.now < 40; f.now > 40 && back == 0 && f.withoutCounterSince == 0 {
					back = f.now - 40
				}
				row.fault(f)
				f.step()
			}
			unused := f.unused / max(1, f.demandSum)
			t.Logf("%-40s %3d ingresses, %5d members: at most %.3f of a quota, %4.1f%% of what was inside not to be had, trusted again %.1f s behind its return, %.0f words a second and ingress",
				row.name, s.ingresses, s.members, f.worst, 100*unused, back, float64(f.messages)/50/float64(s.ingresses))
			if f.violation != "" || unused > row.unused || f.demandSum == 0 || back == 0 {
				t.Errorf("%s: %s, unused %.3f, back after %.1f s", row.name, f.violation, unused, back)
			}
		}
	}
}
