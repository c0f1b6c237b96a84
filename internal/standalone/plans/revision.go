package plans

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"mulleinrouter/internal/decision"
)

// Authority determines which source names a member's plan.
type Authority int

const (
	// AuthorityHeader means that the client's X-Tier header names the plan.
	AuthorityHeader Authority = iota
	// AuthorityCatalogue means that the catalogue names the plan of the members that it lists, and that X-Tier names
	// the plan of other members.
	AuthorityCatalogue
)

// String returns the name of an authority in files and tables.
func (a Authority) String() string {
	if a == AuthorityCatalogue {
		return "catalogue"
	}
	return "header"
}

// Revision is one complete state of the catalogue. The command line prints it as JSON under the names of its fields,
// so they must not change.
type Revision struct {
	Number      uint64           // from 1; of the revisions whose EffectiveAt has passed, the highest is in force
	EffectiveAt decision.Seconds `json:"Holds"` // Unix time at which it takes effect; 0 means when it is received
	Authority   Authority
	// BookableRate is the largest sum of the rates of all bookings at any instant, in units per second.
	BookableRate float64           `json:"Bookable"`
	Plans        []decision.Plan   // in no particular order
	Members      map[string]string // plan by member
	Bookings     []Booking
}

// Booking is a number of units that a member may use in a period in addition to its plan's quota.
type Booking struct {
	ID, Member string
	From, To   decision.Seconds // Unix time; To is exclusive
	Units      float64          // spread evenly over the period; unused units expire
}

// Rate returns the rate that the booking adds to the member's quota during its period, in units per second.
func (b Booking) Rate() float64 { return b.Units / (b.To - b.From) }

// String returns the text of a booking for digests. It has the length of the period in whole seconds, but not its
// start. It must not change, because ingresses of different versions compare digests.
func (b Booking) String() string {
	return fmt.Sprintf("%s: %g units for %s over %.0f s", b.ID, b.Units, b.Member, b.To-b.From)
}

// Digest returns a short hash of a revision. It covers all fields, except that Booking.String represents a booking.
// Equal revisions have equal digests. So do revisions that differ only in when bookings begin, if the lengths of the
// bookings in whole seconds are the same.
func (r *Revision) Digest() string {
	h := fnv.New64a()
	fmt.Fprint(h, r.Number, r.EffectiveAt, r.Authority, r.BookableRate)
	byName := func(a, b decision.Plan) int { return cmp.Compare(a.Name, b.Name) }
	for _, p := range slices.SortedFunc(slices.Values(r.Plans), byName) {
		fmt.Fprint(h, "|", planDigestText(p))
	}
	for _, m := range slices.Sorted(maps.Keys(r.Members)) {
		fmt.Fprint(h, "|", m, "=", r.Members[m])
	}
	byID := func(a, b Booking) int { return cmp.Compare(a.ID, b.ID) }
	for _, b := range slices.SortedFunc(slices.Values(r.Bookings), byID) {
		fmt.Fprint(h, "|", b)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// planDigestText returns the text of a plan that is hashed into a digest. Its words must not change when a field is
// renamed, because ingresses of different versions compare digests.
func planDigestText(p decision.Plan) string {
	return fmt.Sprintf("{Name:%v Rate:%v Burst:%v Open:%v Price:%v ExcessWorth:%v BeyondCosts:%v "+
		"CeilingRate:%v CeilingDepth:%v CeilingSlack:%v}",
		p.Name, p.Rate, p.Burst, p.MaxInFlight, p.ValueWeight, p.ExcessValue, p.ExcessCost,
		p.LimitRate, p.LimitBurst, p.LimitSlack)
}

// planField is a numeric field of a plan, with its key in files.
type planField struct {
	key   string
	value float64
}

// planFields returns the numeric fields of a plan, in their order in files and tables.
func planFields(p decision.Plan) []planField {
	return []planField{
		{"rate", p.Rate},
		{"burst", p.Burst},
		{"open", float64(p.MaxInFlight)},
		{"price", p.ValueWeight},
		{"excess_worth", p.ExcessValue},
		{"beyond_costs", p.ExcessCost},
		{"ceiling_rate", p.LimitRate},
		{"ceiling_depth", p.LimitBurst},
		{"ceiling_slack", p.LimitSlack},
	}
}

// FormatPlan returns the numeric fields of a plan on one line, without those that are 0.
func FormatPlan(p decision.Plan) string {
	var words []string
	for _, f := range planFields(p) {
		if f.value != 0 {
			words = append(words, fmt.Sprintf("%s=%g", f.key, f.value))
		}
	}
	return strings.Join(words, " ")
}
