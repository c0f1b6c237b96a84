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
	Breaches []invariants.Violation
	Rows     []Row
	Used     []Used
	Notes    []string
	Dir      string             // settings, disks and logs
	Open     invariants.Seconds // when the traffic began; the times of Breaches count from the start of the play
	AckP99   invariants.Seconds // of the operator's calls
	Probes   int64              // of health, at servers
	Arrivals int                // at servers
	Answers  map[string]int     // of the system's own, by status and text: of each try, not only the last
}

// Row is a class of requests. A request counts once, by how its last try ended.
type Row struct {
	Class                    string
	Requests, Served, InTime int
	Refused                  int                // by a promise
	Failed                   map[string]int     // by how
	P50, P99                 invariants.Seconds // of the served
}

// Used is what a process used over all its lives.
type Used struct {
	Process string
	CPU     time.Duration
	Peak    int64 // bytes
	Starts  int
}

// report is what can be told while the processes still run.
func (f *cluster) report() *Report {
	r := &Report{Dir: f.o.Dir, Open: f.open}
	for _, m := range slices.Concat(f.core, f.edge) {
		for _, p := range m.procs {
			cpu, peak, starts := p.usage()
			r.Used = append(r.Used, Used{p.program + " on " + m.name, cpu, peak, starts})
		}
	}
	return r
}

// judge adds what needs the whole log.
func (r *Report) evaluate(f *cluster) {
	l := f.recorder.snapshot()
	l.Bounds = f.o.Bounds
	for _, m := range f.edge {
		l.Edges = append(l.Edges, m.name)
	}
	r.Breaches = invariants.Check(l)
	r.Arrivals, r.Probes = len(l.Arrivals), f.probes.Load()
	r.AckP99 = part(f.ackTimes.list, 0.99)
	r.Notes, r.Answers = f.recorder.notes, f.answers
	rows := map[string]*Row{}
	times := map[string][]float64{}
	for _, t := range l.Attempts {
		if t.Probe || !t.Last {
			continue
		}
		row := rows[t.Class]
		if row == nil {
			row = &Row{Class: t.Class, Failed: map[string]int{}}
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
		row.P50, row.P99 = part(times[name], 0.5), part(times[name], 0.99)
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int { return cmp.Compare(b.Requests, a.Requests) })
}

const shownMost = 5 // breaches of one rule

// Write writes it for people.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\trequests\tserved\tin time\trefused\tfailed\tp50 ms\tp99 ms")
	for _, row := range r.Rows {
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
	for _, u := range r.Used {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%d\n", u.Process, u.CPU.Milliseconds(), float64(u.Peak)/(1<<20), u.Starts)
	}
	t.Flush()
	fmt.Fprintf(
		w,
		"\n%d arrivals at servers, %d probes of health, operator's calls p99 %.0f ms\n",
		r.Arrivals,
		r.Probes,
		1000*r.AckP99,
	)
	for _, text := range slices.Sorted(maps.Keys(r.Answers)) {
		fmt.Fprintf(w, "%d times an answer of the system's own: %s\n", r.Answers[text], text)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, "note:", n)
	}
	return r.Broken(w)
}

// Broken writes the rules that were broken, the first instances of each.
func (r *Report) Broken(w io.Writer) error {
	if len(r.Breaches) == 0 {
		_, err := fmt.Fprintln(w, "rules broken: none")
		return err
	}
	n := map[string]int{}
	for _, b := range r.Breaches {
		n[b.Rule]++
	}
	fmt.Fprintln(w, "rules broken:")
	shown := map[string]int{}
	for _, b := range r.Breaches {
		if shown[b.Rule]++; shown[b.Rule] <= shownMost {
			fmt.Fprintf(w, "  %s (%d) at %.2f s: %s\n", b.Rule, n[b.Rule], b.At-r.Open, b.Text)
		}
	}
	_, err := fmt.Fprintln(w, "logs are in", r.Dir)
	return err
}
