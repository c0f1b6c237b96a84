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
	return decision.Plan{
		Name: "plus", Rate: 10, Burst: 20, ValueWeight: 2,
		LimitRate: 20, LimitBurst: 40, LimitSlack: 4,
	}
}

func revision(n uint64, holds decision.Seconds, change ...func(*Revision)) Revision {
	r := Revision{
		Number: n, EffectiveAt: holds, Authority: AuthorityCatalogue, BookableRate: 100,
		Plans:   []decision.Plan{basic(), plus()},
		Members: map[string]string{anna: "basic", bert: "plus"},
	}
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
		{"valid", func(*Revision) {}, nil},
		{"no number", func(r *Revision) { r.Number = 0 }, []string{"revision: the number must be 1 or more"}},
		{"no plans", func(r *Revision) { r.Plans, r.Members = nil, nil },
			[]string{"plan: a revision needs one plan at least"}},
		{"plan twice", func(r *Revision) { r.Plans = append(r.Plans, basic()) },
			[]string{"plan.basic: a plan needs a name of its own, one word"}},
		{"below zero", func(r *Revision) { r.Plans[0].Rate = -1 },
			[]string{"plan.basic.rate: must be a number, 0 or more"}},
		{"no burst", func(r *Revision) { r.Plans[0].Burst = 0 },
			[]string{"plan.basic.burst: a rate needs a burst above 0: " +
				"a token bucket of size 0 is always empty"}},
		{"rate limit below the rate", func(r *Revision) { r.Plans[1].LimitRate = 9 },
			[]string{"plan.plus.ceiling_rate: below the plan's rate of 10"}},
		{"rate limit without burst", func(r *Revision) { r.Plans[1].LimitBurst = 0 },
			[]string{"plan.plus.ceiling_depth: a ceiling needs a depth above 0"}},
		{"a plan removed while members are on it", func(r *Revision) { r.Plans = r.Plans[:1] },
			[]string{"members." + bert + `: is on plan "plus", which this revision does not have`}},
		{"not a member", func(r *Revision) { r.Members = map[string]string{"Anna": "basic"} },
			[]string{"members.Anna: a member is 16 lower-case hexadecimal digits, below 2^33"}},
		{"booking of an unlisted member", func(r *Revision) {
			r.Bookings = []Booking{{"b", "00000000000000cc", 10, 20, 5}}
		}, []string{"booking.b.member: is not among the members that this revision lists"}},
		{"booking that ends before it begins", func(r *Revision) { r.Bookings = []Booking{{"b", anna, 20, 10, 5}} },
			[]string{"booking.b.to: must end after it begins"}},
		{"bookings under one name", func(r *Revision) {
			r.Bookings = []Booking{{"b", anna, 10, 20, 5}, {"b", bert, 10, 20, 5}}
		}, []string{"booking.b: a booking needs a name of its own"}},
		{"bookings beyond the bookable rate", func(r *Revision) {
			r.Bookings = []Booking{{"b1", anna, 10, 20, 600}, {"b2", anna, 15, 25, 500}, {"b3", anna, 30, 40, 1}}
		}, []string{"booking.b2.units: at Unix time 15 only 40 units a second are left; " +
			"400 units would fit in this span; the complete booking would fit from Unix time 20 on"}},
		{"negative bookable rate without bookings", func(r *Revision) { r.BookableRate = -1 },
			[]string{"bookable_rate: must be a number of units a second, 0 or more"}},
		{"negative bookable rate with a booking", func(r *Revision) {
			r.BookableRate, r.Bookings = -1, []Booking{{"b", anna, 10, 20, 5}}
		}, []string{"bookable_rate: must be a number of units a second, 0 or more"}},
		{"booking beyond the rate limit", func(r *Revision) { r.Bookings = []Booking{{"b", bert, 10, 20, 101}} },
			[]string{`booking.b.units: with plan "plus", at most 100 units in this span stay under its ceiling`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := revision(1, 0, tc.change)
			var got []string
			for _, p := range r.Validate() {
				got = append(got, p.Error())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("Validate() (-want +got):\n%s", diff)
			}
		})
	}
}

// CheckCapacity agrees with a check of every instant on random bookings. The number of units that it offers fits, and
// one more does not. The start that it offers is the earliest that fits.
func TestCheckCapacityAgreesWithEveryInstant(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	rejected, moved := 0, 0
	for range 3000 {
		var existing []Booking
		for i := range rng.IntN(6) {
			from := float64(1 + rng.IntN(20))
			existing = append(existing, Booking{
				fmt.Sprint(i), anna, from, from + float64(1+rng.IntN(8)), float64(1 + rng.IntN(60)),
			})
		}
		from := float64(1 + rng.IntN(20))
		b := Booking{"new", anna, from, from + float64(1+rng.IntN(8)), float64(1 + rng.IntN(80))}
		fits := func(b Booking) bool {
			for x := 1.0; x < 100; x += 0.5 {
				sum := 0.0
				for _, o := range append([]Booking{b}, existing...) {
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
		m := CheckCapacity(existing, b, 20)
		if (m == nil) != fits(b) {
			t.Fatalf("%v with %v: CheckCapacity returned %v, but a check of every instant disagrees", b, existing, m)
		}
		if m == nil {
			continue
		}
		rejected++
		if less := b; m.Units > 0 {
			if less.Units = m.Units; !fits(less) {
				t.Fatalf("%v with %v: %g units do not fit", b, existing, m.Units)
			}
			if less.Units++; fits(less) {
				t.Fatalf("%v with %v: more than %g units fit", b, existing, m.Units)
			}
		}
		for from := b.From; ; from += 0.5 {
			later := Booking{"later", anna, from, from + b.To - b.From, b.Units}
			if from >= 60 || fits(later) {
				if (m.From == 0) != (from >= 60) || m.From != 0 && m.From != from {
					t.Fatalf("%v with %v: fits from %g on, but CheckCapacity returned %g", b, existing, from, m.From)
				}
				moved++
				break
			}
		}
	}
	if rejected < 500 || moved < 500 {
		t.Errorf("%d rejected, %d with a later start; want 500 or more of each", rejected, moved)
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
		t.Errorf("Diff() (-want +got):\n%s", diff)
	}
	if Diff(&a, &a) != nil {
		t.Errorf("Diff of a revision and itself = %v, want none", Diff(&a, &a))
	}
}

// rates returns the quota of a member at several times, in units per second, or -1 where the plan is unknown.
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

// Of the revisions whose start has passed, the one with the highest number must be in force, in whatever order they are
// offered. Without a revision, the plans of the settings apply.
func TestRevisionsComeInForce(t *testing.T) {
	s := NewState([]decision.Plan{basic()})
	got := append(rates(s, anna, "basic", 1), rates(s, anna, "gold", 1)...)
	if diff := cmp.Diff([]float64{4, -1}, got); diff != "" {
		t.Errorf("rates of the settings alone (-want +got):\n%s", diff)
	}
	verdicts := fmt.Sprint(
		s.Offer(revision(1, 0), 10), s.Offer(revision(1, 0), 11),
		s.Offer(revision(3, 100, func(r *Revision) { r.Members[anna] = "plus" }), 12), // pending
		s.Offer(revision(2, 50, func(r *Revision) { r.Plans[0].Rate = 6 }), 13),       // after a higher one
		s.Offer(revision(4, 14, func(r *Revision) { r.Plans[0].Rate = 7 }), 15),       // late: in force at once
		s.Offer(revision(2, 50), 16)) // stale
	if want := "late same announced announced late older"; verdicts != want {
		t.Errorf("verdicts %s, want %s", verdicts, want)
	}
	got = append(rates(s, anna, "basic", 16, 200), rates(s, bert, "basic", 16)...)
	if diff := cmp.Diff([]float64{7, 7, 10}, got); diff != "" {
		t.Errorf("a higher number must replace lower ones, pending ones too (-want +got):\n%s", diff)
	}
	if n := s.InForce(200); n != 4 {
		t.Errorf("revision %d in force, want 4", n)
	}
}

// Ingresses that receive the same revisions in different orders derive the same terms, even from two revisions with
// the same number.
func TestOrderOfReceiptDoesNotMatter(t *testing.T) {
	all := []Revision{
		revision(1, 0), revision(2, 20, func(r *Revision) { r.Members[anna] = "plus" }),
		revision(2, 20, func(r *Revision) { r.Plans[0].Rate = 5 }), // same number, other content
		revision(3, 40, func(r *Revision) { r.Bookings = []Booking{{"b", anna, 50, 60, 100}} }),
		revision(4, 30, func(r *Revision) { r.Plans[1].Rate = 12 }),
	}
	var first []float64
	conflicts := 0
	rng := rand.New(rand.NewPCG(2, 2))
	for run := range 200 {
		s := NewState(nil)
		for _, i := range rng.Perm(len(all)) {
			if s.Offer(all[i], 10+rng.Float64()) == VerdictConflict {
				conflicts++
			}
		}
		got := append(rates(s, anna, "", 15, 25, 35, 55, 65), rates(s, bert, "", 15, 25, 35, 55)...)
		if run == 0 {
			first = got
		}
		if diff := cmp.Diff(first, got); diff != "" {
			t.Fatalf("run %d (-first +got):\n%s", run, diff)
		}
	}
	if conflicts != 200 {
		t.Errorf("%d conflicts in 200 runs, want 200", conflicts)
	}
}

// A member's rate must be raised by the sum of its running bookings, also if a booking is changed or cancelled while it
// runs, or began before the ingress started.
func TestBookingsRaiseTheRateWhileTheyRun(t *testing.T) {
	s := NewState(nil)
	s.Offer(revision(1, 0, func(r *Revision) {
		r.Bookings = []Booking{{"a1", anna, 100, 200, 500}, {"a2", anna, 150, 250, 200}, {"b", bert, 100, 110, 99}}
	}), 0)
	got := rates(s, anna, "", 99, 100, 149, 150, 199, 200, 249, 250)
	if diff := cmp.Diff([]float64{4, 9, 9, 11, 11, 6, 6, 4}, got); diff != "" {
		t.Errorf("overlapping (-want +got):\n%s", diff)
	}
	if s.Terms(anna, "", 160) != s.Terms(anna, "", 161) {
		t.Error("Terms returns another pointer for unchanged terms")
	}
	if a, b := s.Terms(anna, "", 120).Tag, s.Terms(anna, "", 99).Tag; a == b {
		t.Errorf("the raised quota and the plain one have the same tag %q", a)
	}
	// One booking is changed while it runs, and the other cancelled.
	s.Offer(revision(2, 160, func(r *Revision) { r.Bookings = []Booking{{"a2", anna, 150, 250, 300}} }), 155)
	if diff := cmp.Diff([]float64{11, 7, 7, 4}, rates(s, anna, "", 159, 160, 200, 250)); diff != "" {
		t.Errorf("changed and cancelled (-want +got):\n%s", diff)
	}
	// An ingress starts during a booking.
	late := NewState(nil)
	late.Offer(revision(2, 160, func(r *Revision) { r.Bookings = []Booking{{"a2", anna, 150, 250, 300}} }), 180)
	if diff := cmp.Diff([]float64{7}, rates(late, anna, "", 180)); diff != "" {
		t.Errorf("started within a booking (-want +got):\n%s", diff)
	}
}

func TestBookingNeverExceedsTheRateLimit(t *testing.T) {
	s := NewState(nil) // the plan comes from the header, so it is not known when the booking is validated
	s.Offer(revision(1, 0, func(r *Revision) {
		r.Authority, r.Members = AuthorityHeader, nil
		r.Bookings = []Booking{{"b", bert, 100, 110, 900}}
	}), 0)
	got := append(rates(s, bert, "plus", 105), rates(s, bert, "basic", 105)...)
	if diff := cmp.Diff([]float64{20, 94}, got); diff != "" {
		t.Errorf("rates (-want +got):\n%s", diff)
	}
}

// The catalogue or the client's header names a member's plan, as the revision's authority says. Clients that still name
// a removed plan must be served.
func TestAuthority(t *testing.T) {
	s := NewState(nil)
	s.Offer(revision(1, 0), 0)
	got := append(rates(s, anna, "plus", 1), rates(s, "00000000000000cc", "plus", 1)...)
	if diff := cmp.Diff([]float64{4, 10}, got); diff != "" {
		t.Errorf("the catalogue must win for the members that it lists (-want +got):\n%s", diff)
	}
	s.Offer(revision(2, 0, func(r *Revision) { r.Authority = AuthorityHeader }), 2)
	if diff := cmp.Diff([]float64{10}, rates(s, anna, "plus", 3)); diff != "" {
		t.Errorf("the header must win (-want +got):\n%s", diff)
	}
	s.Offer(revision(3, 0, func(r *Revision) {
		r.Authority = AuthorityHeader
		r.Plans = r.Plans[:1]
		r.Members = nil
	}), 4)
	if diff := cmp.Diff([]float64{10}, rates(s, anna, "plus", 5)); diff != "" {
		t.Errorf("clients that still name a removed plan must be served by it (-want +got):\n%s", diff)
	}
	if names := strings.Join(s.Plans(), " "); names != "basic plus" {
		t.Errorf("Plans() = %q, want %q", names, "basic plus")
	}
}

// Due must return the listed members whose terms may have changed since its last call, and Next the time of the next
// change.
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
	check(50, 60, map[string]float64{anna: 10, bert: 10}) // bert is due again, because of its booking
	check(60, 70, map[string]float64{bert: 12})
	check(71, 0, map[string]float64{bert: 10})
}

// A further revision must be rejected while maxPending are known, so that their memory is bounded. Those before the one
// in force must be dropped once it takes effect.
func TestTooManyPending(t *testing.T) {
	s := NewState(nil)
	for i := range uint64(maxPending) {
		s.Offer(revision(i+1, 100), 0)
	}
	if v := s.Offer(revision(1000, 100), 0); v != VerdictQueueFull {
		t.Errorf("verdict on one more = %v, want %v", v, VerdictQueueFull)
	}
	if s.InForce(100) != maxPending || len(s.known) != 1 {
		t.Errorf("revision %d in force, %d known; want %d and 1", s.InForce(100), len(s.known), maxPending)
	}
}
