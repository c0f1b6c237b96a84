package loopback

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

// Report is what a play came to.
type Report struct {
	Violations []invariants.Violation
	Classes     []ClassResult
	Processes     []ProcessUsage
	Notes    []string
	Dir      string             // settings, disks and logs
	TrafficStart     invariants.Seconds // when the traffic began; the times of Breaches count from the start of the play
	ChangeP99   invariants.Seconds // of the operator's calls
	HealthChecks   int64              // of health, at servers
	Arrivals int                // at servers
	OwnAnswers  map[string]int     // of the system's own, by status and text: of each try, not only the last
}

// ClassResult is a class of requests. A request counts once, by how its last try ended.
type ClassResult struct {
	Class                    string
	Requests, Served, InTime int
	Refused                  int                // by a promise
	Failed                   map[string]int     // by how
	P50, P99                 invariants.Seconds // of the served
}

// ProcessUsage is what a process used over all its lives.
type ProcessUsage struct {
	Process string
	CPU     time.Duration
	PeakMemory    int64 // bytes
	Starts  int
}

// report is what can be told while the processes still run.
func (cl *cluster) report() *Report {
	r := &Report{Dir: cl.options.Dir, TrafficStart: cl.trafficStart}
	for _, m := range slices.Concat(cl.core, cl.edge) {
		for _, p := range m.processes {
			cpu, peak, starts := p.usage()
			r.Processes = append(r.Processes, ProcessUsage{p.program + " on " + m.name, cpu, peak, starts})
		}
	}
	return r
}

// judge adds what needs the whole log.
func (r *Report) evaluate(f *cluster) {
	l := f.recorder.snapshot()
	l.Bounds = f.options.Bounds
	for _, m := range f.edge {
		l.Edges = append(l.Edges, m.name)
	}
	r.Violations = invariants.Check(l)
	r.Arrivals, r.HealthChecks = len(l.Arrivals), f.healthChecks.Load()
	r.ChangeP99 = quantile(f.changeLatencies.values, 0.99)
	r.Notes, r.OwnAnswers = f.recorder.notes, f.ownAnswers
	rows := map[string]*ClassResult{}
	times := map[string][]float64{}
	for _, t := range l.Attempts {
		if t.Probe || !t.Last {
			continue
		}
		row := rows[t.Class]
		if row == nil {
			row = &ClassResult{Class: t.Class, Failed: map[string]int{}}
			rows[t.Class] = row
		}
		row.Requests++
		switch took := t.Done - t.FirstSent; {
		case t.End != invariants.Answered:
			row.Failed[t.End.String()]++
		case t.Status/100 == 2:
			row.Served++
			if took <= t.LatencyTarget {
				row.InTime++
			}
			times[t.Class] = append(times[t.Class], took)
		case t.Status == 429 || t.Status == 503 || t.Status == 408 || t.Status == 421:
			row.Refused++
		default:
			row.Failed[fmt.Sprint(t.Status)]++
		}
	}
	for name, row := range rows {
		row.P50, row.P99 = quantile(times[name], 0.5), quantile(times[name], 0.99)
		r.Classes = append(r.Classes, *row)
	}
	slices.SortFunc(r.Classes, func(a, b ClassResult) int { return cmp.Compare(b.Requests, a.Requests) })
}

const maxShown = 5 // breaches of one rule

// Write writes it for people.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\trequests\tserved\tin time\trefused\tfailed\tp50 ms\tp99 ms")
	for _, row := range r.Classes {
		failed := ""
		for _, how := range slices.Sorted(maps.Keys(row.Failed)) {
			failed += fmt.Sprintf("%s %d ", how, row.Failed[how])
		}
		fmt.Fprintf(
			t,
			"%s\t%d\t%d\t%d\t%d\t%s\t%.0f\t%.0f\n",
			row.Class,
			row.Requests,
			row.Served,
			row.InTime,
			row.Refused,
			cmp.Or(failed, "-"),
			1000*row.P50,
			1000*row.P99,
		)
	}
	fmt.Fprintln(t, "\nprocess\tCPU ms\tpeak MB\tlives")
	for _, u := range r.Processes {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%d\n", u.Process, u.CPU.Milliseconds(), float64(u.PeakMemory)/(1<<20), u.Starts)
	}
	t.Flush()
	fmt.Fprintf(
		w,
		"\n%d arrivals at servers, %d probes of health, operator's calls p99 %.0f ms\n",
		r.Arrivals,
		r.HealthChecks,
		1000*r.ChangeP99,
	)
	for _, text := range slices.Sorted(maps.Keys(r.OwnAnswers)) {
		fmt.Fprintf(w, "%d times an answer of the system's own: %s\n", r.OwnAnswers[text], text)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, "note:", n)
	}
	return r.WriteViolations(w)
}

// WriteViolations writes the rules that were broken, the first instances of each.
func (r *Report) WriteViolations(w io.Writer) error {
	if len(r.Violations) == 0 {
		_, err := fmt.Fprintln(w, "rules broken: none")
		return err
	}
	n := map[string]int{}
	for _, b := range r.Violations {
		n[b.Rule]++
	}
	fmt.Fprintln(w, "rules broken:")
	shown := map[string]int{}
	for _, b := range r.Violations {
		if shown[b.Rule]++; shown[b.Rule] <= maxShown {
			fmt.Fprintf(w, "  %s (%d) at %.2f s: %s\n", b.Rule, n[b.Rule], b.At-r.TrafficStart, b.Text)
		}
	}
	_, err := fmt.Fprintln(w, "logs are in", r.Dir)
	return err
}
