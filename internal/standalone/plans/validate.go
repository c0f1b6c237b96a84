package plans

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"

	"mulleinrouter/internal/decision"
)

// invalidMember is the text of an error about a member's name.
const invalidMember = "a member is 16 lower-case hexadecimal digits, below 2^33"

// validation collects the errors of a revision.
type validation struct {
	revision *Revision
	plans    map[string]decision.Plan // by name
	errors   []ValidationError
}

// Validate returns all errors of a revision by itself, or nil if it is valid.
func (r *Revision) Validate() []ValidationError {
	v := &validation{revision: r, plans: map[string]decision.Plan{}}
	v.checkSettings()
	v.checkPlans()
	v.checkMembers()
	// Sums of bookings have no meaning if a booking or the bookable rate is invalid, so they are not checked then.
	before := len(v.errors)
	v.checkBookings()
	if bookingsValid := len(v.errors) == before; bookingsValid {
		if isFiniteNonNegative(r.BookableRate) {
			v.checkCapacity()
		}
		if r.Authority == AuthorityCatalogue {
			v.checkRateLimits()
		}
	}
	return v.errors
}

// reject adds an error at a path.
func (v *validation) reject(text string, path ...string) {
	v.errors = append(v.errors, ValidationError{strings.Join(path, "."), text})
}

func (v *validation) checkSettings() {
	r := v.revision
	if r.Number == 0 {
		v.reject("the number must be 1 or more", "revision")
	}
	if !isFiniteNonNegative(r.EffectiveAt) {
		v.reject("not a time", "holds")
	}
	if !isFiniteNonNegative(r.BookableRate) {
		v.reject("must be a number of units a second, 0 or more", "bookable_rate")
	}
}

func (v *validation) checkPlans() {
	if len(v.revision.Plans) == 0 {
		v.reject("a revision needs one plan at least", "plan")
	}
	for _, p := range v.revision.Plans {
		if _, twice := v.plans[p.Name]; twice || p.Name == "" || strings.ContainsAny(p.Name, " \t\r\n") {
			v.reject("a plan needs a name of its own, one word", "plan", p.Name)
		}
		v.plans[p.Name] = p
		for _, f := range planFields(p) {
			if !isFiniteNonNegative(f.value) {
				v.reject("must be a number, 0 or more", "plan", p.Name, f.key)
			}
		}
		if p.Rate > 0 && p.Burst <= 0 {
			v.reject("a rate needs a burst above 0: a token bucket of size 0 is always empty",
				"plan", p.Name, "burst")
		}
		if p.LimitRate > 0 && p.LimitRate < p.Rate {
			v.reject(fmt.Sprintf("below the plan's rate of %g", p.Rate), "plan", p.Name, "ceiling_rate")
		}
		if p.LimitRate > 0 && p.LimitBurst <= 0 {
			v.reject("a ceiling needs a depth above 0", "plan", p.Name, "ceiling_depth")
		}
	}
}

func (v *validation) checkMembers() {
	members := v.revision.Members
	for _, m := range slices.Sorted(maps.Keys(members)) {
		if !ValidMember(m) {
			v.reject(invalidMember, "members", m)
		}
		if _, ok := v.plans[members[m]]; !ok {
			v.reject(fmt.Sprintf("is on plan %q, which this revision does not have", members[m]), "members", m)
		}
	}
}

// checkBookings checks each booking by itself.
func (v *validation) checkBookings() {
	ids := map[string]bool{}
	for _, b := range v.revision.Bookings {
		if b.ID == "" || ids[b.ID] {
			v.reject("a booking needs a name of its own", "booking", b.ID)
		}
		ids[b.ID] = true
		if !ValidMember(b.Member) {
			v.reject(invalidMember, "booking", b.ID, "member")
		}
		if !(b.From > 0 && b.From < b.To) || !isFiniteNonNegative(b.To) {
			v.reject("must end after it begins", "booking", b.ID, "to")
		}
		if !isFiniteNonNegative(b.Units) || b.Units == 0 {
			v.reject("must be more than 0", "booking", b.ID, "units")
		}
		if v.revision.Authority != AuthorityCatalogue {
			continue
		}
		if plan, listed := v.revision.Members[b.Member]; !listed {
			v.reject("is not among the members that this revision lists", "booking", b.ID, "member")
		} else if v.plans[plan].Rate <= 0 {
			v.reject(fmt.Sprintf("its plan %q has no rate that could be raised", plan), "booking", b.ID, "member")
		}
	}
}

// checkCapacity checks that all bookings together stay within the bookable rate, which must be finite.
func (v *validation) checkCapacity() {
	bookings, rate := v.revision.Bookings, v.revision.BookableRate
	if !exceedsBookableRate(bookings, rate) {
		return
	}
	// The first booking that does not fit with those before it is reported. A binary search finds it, because a set of
	// bookings that exceeds the rate still exceeds it when bookings are added.
	n := sort.Search(len(bookings)-1, func(i int) bool { return exceedsBookableRate(bookings[:i+1], rate) })
	v.reject(CheckCapacity(bookings[:n], bookings[n], rate).Error(), "booking", bookings[n].ID, "units")
}

// checkRateLimits checks that a member's bookings, on top of its plan's rate, stay within the plan's rate limit.
// Units beyond the limit could not be used.
func (v *validation) checkRateLimits() {
	byMember := map[string][]Booking{}
	for _, b := range v.revision.Bookings {
		before := byMember[b.Member]
		byMember[b.Member] = append(before, b)
		p := v.plans[v.revision.Members[b.Member]]
		if p.LimitRate <= 0 {
			continue
		}
		if e := CheckCapacity(before, b, p.LimitRate-p.Rate); e != nil {
			reason := fmt.Sprintf("with plan %q, at most %.0f units in this span stay under its ceiling",
				p.Name, e.Units)
			v.reject(reason, "booking", b.ID, "units")
		}
	}
}

const (
	memberDigits = 16
	memberPrefix = "0000000" // leading digits of a number below 2^33; the next digit is 0 or 1
)

// ValidMember reports whether a text is the name of a member: 16 lower-case hexadecimal digits, below 2^33 (PROTOCOL).
func ValidMember(s string) bool {
	if len(s) != memberDigits || strings.Trim(s, "0123456789abcdef") != "" || !strings.HasPrefix(s, memberPrefix) {
		return false
	}
	next := s[len(memberPrefix)]
	return next == '0' || next == '1'
}

// isFiniteNonNegative reports whether a number is 0 or more, and neither infinite nor NaN.
func isFiniteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
