package faulttest

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// maxListedNames is the largest number of members that a row of the table lists in full. Of more members, it shows the
// first one and the number.
const maxListedNames = 3

// Finding is the result of an expectation.
type Finding struct {
	Expectation Expectation
	Passed      bool
	Text        string
	// Times are the times from After until the expectation became true. ExpectState has one for each pair of an
	// observer and a member, ExpectWarned one for each member that was warned, and the others have at most one.
	Times []time.Duration
}

// Report is the result of a scenario.
type Report struct {
	Scenario *Scenario
	JoinTime time.Duration // from when all processes had started until the membership was complete
	Findings []Finding
	Sent     int      // requests of clients
	Served   int      // requests that were answered with 200
	Problems []string // errors in running the fault test, as opposed to failed expectations
	Cost     Cost
}

// Passed reports whether all expectations were satisfied and nothing went wrong in the fault test itself.
func (r *Report) Passed() bool {
	hasFailed := slices.ContainsFunc(r.Findings, func(f Finding) bool { return !f.Passed })
	return len(r.Problems) == 0 && !hasFailed
}

// Write prints the table of the findings, the requests, the cost and the problems.
func (r *Report) Write(out io.Writer) {
	WriteTable(out, []*Report{r})
	fmt.Fprintf(
		out,
		"membership complete after %.1f s; %d requests, %d served; "+
			"a member sends %.0f packets and %.0f bytes a second, and uses %.1f%% of a core\n",
		r.JoinTime.Seconds(),
		r.Sent,
		r.Served,
		r.Cost.PacketsPerSecond,
		r.Cost.BytesPerSecond,
		100*r.Cost.CPU,
	)
	for _, problem := range r.Problems {
		fmt.Fprintln(out, "problem:", problem)
	}
}

// expectedProperty is the key by which the table groups times.
type expectedProperty struct {
	kind  ExpectationKind
	value string
}

// WriteTable prints the findings of one scenario that was run once or several times, in one row for each expectation.
// Rows at the end summarize the times of all expectations of the same property.
func WriteTable(out io.Writer, reports []*Report) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "expected\tof\tby\tpassed\tmedian\tp99\tmax\tlimit\tobserved\n")
	times := map[expectedProperty][]time.Duration{}
	var properties []expectedProperty // in the order of the expectations
	for i, finding := range reports[0].Findings {
		row := newTableRow(finding.Expectation, reports, i)
		row.write(table)
		property := expectedProperty{finding.Expectation.Kind, finding.Expectation.Value}
		if _, known := times[property]; !known {
			properties = append(properties, property)
		}
		times[property] = append(times[property], row.times...)
	}
	for _, property := range properties {
		if all := times[property]; len(all) > 1 {
			fmt.Fprintf(table, "all %s %s\t\t\t%d times\t%s\t\t\n",
				property.kind, property.value, len(all), formatQuantiles(all))
		}
	}
}

// tableRow summarizes the findings of all runs of a scenario for one expectation.
type tableRow struct {
	expectation Expectation
	runs        int
	passed      int
	text        string // of the last run that failed; if none failed, of the first run
	times       []time.Duration
}

// newTableRow collects the findings with an index.
func newTableRow(expectation Expectation, reports []*Report, index int) tableRow {
	row := tableRow{expectation: expectation, runs: len(reports)}
	for _, report := range reports {
		finding := report.Findings[index]
		row.times = append(row.times, finding.Times...)
		if finding.Passed {
			row.passed++
		}
		if row.text == "" || !finding.Passed {
			row.text = finding.Text
		}
	}
	return row
}

func (t tableRow) write(out io.Writer) {
	fmt.Fprintf(
		out,
		"%s %s\t%s\t%s\t%s\t%s\t%.0f s\t%s\n",
		t.expectation.Kind,
		t.expectation.Value,
		formatNames(t.expectation.Members),
		formatNames(t.expectation.Observers),
		t.verdict(),
		formatQuantiles(t.times),
		t.expectation.Within.Seconds(),
		t.text,
	)
}

// verdict returns how many of the runs satisfied the expectation. For a single run it returns yes or NO.
func (t tableRow) verdict() string {
	switch {
	case t.runs > 1:
		return fmt.Sprintf("%d of %d", t.passed, t.runs)
	case t.passed == 1:
		return "yes"
	default:
		return "NO"
	}
}

// formatQuantiles returns the median, the 99th percentile and the maximum, as three columns.
func formatQuantiles(times []time.Duration) string {
	if len(times) == 0 {
		return "\t\t"
	}
	sorted := slices.Sorted(slices.Values(times))
	n := len(sorted)
	median, p99, worst := sorted[n/2], sorted[(n*99-1)/100], sorted[n-1]
	return fmt.Sprintf("%.1f s\t%.1f s\t%.1f s", median.Seconds(), p99.Seconds(), worst.Seconds())
}

func formatNames(names []string) string {
	switch {
	case len(names) == 0:
		return "all"
	case len(names) > maxListedNames:
		return fmt.Sprintf("%s ... (%d)", names[0], len(names))
	default:
		return fmt.Sprint(names)
	}
}
