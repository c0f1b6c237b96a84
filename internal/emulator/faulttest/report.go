package faulttest

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Finding is what came of an expectation.
type Finding struct {
	Expectation Expectation
	Passed      bool
	Text        string
	Times       []time.Duration // behind After: when each that was looked at had it
}

// Report is what came of a rehearsal.
type Report struct {
	Timeline *Scenario
	JoinTime time.Duration // until all heard the whole fleet
	Findings []Finding
	Sent     int
	Served   int
	Problems []string // what went wrong in the rig itself
	Cost     Cost
}

// Cost is what a member sent to others, and the part of a core that its process used for all it did, on average over
// those that ran all the time.
type Cost struct{ PacketsPerSecond, BytesPerSecond, CPU float64 }

// Passed tells whether all held.
func (r *Report) Passed() bool {
	return len(r.Problems) == 0 && !slices.ContainsFunc(r.Findings, func(f Finding) bool { return !f.Passed })
}

// Write prints a table.
func (r *Report) Write(out io.Writer) {
	WriteTable(out, []*Report{r})
	fmt.Fprintf(
		out,
		"whole after %.1f s; %d requests, %d served; "+
			"a member sends %.0f packets and %.0f bytes a second, and uses %.1f%% of a core\n",
		r.JoinTime.Seconds(),
		r.Sent,
		r.Served,
		r.Cost.PacketsPerSecond,
		r.Cost.BytesPerSecond,
		100*r.Cost.CPU,
	)
	for _, p := range r.Problems {
		fmt.Fprintln(out, "problem:", p)
	}
}

// WriteTable prints what came of one timeline played once or often, and, over all that is expected of one kind, its times.
func WriteTable(out io.Writer, all []*Report) {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "expected\tof\tby\theld\tmedian\tp99\tworst\tlimit\tseen\n")
	type kind struct{ kind, is string }
	sums, order := map[kind][]time.Duration{}, []kind{}
	for i, f := range all[0].Findings {
		passed, text, times := 0, "", []time.Duration{}
		for _, r := range all {
			g := r.Findings[i]
			if times = append(times, g.Times...); g.Passed {
				passed++
			}
			if text == "" || !g.Passed {
				text = g.Text
			}
		}
		k := kind{f.Expectation.Kind, f.Expectation.Value}
		if _, known := sums[k]; !known {
			order = append(order, k)
		}
		sums[k] = append(sums[k], times...)
		words := map[bool]string{true: "yes", false: "NO"}[passed == len(all)]
		if len(all) > 1 {
			words = fmt.Sprintf("%d of %d", passed, len(all))
		}
		fmt.Fprintf(
			t,
			"%s %s\t%s\t%s\t%s\t%s\t%.0f s\t%s\n",
			f.Expectation.Kind,
			f.Expectation.Value,
			formatNames(f.Expectation.Members),
			formatNames(f.Expectation.Observers),
			words,
			quantiles(times),
			f.Expectation.Within.Seconds(),
			text,
		)
	}
	for _, k := range order {
		if n := len(sums[k]); n > 1 {
			fmt.Fprintf(t, "all %s %s\t\t\t%d times\t%s\t\t\n", k.kind, k.is, n, quantiles(sums[k]))
		}
	}
	t.Flush()
}

// quantiles are the median, the 99th percentile and the worst, as three columns.
func quantiles(times []time.Duration) string {
	if len(times) == 0 {
		return "\t\t"
	}
	times = slices.Sorted(slices.Values(times))
	n := len(times)
	return fmt.Sprintf("%.1f s\t%.1f s\t%.1f s", times[n/2].Seconds(), times[(n*99-1)/100].Seconds(), times[n-1].Seconds())
}

func formatNames(names []string) string {
	switch {
	case len(names) == 0:
		return "all"
	case len(names) > 3:
		return fmt.Sprintf("%s ... (%d)", names[0], len(names))
	}
	return fmt.Sprint(names)
}
