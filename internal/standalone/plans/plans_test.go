package plans

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
)

const anna, bert = "00000000000000aa", "00000000000000bb"

func basic() decision.Plan { return decision.Plan{Name: "basic", Rate: 4, Burst: 8, ValueWeight: 1} }

func plus() decision.Plan {
	return decision.Plan{Name: "plus", Rate: 10, Burst: 20, ValueWeight: 2, LimitRate: 20, LimitBurst: 40, LimitSlack: 4}
}

func revision(n uint64, holds decision.Seconds, change ...func(*Revision)) Revision {
	r := Revision{Number: n, Holds: holds, Authority: AuthorityCatalogue, BookableRate: 100, Plans: []decision.Plan{basic(), plus()},
		Members: map[string]string{anna: "basic", bert: "plus"}}
	for _, f := range change {
		f(&r)
	}
	return r
}

func TestValidate(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Revision)
		want   []string
	}{
		{"good", func(*Revision) {}, nil},
		{"no number", func(r *Revision) { r.Number = 0 }, []string{"revision: the number must be 1 or more"}},
		{"no plans", func(r *Revision) { r.Plans, r.Members = nil, nil }, []string{"plan: a revision needs one plan at least"}},
		{"plan twice", func(r *Revision) { r.Plans = append(r.Plans, basic()) }, []string{"plan.basic: a plan needs a name of its own, one word"}},
		{"below zero", func(r *Revision) { r.Plans[0].Rate = -1 }, []string{"plan.basic.rate: must be a number, 0 or more"}},
		{"no burst", func(r *Revision) { r.Plans[0].Burst = 0 }, []string{"plan.basic.burst: a rate needs a burst above 0: a store that holds nothing lets nothing through"}},
		{"ceiling below the rate", func(r *Revision) { r.Plans[1].LimitRate = 9 }, []string{"plan.plus.ceiling_rate: below the plan's rate of 10"}},
		{"ceiling without depth", func(r *Revision) { r.Plans[1].LimitBurst = 0 }, []string{"plan.plus.ceiling_depth: a ceiling needs a depth above 0"}},
		{"a plan removed while members are on it", func(r *Revision) { r.Plans = r.Plans[:1] },
			[]string{"members." + bert + `: is on plan "plus", which this revision does not have`}},
		{"no member", func(r *Revision) { r.Members = map[string]string{"Anna": "basic"} },
			[]string{"members.Anna: a member is 16 lower-case hexadecimal digits, below 2^33"}},
		{"booking of an unlisted member", func(r *Revision) { r.Bookings = []Booking{{"b", "00000000000000cc", 10, 20, 5}} },
			[]string{"booking.b.member: is not among the members that this revision lists"}},
		{"booking that ends before it begins", func(r *Revision) { r.Bookings = []Booking{{"b", anna, 20, 10, 5}} },
			[]string{"booking.b.to: must end after it begins"}},
		{"bookings under one name", func(r *Revision) { r.Bookings = []Booking{{"b", anna, 10, 20, 5}, {"b", bert, 10, 20, 5}} },
			[]string{"booking.b: a booking needs a name of its own"}},
		{"bookings beyond the bookable rate", func(r *Revision) {
			r.Bookings = []Booking{{"b1", anna, 10, 20, 600}, {"b2", anna, 15, 25, 500}, {"b3", anna, 30, 40, 1}}
		}, []string{"booking.b2.units: at Unix time 15 only 40 units a second are left; 400 units would fit in this span, the whole from Unix time 20 on"}},
		{"booking beyond the ceiling", func(r *Revision) { r.Bookings = []Booking{{"b", bert, 10, 20, 101}} },
			[]string{`booking.b.units: with plan "plus", at most 100 units in this span stay under its ceiling`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := revision(1, 0, tc.change)
			var got []string
			for _, p := range r.Validate() {
				got = append(got, p.Error())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// Fit agrees with a look at every instant, on bookings drawn by chance; what it says would fit does, and no more.
func TestFitAgreesWithEveryInstant(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	refused, moved := 0, 0
	for range 3000 {
		var there []Booking
		for i := range rng.IntN(6) {
			from := float64(1 + rng.IntN(20))
			there = append(there, Booking{fmt.Sprint(i), anna, from, from + float64(1+rng.IntN(8)), float64(1 + rng.IntN(60))})
		}
		from := float64(1 + rng.IntN(20))
		b := Booking{"new", anna, from, from + float64(1+rng.IntN(8)), float64(1 + rng.IntN(80))}
		fits := func(b Booking) bool {
			for x := 1.0; x < 100; x += 0.5 {
				sum := 0.0
				for _, o := range append([]Booking{b}, there...) {
					if o.From <= x && x < o.To {
						sum += o.Rate()
					}
				}
				if b.From <= x && x < b.To && sum > 20+1e-6 {
					return false
				}
			}
			return true
		}
		m := CheckCapacity(there, b, 20)
		if (m == nil) != fits(b) {
			t.Fatalf("%v with %v: %v", b, there, m)
		}
		if m == nil {
			continue
		}
		refused++
		if less := b; m.Units > 0 {
			if less.Units = m.Units; !fits(less) {
				t.Fatalf("%v with %v: %g units do not fit", b, there, m.Units)
			}
			if less.Units++; fits(less) {
				t.Fatalf("%v with %v: more than %g units fit", b, there, m.Units)
			}
		}
		for from := b.From; ; from += 0.5 {
			later := Booking{"later", anna, from, from + b.To - b.From, b.Units}
			if from >= 60 || fits(later) {
				if (m.From == 0) != (from >= 60) || m.From != 0 && m.From != from {
					t.Fatalf("%v with %v: from %g on, %g said", b, there, from, m.From)
				}
				moved++
				break
			}
		}
	}
	if refused < 500 || moved < 500 {
		t.Errorf("only %d refused, %d moved", refused, moved)
	}
}

func TestDiff(t *testing.T) {
	a, b := revision(1, 0), revision(2, 50, func(r *Revision) {
		r.Plans[0].Rate = 5
		r.Members = map[string]string{anna: "plus"}
		r.Bookings = []Booking{{"b", anna, 100, 200, 500}}
	})
	want := []Change{
		{"booking", "b", "", anna + ": 500 units from 100 to 200"},
		{"member", anna, "basic", "plus"}, {"member", bert, "plus", ""},
		{"plan", "basic", "rate=4 burst=8 price=1", "rate=5 burst=8 price=1"},
		{"setting", "holds", "0.000", "50.000"},
	}
	if diff := cmp.Diff(want, Diff(&a, &b)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if Diff(&a, &a) != nil {
		t.Error("a revision differs from itself")
	}
}

// rates tells what quota a member has at some times.
func rates(s *State, member, tier string, at ...decision.Seconds) (all []float64) {
	for _, now := range at {
		t := s.Terms(member, tier, now)
		if t == nil {
			all = append(all, -1)
			continue
		}
		all = append(all, t.Plan.Rate)
	}
	return all
}

func TestRevisionsComeInForce(t *testing.T) {
	s := NewState([]decision.Plan{basic()})
	if diff := cmp.Diff([]float64{4, -1}, append(rates(s, anna, "basic", 1), rates(s, anna, "gold", 1)...)); diff != "" {
		t.Error("the settings alone", diff)
	}
	verdicts := fmt.Sprint(
		s.Offer(revision(1, 0), 10), s.Offer(revision(1, 0), 11),
		s.Offer(revision(3, 100, func(r *Revision) { r.Members[anna] = "plus" }), 12), // announced
		s.Offer(revision(2, 50, func(r *Revision) { r.Plans[0].Rate = 6 }), 13),       // heard after a later one
		s.Offer(revision(4, 14, func(r *Revision) { r.Plans[0].Rate = 7 }), 15),       // late: holds at once
		s.Offer(revision(2, 50), 16)) // passed by
	if want := "late same announced announced late older"; verdicts != want {
		t.Errorf("verdicts %s, want %s", verdicts, want)
	}
	if diff := cmp.Diff([]float64{7, 7, 10}, append(rates(s, anna, "basic", 16, 200), rates(s, bert, "basic", 16)...)); diff != "" {
		t.Error("a higher number puts lower ones aside, announced ones too", diff)
	}
	if n := s.InForce(200); n != 4 {
		t.Errorf("revision %d in force", n)
	}
}

// Whatever the order in which ingresses hear, they come to the same terms: also of two revisions under one number.
func TestOrderOfHearingDoesNotMatter(t *testing.T) {
	all := []Revision{
		revision(1, 0), revision(2, 20, func(r *Revision) { r.Members[anna] = "plus" }),
		revision(2, 20, func(r *Revision) { r.Plans[0].Rate = 5 }), // the same number, another content
		revision(3, 40, func(r *Revision) { r.Bookings = []Booking{{"b", anna, 50, 60, 100}} }),
		revision(4, 30, func(r *Revision) { r.Plans[1].Rate = 12 }),
	}
	var first []float64
	conflicts := 0
	rng := rand.New(rand.NewPCG(2, 2))
	for round := range 200 {
		s := NewState(nil)
		for _, i := range rng.Perm(len(all)) {
			if s.Offer(all[i], 10+rng.Float64()) == VerdictConflict {
				conflicts++
			}
		}
		got := append(rates(s, anna, "", 15, 25, 35, 55, 65), rates(s, bert, "", 15, 25, 35, 55)...)
		if round == 0 {
			first = got
		}
		if diff := cmp.Diff(first, got); diff != "" {
			t.Fatalf("round %d: %s", round, diff)
		}
	}
	if conflicts != 200 {
		t.Errorf("%d conflicts told in 200 rounds", conflicts)
	}
}

func TestBookingsRaiseTheRateWhileTheyRun(t *testing.T) {
	s := NewState(nil)
	s.Offer(revision(1, 0, func(r *Revision) {
		r.Bookings = []Booking{{"a1", anna, 100, 200, 500}, {"a2", anna, 150, 250, 200}, {"b", bert, 100, 110, 99}}
	}), 0)
	got := rates(s, anna, "", 99, 100, 149, 150, 199, 200, 249, 250)
	if diff := cmp.Diff([]float64{4, 9, 9, 11, 11, 6, 6, 4}, got); diff != "" {
		t.Errorf("overlapping: %s", diff)
	}
	if s.Terms(anna, "", 160) != s.Terms(anna, "", 161) {
		t.Error("the same terms are made anew for each request")
	}
	if a, b := s.Terms(anna, "", 120).Tag, s.Terms(anna, "", 99).Tag; a == b {
		t.Error("totals of the raised quota and of the plain one would be mixed")
	}
	// Changed while it runs, and cancelled while the other one has its tail.
	s.Offer(revision(2, 160, func(r *Revision) { r.Bookings = []Booking{{"a2", anna, 150, 250, 300}} }), 155)
	if diff := cmp.Diff([]float64{11, 7, 7, 4}, rates(s, anna, "", 159, 160, 200, 250)); diff != "" {
		t.Errorf("changed and cancelled: %s", diff)
	}
	// An ingress that starts within one.
	late := NewState(nil)
	late.Offer(revision(2, 160, func(r *Revision) { r.Bookings = []Booking{{"a2", anna, 150, 250, 300}} }), 180)
	if diff := cmp.Diff([]float64{7}, rates(late, anna, "", 180)); diff != "" {
		t.Errorf("started within one: %s", diff)
	}
}

func TestBookingNeverPassesTheCeiling(t *testing.T) {
	s := NewState(nil) // by header: the plan is not known when the booking is checked
	s.Offer(revision(1, 0, func(r *Revision) {
		r.Authority, r.Members = AuthorityHeader, nil
		r.Bookings = []Booking{{"b", bert, 100, 110, 900}}
	}), 0)
	if diff := cmp.Diff([]float64{20, 94}, append(rates(s, bert, "plus", 105), rates(s, bert, "basic", 105)...)); diff != "" {
		t.Error(diff)
	}
}

func TestAuthority(t *testing.T) {
	s := NewState(nil)
	s.Offer(revision(1, 0), 0)
	if diff := cmp.Diff([]float64{4, 10}, append(rates(s, anna, "plus", 1), rates(s, "00000000000000cc", "plus", 1)...)); diff != "" {
		t.Error("the catalogue wins for those it lists:", diff)
	}
	s.Offer(revision(2, 0, func(r *Revision) { r.Authority = AuthorityHeader }), 2)
	if diff := cmp.Diff([]float64{10}, rates(s, anna, "plus", 3)); diff != "" {
		t.Error("the header wins:", diff)
	}
	s.Offer(revision(3, 0, func(r *Revision) { r.Authority, r.Plans, r.Members = AuthorityHeader, r.Plans[:1], nil }), 4)
	if diff := cmp.Diff([]float64{10}, rates(s, anna, "plus", 5)); diff != "" {
		t.Error("a plan taken away turns clients away that still name it:", diff)
	}
	if names := strings.Join(s.Plans(5), " "); names != "basic plus" {
		t.Errorf("plans %q", names)
	}
}

func TestDueAndNext(t *testing.T) {
	s := NewState(nil)
	s.Offer(revision(1, 0), 0)
	due := func(now decision.Seconds) map[string]float64 {
		m := map[string]float64{}
		for _, t := range s.Due(now) {
			m[t.Customer] = t.Plan.Rate
		}
		return m
	}
	check := func(now, next decision.Seconds, want map[string]float64) {
		t.Helper()
		if got := due(now); !maps.Equal(want, got) || s.Next(now) != next {
			t.Errorf("at %g: due %v, next %g; want %v and %g", now, got, s.Next(now), want, next)
		}
	}
	check(1, 0, map[string]float64{anna: 4, bert: 10})
	check(2, 0, map[string]float64{})
	s.Offer(revision(2, 50, func(r *Revision) {
		r.Members[anna] = "plus"
		r.Bookings = []Booking{{"b", bert, 60, 70, 20}}
	}), 10)
	check(11, 50, map[string]float64{})
	check(50, 60, map[string]float64{anna: 10, bert: 10}) // bert has something booked: told again
	check(60, 70, map[string]float64{bert: 12})
	check(71, 0, map[string]float64{bert: 10})
}

func TestTooManyAnnounced(t *testing.T) {
	s := NewState(nil)
	for i := range uint64(mostPending) {
		s.Offer(revision(i+1, 100), 0)
	}
	if v := s.Offer(revision(1000, 100), 0); v != VerdictQueueFull {
		t.Errorf("one more is %v", v)
	}
	if s.InForce(100) != mostPending || len(s.all) != 1 {
		t.Errorf("revision %d in force, %d kept", s.InForce(100), len(s.all))
	}
}
