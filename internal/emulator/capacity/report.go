package capacity

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"mulleinrouter/internal/emulator/costmodel"
)

// Report is what was reckoned.
type Report struct {
	Plan         *Plan
	Run          *costmodel.Run
	Requirements []Requirement
}

// Fits tells whether every need keeps its limit.
func (r *Report) Fits() bool {
	return !slices.ContainsFunc(r.Requirements, func(x Requirement) bool { return x.Need > x.Limit })
}

// Order is the rows in the order in which their limits are reached as the size grows; of those over it at any size,
// the worst first.
func (r *Report) Order() []Requirement {
	rows := slices.Clone(r.Requirements)
	slices.SortStableFunc(
		rows,
		func(a, b Requirement) int {
			return cmp.Or(cmp.Compare(a.MaxScale, b.MaxScale), cmp.Compare(a.Margin(), b.Margin()))
		},
	)
	return rows
}

const maxTermsShown = 4

// Write writes the report for reading.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(
		w,
		"%s, by slopes of %s (%s, %s, %s)\n\n",
		r.Plan.Name,
		r.Run.Date,
		r.Run.Command,
		r.Run.Go,
		r.Run.Processor,
	)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "role\twhat\tneed\tlimit\tmargin\tkept up to\tof")
	for i := range r.Requirements {
		x := &r.Requirements[i]
		var terms []string
		for _, term := range x.Terms[:min(maxTermsShown, len(x.Terms))] {
			terms = append(terms, fmt.Sprintf("%s %s x %s", term.Description, Amount(term.UnitCost, unitOf(x.Unit)), formatCount(term.Count)))
		}
		if left := len(x.Terms) - maxTermsShown; left > 0 {
			terms = append(terms, fmt.Sprintf("%d more", left))
		}
		fmt.Fprintf(
			t,
			"%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			x.Role,
			x.Description,
			formatValue(x.Need, x.Unit),
			formatValue(x.Limit, x.Unit),
			formatMargin(x.Margin()),
			formatScale(x.MaxScale),
			strings.Join(terms, ", "),
		)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	first := r.Order()[0]
	switch {
	case first.MaxScale == 0:
		_, err := fmt.Fprintf(w, "\nbinds first: %s, %s: over its limit at any number of machines\n", first.Role, first.Description)
		return err
	case r.Fits():
		_, err := fmt.Fprintf(
			w,
			"\nfits; binds first: %s, %s, at %s of this size\n",
			first.Role,
			first.Description,
			formatScale(first.MaxScale),
		)
		return err
	}
	_, err := fmt.Fprintf(w, "\nbinds first: %s, %s, at %s of this size\n", first.Role, first.Description, formatScale(first.MaxScale))
	return err
}

func unitOf(unit string) string {
	if unit == "core" {
		return "s"
	}
	return strings.TrimSuffix(unit, "/s")
}

func formatValue(v float64, unit string) string {
	switch unit {
	case "core":
		return fmt.Sprintf("%.3g%% of a core", 100*v)
	case "":
		return formatCount(v)
	case "s":
		return Amount(v, "s")
	}
	return Amount(v, unit)
}

func formatCount(v float64) string { return strings.TrimSpace(Amount(v, "")) }

func formatMargin(v float64) string {
	switch {
	case math.IsInf(v, 0):
		return "-"
	case v < 1:
		return fmt.Sprintf("OVER, %.3g times", 1/v)
	}
	return fmt.Sprintf("%.3g", v)
}

func formatScale(v float64) string {
	switch {
	case v == 0:
		return "no size"
	case math.IsInf(v, 0):
		return "any size"
	}
	if v >= 1 {
		return fmt.Sprintf("%s times", formatCount(v))
	}
	return fmt.Sprintf("%.3g%%", 100*v)
}
