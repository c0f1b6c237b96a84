package plans

import (
	"cmp"
	"fmt"
	"slices"
)

// Change is one difference between two revisions.
type Change struct {
	What, Name string // What is plan, member, booking or setting
	From, To   string // empty: not there
}

// item is one part of a revision that can differ.
type item struct{ what, name string }

// Diff returns what differs from revision a to b, ordered by kind and name.
func Diff(a, b *Revision) (changes []Change) {
	from, to := items(a), items(b)
	for key, was := range from {
		if is := to[key]; is != was {
			changes = append(changes, Change{key.what, key.name, was, is})
		}
	}
	for key, is := range to {
		if _, was := from[key]; !was {
			changes = append(changes, Change{key.what, key.name, "", is})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.What, b.What), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

// items are the parts of a revision, as text.
func items(r *Revision) map[item]string {
	texts := map[item]string{
		{"setting", "holds"}:         fmt.Sprintf("%.3f", r.EffectiveAt),
		{"setting", "authority"}:     r.Authority.String(),
		{"setting", "bookable_rate"}: fmt.Sprint(r.BookableRate),
	}
	for _, p := range r.Plans {
		texts[item{"plan", p.Name}] = FormatPlan(p)
	}
	for member, plan := range r.Members {
		texts[item{"member", member}] = plan
	}
	for _, b := range r.Bookings {
		texts[item{"booking", b.ID}] = fmt.Sprintf("%s: %g units from %.0f to %.0f", b.Member, b.Units, b.From, b.To)
	}
	return texts
}
