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

// Authority says who names a member's plan.
type Authority int

const (
	// AuthorityHeader lets the client's X-Tier name the plan.
	AuthorityHeader Authority = iota
	// AuthorityCatalogue lets the catalogue name the plan of the members that it lists, and X-Tier that of others.
	AuthorityCatalogue
)

// String is the word for an authority in files and tables.
func (a Authority) String() string {
	if a == AuthorityCatalogue {
		return "catalogue"
	}
	return "header"
}

// Revision is one complete state of the catalogue. The command line prints it as JSON under the names of its fields.
type Revision struct {
	Number      uint64           // from 1; of those whose time has come, the highest is in force
	EffectiveAt decision.Seconds `json:"Holds"` // Unix time from which it counts; 0: as soon as it is received
	Authority   Authority
	// BookableRate is how many units a second all bookings together may take at any instant.
	BookableRate float64           `json:"Bookable"`
	Plans        []decision.Plan   // in no particular order
	Members      map[string]string // plan by member
	Bookings     []Booking
}

// Booking is allowance that a member has been promised for a span, on top of its plan's quota.
type Booking struct {
	ID, Member string
	From, To   decision.Seconds // Unix time; To is no part of the span
	Units      float64          // spread evenly over the span; unused units expire
}

// Rate is what the booking adds to the member's quota while it runs, in units a second.
func (b Booking) Rate() float64 { return b.Units / (b.To - b.From) }

// String is a booking in tables, logs and digests. Its form is part of the digest's format: ingresses of all versions
// compare digests.
func (b Booking) String() string {
	return fmt.Sprintf("%s: %g units for %s over %.0f s", b.ID, b.Units, b.Member, b.To-b.From)
}

// Digest is a short hash of all that a revision says, its number included. Equal revisions have equal digests.
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

// planDigestText is a plan as it enters a digest. The words are part of the format: ingresses of all versions
// compare digests, so they do not follow the names of the fields.
func planDigestText(p decision.Plan) string {
	return fmt.Sprintf("{Name:%v Rate:%v Burst:%v Open:%v Price:%v ExcessWorth:%v BeyondCosts:%v "+
		"CeilingRate:%v CeilingDepth:%v CeilingSlack:%v}",
		p.Name, p.Rate, p.Burst, p.MaxInFlight, p.ValueWeight, p.ExcessValue, p.ExcessCost,
		p.LimitRate, p.LimitBurst, p.LimitSlack)
}

// figure is one figure of a plan, under its key in files.
type figure struct {
	key   string
	value float64
}

// figures are those of a plan, in the order of files and tables.
func figures(p decision.Plan) []figure {
	return []figure{
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

// FormatPlan is a plan's figures in one line, without those that are 0.
func FormatPlan(p decision.Plan) string {
	var words []string
	for _, f := range figures(p) {
		if f.value != 0 {
			words = append(words, fmt.Sprintf("%s=%g", f.key, f.value))
		}
	}
	return strings.Join(words, " ")
}
