package capacity

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"mulleinrouter/internal/emulator/costmodel"
)

// Report is the estimate of a plan.
type Report struct {
	Plan         *Plan
	Run          *costmodel.Run
	Requirements []Requirement
}

// Fits reports whether every need is within its limit.
func (r *Report) Fits() bool {
	return !slices.ContainsFunc(r.Requirements, func(one Requirement) bool { return one.exceeds() })
}

// Order returns the requirements in the order in which their limits are reached as the size grows. Those that exceed
// their limit at every size come first, the smallest margin first.
func (r *Report) Order() []Requirement {
	ordered := slices.Clone(r.Requirements)
	slices.SortStableFunc(ordered, func(a, b Requirement) int {
		return cmp.Or(cmp.Compare(a.MaxScale, b.MaxScale), cmp.Compare(a.Margin(), b.Margin()))
	})
	return ordered
}

// maxTermsShown bounds the number of terms that the report shows for a requirement, to limit the length of its lines.
// The terms are sorted, so that those left out are the smallest.
const maxTermsShown = 4

// Write writes the report as text: a table of the requirements, and the limit that binds first. It returns the errors
// of the writer.
func (r *Report) Write(w io.Writer) error {
	_, err := fmt.Fprintf(
		w,
		"%s, by slopes of %s (%s, %s, %s)\n\n",
		r.Plan.Name,
		r.Run.Date,
		r.Run.Command,
		r.Run.Go,
		r.Run.Processor,
	)
	if err != nil {
		return err
	}
	if err := r.writeTable(w); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "\n%s\n", r.conclusion())
	return err
}

func (r *Report) writeTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "role\twhat\tneed\tlimit\tmargin\tkept up to\tof")
	for n := range r.Requirements {
		fmt.Fprintln(table, strings.Join(r.Requirements[n].columns(), "\t"))
	}
	return table.Flush()
}

// columns returns the columns of a requirement in the report's table.
func (r *Requirement) columns() []string {
	shown := min(maxTermsShown, len(r.Terms))
	var terms []string
	for _, term := range r.Terms[:shown] {
		terms = append(terms, formatTerm(term, r.Unit))
	}
	if rest := len(r.Terms) - shown; rest > 0 {
		terms = append(terms, fmt.Sprintf("%d more", rest))
	}
	return []string{
		string(r.Role),
		r.Description,
		formatNeed(r.Need, r.Unit),
		formatNeed(r.Limit, r.Unit),
		formatMargin(r.Margin()),
		formatScale(r.MaxScale),
		strings.Join(terms, ", "),
	}
}

// conclusion returns the line that says which limit binds first.
func (r *Report) conclusion() string {
	first := r.Order()[0]
	binding := fmt.Sprintf("binds first: %s, %s", first.Role, first.Description)
	if first.MaxScale == 0 {
		return binding + ": over its limit at any number of machines"
	}
	binding += fmt.Sprintf(", at %s of this size", formatScale(first.MaxScale))
	if r.Fits() {
		return "fits; " + binding
	}
	return binding
}
