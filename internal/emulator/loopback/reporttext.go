package loopback

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxShown is the maximum number of violations of one rule that are printed.
const maxShown = 5

// Write writes the report as text.
func (r *Report) Write(w io.Writer) error {
	r.WriteTables(w)
	for _, text := range slices.Sorted(maps.Keys(r.GatewayAnswers)) {
		fmt.Fprintf(w, "%d times the system answered instead of a server: %s\n", r.GatewayAnswers[text], text)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, "note:", n)
	}
	return r.WriteViolations(w)
}

// WriteTables writes the results of the request classes and the resource usage of the processes.
func (r *Report) WriteTables(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	r.writeClasses(t)
	r.writeProcesses(t)
	t.Flush()
	fmt.Fprintf(w, "\n%d arrivals at servers, %d health checks, operator's calls p99 %.0f ms\n",
		r.Arrivals, r.HealthChecks, 1000*r.ChangeP99)
}

func (r *Report) writeClasses(w io.Writer) {
	fmt.Fprintln(w, "class\trequests\tserved\tin time\trefused\tfailed\tp50 ms\tp99 ms")
	for _, c := range r.Classes {
		failed := ""
		for _, how := range slices.Sorted(maps.Keys(c.Failed)) {
			failed += fmt.Sprintf("%s %d ", how, c.Failed[how])
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%.0f\t%.0f\n",
			c.Class, c.Requests, c.Served, c.InTime, c.Rejected, cmp.Or(failed, "-"), 1000*c.P50, 1000*c.P99)
	}
}

func (r *Report) writeProcesses(w io.Writer) {
	fmt.Fprintln(w, "\nprocess\tCPU ms\tpeak MB\tstarts")
	for _, u := range r.Processes {
		megabytes := float64(u.PeakMemory) / (1 << 20)
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%d\n", u.Process, u.CPU.Milliseconds(), megabytes, u.Starts)
	}
}

// WriteViolations writes the rules that were violated, with the first maxShown violations of each.
func (r *Report) WriteViolations(w io.Writer) error {
	if len(r.Violations) == 0 {
		_, err := fmt.Fprintln(w, "rules broken: none")
		return err
	}
	total := map[string]int{}
	for _, v := range r.Violations {
		total[v.Rule]++
	}
	fmt.Fprintln(w, "rules broken:")
	shown := map[string]int{}
	for _, v := range r.Violations {
		shown[v.Rule]++
		if shown[v.Rule] <= maxShown {
			fmt.Fprintf(w, "  %s (%d) at %.2f s: %s\n", v.Rule, total[v.Rule], v.At-r.TrafficStart, v.Text)
		}
	}
	_, err := fmt.Fprintln(w, "logs are in", r.Dir)
	return err
}
