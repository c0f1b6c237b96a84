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
	name    string
	number  int
	rate    float64 // of its clock
	book    *Book
	boot    uint64
	up      bool
	stopped float64
	deaf    bool    // its link to the counter is cut
	since   float64 // of its process
	rights  map[string]Right
	until   Seconds
}

type packet struct {
	at       float64
	from, to int
	boot     uint64
	w        Word
}

// fleet is a timeline: members that ask at their doors, a counter, and a network that does wrong.
type fleet struct {
	n       int
	rng     *rand.Rand
	now     float64
	all     []*ingress
	doors   int
	quota   float64
	members []string
	first   map[string]int
	ask     map[string][]float64 // units a second at each door
	out     []packet
	cut     map[[2]int]bool
	loss    float64
	late    float64
	dead    bool               // the counter
	totals  map[string]float64 // by name
	halves  bool               // each half of the ingresses sees another counter
	worst   float64            // of the sum of rights against the quota, without a counter
	unused  float64
	asked   float64
	words   int
	broken  string
	unsound float64 // since when nobody has the counter; 0: somebody has
}

func newFleet(seed uint64, n, members, doors int) *fleet {
	f := &fleet{n: n, rng: rand.New(rand.NewPCG(seed, 9)), doors: doors, quota: 40, first: map[string]int{}, ask: map[string][]float64{}, cut: map[[2]int]bool{}, totals: map[string]float64{}}
	for i := range n {
		f.all = append(f.all, &ingress{name: fmt.Sprint("n", i), number: i, rate: 0.951 + 0.098*f.rng.Float64()})
		f.start(f.all[i])
	}
	for i := range members {
		m := fmt.Sprintf("%016x", i)
		f.members = append(f.members, m)
		f.first[m] = f.rng.IntN(n)
		f.load(m)
	}
	return f
}

// load has a member ask for about its quota, for the most part at one door.
func (f *fleet) load(m string) {
	rates := make([]float64, f.doors)
	all := f.quota * (0.3 + 1.2*f.rng.Float64())
	busy := f.rng.IntN(f.doors)
	for d := range rates {
		if rates[d] = 0.15 * all / float64(f.doors-1); d == busy {
			rates[d] = 0.85 * all
		}
	}
	f.ask[m] = rates
}

func (f *fleet) local(i *ingress) float64 { return 1000*float64(i.number) + f.now*i.rate }

func (f *fleet) start(i *ingress) {
	i.boot++
	i.up, i.stopped, i.rights, i.since = true, 0, nil, f.now
	i.book = New(f.local(i), Options{Name: i.name, Zone: fmt.Sprint("z", i.number%3), Fleet: f.n, Claim: Claim{Boot: i.boot, Nonce: f.rng.Uint64()}, Counter: true})
}

func (f *fleet) door(m string, d int) *ingress { return f.all[(f.first[m]+d)%len(f.all)] }

func (f *fleet) carry(i *ingress, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Say:
			f.words++
			var to int
			if _, err := fmt.Sscanf(a.To, "n%d", &to); err != nil || f.cut[[2]int{i.number, to}] || f.rng.Float64() < f.loss {
				continue
			}
			for range 1 + f.rng.IntN(2) {
				f.out = append(f.out, packet{f.now + 0.001 + f.late*f.rng.Float64()*f.rng.Float64(), i.number, to, f.all[to].boot, a.Word})
			}
		case Hold:
			i.until, i.rights = a.Until, map[string]Right{}
			for _, r := range a.Rights {
				i.rights[r.Member] = r
			}
		}
	}
}

// count is a call of the counter: an add and its answer.
func (f *fleet) count(i *ingress, name string, amount float64) {
	i.book.Step(f.local(i), Adding{name, amount, 9})
	half := ""
	if f.halves && i.number%2 == 1 {
		half = "other "
	}
	if f.dead || i.deaf {
		f.carry(i, i.book.Step(f.local(i), Counted{Name: name}))
		return
	}
	f.totals[half+name] += amount
	f.carry(i, i.book.Step(f.local(i), Counted{name, true, true, f.totals[half+name]}))
}

// step lets a tenth of a second pass.
func (f *fleet) step() {
	f.now += 0.1
	names, living := map[int]string{}, []string{}
	for _, i := range f.all {
		names[i.number] = i.name
		if i.up {
			living = append(living, i.name)
		}
	}
	for _, m := range f.members {
		for d, rate := range f.ask[m] {
			i := f.door(m, d)
			if !i.up || f.now < i.stopped || rate == 0 {
				continue
			}
			i.book.Step(f.local(i), Asked{m, f.first[m], f.doors, f.quota, rate / 10})
			if int(f.now*10)%20 == d {
				f.count(i, fmt.Sprintf("%s/%d", m, int(f.now/2)), 1+rate)
			}
		}
	}
	slices.SortStableFunc(f.out, func(a, b packet) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	n := 0
	for ; n < len(f.out) && f.out[n].at <= f.now; n++ {
		p := f.out[n]
		if to := f.all[p.to]; to.up && f.now >= to.stopped && to.boot == p.boot {
			f.carry(to, to.book.Step(f.local(to), Heard{f.all[p.from].name, p.w}))
		}
	}
	f.out = f.out[n:]
	for _, i := range f.all {
		if i.up && f.now >= i.stopped {
			others := slices.DeleteFunc(slices.Clone(living), func(n string) bool { return n == i.name })
			f.carry(i, i.book.Step(f.local(i), Tick{Doors: names, Living: others, Listed: 9}))
		}
	}
	f.look()
}

// has is what a door may use of a member's quota at this moment, as it believes itself; also one that has just woken.
func (f *fleet) has(i *ingress, m string) float64 {
	r, held := i.rights[m]
	if !held || !i.up || r.Scaled {
		return 0
	}
	if f.local(i) > i.until {
		return r.Keep
	}
	return r.Rate
}

// look holds the rights of all doors against the quota, while nobody has the counter.
func (f *fleet) look() {
	sound := f.halves
	for _, i := range f.all {
		if s, _ := i.book.Sound(); i.up && f.now >= i.stopped && s {
			sound = true
		}
	}
	if sound {
		f.unsound = 0
		return
	}
	if f.unsound == 0 {
		f.unsound = f.now
	}
	for _, m := range f.members {
		sum, serves, wants := 0.0, 0.0, 0.0
		for d := range f.doors {
			i := f.door(m, d)
			x := f.has(i, m)
			sum += x
			if i.up && f.now >= i.stopped {
				serves += min(x, f.ask[m][d])
				wants += f.ask[m][d]
			}
		}
		if f.worst = max(f.worst, sum/f.quota); sum > f.quota*(1+1e-9) && f.broken == "" {
			f.broken = fmt.Sprintf("%.1f s: doors of %s have %.3f of its quota", f.now, m, sum/f.quota)
		}
		if f.now > f.unsound+10 {
			f.asked += min(wants, f.quota)
			f.unused += max(0, min(wants, f.quota)-serves)
		}
	}
}

// play is a timeline of faults while nobody has the counter.
func play(seed uint64) *fleet {
	f := newFleet(seed, 4+int(seed%3)*2, 6, 2+int(seed%3))
	for f.now < 60 {
		if f.now > 5 {
			f.dead = true
		}
		if f.rng.Float64() < 0.06 && f.now > 6 {
			i := f.all[f.rng.IntN(len(f.all))]
			switch f.rng.IntN(10) {
			case 0:
				f.loss = []float64{0, 0.3, 0.6}[f.rng.IntN(3)]
			case 1:
				f.late = []float64{0, 0.2, 5}[f.rng.IntN(3)]
			case 2:
				f.cut[[2]int{i.number, f.rng.IntN(len(f.all))}] = true
			case 3:
				clear(f.cut)
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
				f.load(f.members[f.rng.IntN(len(f.members))])
			}
		}
		f.step()
	}
	return f
}

func TestRights(t *testing.T) {
	seeds := uint64(40)
	if os.Getenv("MULLEIN_LONG") != "" {
		seeds = 1000
	}
	worst, unused, asked := 0.0, 0.0, 0.0
	for seed := range seeds {
		f := play(seed)
		if f.broken != "" {
			t.Fatalf("seed %d: %s", seed, f.broken)
		}
		worst, unused, asked = max(worst, f.worst), unused+f.unused, asked+f.asked
	}
	t.Logf("%d timelines: the doors of a member have at most %.4f of its quota; of what was inside it %.1f%% was not to be had", seeds, worst, 100*unused/asked)
	if worst == 0 {
		t.Error("nothing was looked at")
	}
}

// rules are those of health and votes.
func rules() string {
	// A total below what is known to be in a name: the counter came back empty, or half of the doors see another one.
	b := New(0, Options{Name: "n0", Zone: "a", Fleet: 2, Claim: Claim{1, 1}, Counter: true})
	total := func(now Seconds, name string, amount, total float64) {
		b.Step(now, Adding{name, amount, 9})
		b.Step(now+0.01, Counted{name, true, true, total})
	}
	total(1, "m/1", 5, 5)
	total(1.2, "m/1", 0, 12)
	if sound, why := b.Sound(); !sound {
		return "a counter that others add to is doubted: " + why
	}
	// What another door says it has added by the time of a call must be in its total; what is heard while the call is out need not.
	b.Step(1.3, Adding{"m/1", 0, 9})
	b.Step(1.31, Heard{"n1", Word{Claim: [2]uint64{1, 1}, Seq: 1, Sound: true, Lines: []Line{{Member: "m", Sums: []Sum{{"m/1", 20}}}}}})
	b.Step(1.32, Counted{"m/1", true, true, 12})
	if sound, why := b.Sound(); !sound {
		return "an answer that may have been on its way is doubted: " + why
	}
	total(1.4, "m/1", 0, 12)
	if sound, _ := b.Sound(); sound && !mutated("totals-believed") || sound && mutated("totals-believed") {
		return "a total without what another door has added is believed"
	}
	for now := Seconds(2); now < 20; now += 0.5 {
		total(now, fmt.Sprint("m/", now), 1, 1)
		b.Step(now, Tick{})
	}
	if sound, why := b.Sound(); !sound {
		return "it is not trusted again: " + why
	}
	// Votes: one voter is none, however often it says so; three of two zones are heard; a crowd of warnings is cut.
	vote := func(from, zone string, seq uint64, bad ...string) {
		b.Step(20, Heard{from, Word{Claim: [2]uint64{9, 1}, Seq: seq, Zone: zone, Bad: bad, Size: 9}})
	}
	vote("n1", "a", 2, "s1", "s1", "s1")
	vote("n2", "b", 1)
	vote("n3", "b", 1)
	b.Step(20, Tick{Listed: 9})
	if len(b.Warned()) > 0 {
		return fmt.Sprintf("one voter is enough against %v", b.Warned())
	}
	vote("n2", "b", 2, "s1", "s2", "s3")
	vote("n3", "b", 2, "s1", "s2", "s3")
	vote("n4", "b", 1, "s4", "s2", "s3")
	vote("n5", "b", 1, "s4", "s2", "s5")
	vote("n6", "c", 1, "s4", "s5", "s2")
	vote("n7", "c", 1, "s4", "s5", "s3")
	vote("liar", "c", 1, "s1", "s2", "s3", "s4", "s5", "s6", "s7")
	b.Step(20, Tick{Listed: 9})
	if got := fmt.Sprint(b.Warned()); got != "[s2 s3 s4]" {
		return "warned of " + got
	}
	b.Step(27, Tick{Listed: 9})
	if len(b.Warned()) > 0 {
		return "votes last for ever"
	}
	return ""
}

func TestRules(t *testing.T) {
	if text := rules(); text != "" {
		t.Error(text)
	}
}

// What is to be had of quotas without the counter, by fault and size. MULLEIN_LONG=1 has 4, 16, 80 and 300 ingresses, the last two with 10,000 members.
func TestUse(t *testing.T) {
	type size struct{ ingresses, members int }
	sizes := []size{{4, 20}}
	if os.Getenv("MULLEIN_LONG") != "" {
		sizes = []size{{4, 40}, {16, 160}, {80, 10000}, {300, 10000}}
	}
	for _, row := range []struct {
		name   string
		fault  func(f *fleet)
		unused float64 // of what is asked inside the quota, at the most
	}{
		{"the counter is gone", func(*fleet) {}, 0.03},
		{"and busy doors change twice", func(f *fleet) {
			if f.now > 20 && f.now < 20.15 || f.now > 30 && f.now < 30.15 {
				for _, m := range f.members {
					f.load(m)
				}
			}
		}, 0.13},
		{"and 30% of the words are lost", func(f *fleet) { f.loss = 0.3 }, 0.05},
		{"and a quarter of the ingresses is killed", func(f *fleet) {
			for _, i := range f.all {
				if i.number%4 == 0 && f.now > 15 {
					i.up = false
				}
			}
		}, 0.35},
		{"and the ingresses are cut in halves", func(f *fleet) {
			if f.now > 15 && len(f.cut) == 0 {
				for i := range f.all {
					for j := range f.all {
						if i%2 != j%2 {
							f.cut[[2]int{i, j}] = true
						}
					}
				}
			}
		}, 0.5},
		{"and all are alone", func(f *fleet) { f.loss = 1 }, 0.6},
	} {
		for _, s := range sizes {
			if s.ingresses > 16 && row.name != "the counter is gone" && row.name != "and a quarter of the ingresses is killed" {
				continue // half an hour each
			}
			f := newFleet(3, s.ingresses, s.members, 3)
			back := 0.0
			for f.now < 50 {
				if f.dead = f.now > 5 && f.now < 40; f.now > 40 && back == 0 && f.unsound == 0 {
					back = f.now - 40
				}
				row.fault(f)
				f.step()
			}
			unused := f.unused / max(1, f.asked)
			t.Logf("%-40s %3d ingresses, %5d members: at most %.3f of a quota, %4.1f%% of what was inside not to be had, trusted again %.1f s behind its return, %.0f words a second and ingress",
				row.name, s.ingresses, s.members, f.worst, 100*unused, back, float64(f.words)/50/float64(s.ingresses))
			if f.broken != "" || unused > row.unused || f.asked == 0 || back == 0 {
				t.Errorf("%s: %s, unused %.3f, back after %.1f s", row.name, f.broken, unused, back)
			}
		}
	}
}
