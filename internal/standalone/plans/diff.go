package plans

import (
	"cmp"
	"fmt"
	"slices"
)

// Change is one difference between two revisions.
type Change struct {
	What, Name string // kind of the part (plan, member, booking or setting), and its name
	From, To   string // text of the part in either revision; empty if the revision does not have it
}

// diffKey identifies a part of a revision that is compared: its kind and its name.
type diffKey struct{ what, name string }

// Diff returns the differences from revision a to revision b, ordered by kind and name.
func Diff(a, b *Revision) (changes []Change) {
	from, to := diffTexts(a), diffTexts(b)
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

// diffTexts returns the parts of a revision as text, for comparison and output.
func diffTexts(r *Revision) map[diffKey]string {
	texts := map[diffKey]string{
		{"setting", "holds"}:         fmt.Sprintf("%.3f", r.EffectiveAt),
		{"setting", "authority"}:     r.Authority.String(),
		{"setting", "bookable_rate"}: fmt.Sprint(r.BookableRate),
	}
	for _, p := range r.Plans {
		texts[diffKey{"plan", p.Name}] = FormatPlan(p)
	}
	for member, plan := range r.Members {
		texts[diffKey{"member", member}] = plan
	}
	for _, b := range r.Bookings {
		texts[diffKey{"booking", b.ID}] = fmt.Sprintf("%s: %g units from %.0f to %.0f", b.Member, b.Units, b.From, b.To)
	}
	return texts
}
