package testcluster

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"mulleinrouter/internal/dataplane/usage"
)

// GroupStats counts the requests of a group of members: those that were on a plan all the time, or those that changed
// from one plan to the other.
type GroupStats struct {
	Name           string
	Members        int
	Requests       int
	WithRetryAfter int     // rejected requests whose answer has Retry-After
	ArrivedUnits   float64 // at quote servers; each request counts once
	BilledUnits    float64
	UnknownUnits   float64       // recorded by ingresses that did not know whether they arrived
	OverQuotaUnits float64       // part of BilledUnits that exceeded quotas
	P50, P99       time.Duration // latency of served requests

	outcomes [outcomes]int // number of requests by outcome
}

// Report is the result of a run.
type Report struct {
	Groups             []GroupStats
	ArrivedUnits       float64 // units of the requests that quote servers received whole; each request counts once
	ArrivedRequests    int
	Billed             usage.Sum
	Unknown            usage.Sum // recorded by ingresses that did not know whether the requests arrived
	Unmetered          usage.Sum // not recorded for a member, because the disk was full
	RepeatedBatches    int       // number of times that billing received a batch again
	ConflictingBatches int       // of these, the times that the content differed from the first
	BillMatches        bool      // for each member: billed <= arrived <= billed + unknown
	ExecutedTwice      int       // number of requests that must not run twice and may have done so
	PeakLimitUse       float64   // as a fraction of the rate limit
	MovedUse           float64   // use by heavy members that moved to basic, as a fraction of their quota; 0: unknown
	SteadyUse          float64   // use by heavy members that stayed on basic, as a fraction of their quota; 0: unknown
	Problems           []string
}

// Passed reports whether the bill is correct and complete, no request that must not run twice may have done so, no rate
// limit was exceeded, no answer had an unexpected status, and no other problem was found.
func (r *Report) Passed() bool {
	for _, g := range r.Groups {
		if g.outcomes[wrong] > 0 {
			return false
		}
	}
	return r.BillMatches &&
		r.ConflictingBatches == 0 &&
		r.ExecutedTwice == 0 &&
		r.PeakLimitUse <= 1 &&
		r.Unmetered.Requests == 0 &&
		len(r.Problems) == 0
}

// Write prints a report as tables.
func (r *Report) Write(w io.Writer) {
	r.writeGroups(w)
	fmt.Fprintln(w)
	r.writeTotals(w)
	if len(r.Problems) > 0 {
		fmt.Fprintln(w, "\nproblems:\n  "+strings.Join(r.Problems, "\n  "))
	}
}

// latencyPrecision is the unit to which a report rounds latencies.
const latencyPrecision = 100 * time.Microsecond

func (r *Report) writeGroups(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer t.Flush()
	fmt.Fprintln(t, "plan\tmembers\trequests\tserved\trejected\tRetry-After\tfailed\tlost\tp50\tp99\t"+
		"units arrived\tbilled\tover quota\tunknown\t")
	for _, g := range r.Groups {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			g.Name,
			g.Members,
			g.Requests,
			g.outcomes[served],
			g.outcomes[rejected],
			g.WithRetryAfter,
			g.outcomes[failed],
			g.outcomes[lost],
			g.P50.Round(latencyPrecision),
			g.P99.Round(latencyPrecision),
			g.ArrivedUnits,
			g.BilledUnits,
			g.OverQuotaUnits,
			g.UnknownUnits,
		)
	}
}

func (r *Report) writeTotals(w io.Writer) {
	fmt.Fprintf(w, "received by the quote servers       %.0f units in %d requests\n", r.ArrivedUnits, r.ArrivedRequests)
	fmt.Fprintf(w, "billed                              %.0f units in %d requests\n",
		r.Billed.InUnits(), r.Billed.Requests)
	fmt.Fprintf(w, "unknown whether received            %.0f units in %d requests, listed separately\n",
		r.Unknown.InUnits(), r.Unknown.Requests)
	verdict := "yes"
	if !r.BillMatches {
		verdict = "NO"
	}
	fmt.Fprintf(w, "the bill is right for each member   %s\n", verdict)
	fmt.Fprintf(w, "batches received again              %d, with other content %d\n",
		r.RepeatedBatches, r.ConflictingBatches)
	fmt.Fprintf(w, "summary-sends that may have run twice  %d\n", r.ExecutedTwice)
	fmt.Fprintf(w, "peak use of a rate limit            %.2f (1 is the limit)\n", r.PeakLimitUse)
	if r.MovedUse > 0 {
		fmt.Fprintf(w, "quota used by members who request twice as much  "+
			"%.3f moved to basic, after two cycles; %.3f on basic all the time\n", r.MovedUse, r.SteadyUse)
	}
}
