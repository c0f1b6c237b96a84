package testcluster

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/emulator/fakes"
)

// PlanLine is what became of the requests of a plan's members: those that were on it all the time, and those that
// changed apart.
type PlanLine struct {
	Name     string
	Members  int
	Asked    int
	Outcomes [5]int
	Advice   int // of the refusals
	Arrived  float64
	Billed   float64
	Unknown  float64
	Beyond   float64 // of what was billed
	P50, P99 time.Duration
}

// Report is what a run showed.
type Report struct {
	Events       []string
	Lines        []PlanLine
	Arrived      float64 // units of tries that arrived whole, as the stand-in quote servers counted
	ArrivedTries int
	Billed       usage.Sum
	Unknown      usage.Sum
	Unmetered    usage.Sum
	Repeats      int     // batches that came to billing again
	Conflicts    int     // and were another then
	Covered      bool    // for each member: billed at most what arrived, and no more missing than is listed as unknown
	TwiceUnsafe  int     // requests that must not run twice and may have
	Nearest      float64 // to a ceiling: 1 is at it
	Used         float64 // of the new quota, by members who were moved to basic and asked for twice of it; 0: not measured
	UsedAlways   float64 // the same of members who were on basic all along
	Problems     []string
	arrivals     map[string]fakes.Arrival
	requests     map[string]*request
}

func (r *Run) changedBy(now time.Time) bool {
	holds := r.changed.Load()
	return holds != nil && now.After(*holds)
}

// planOf names the group a member is counted in.
func (r *Run) planOf(i int) string {
	if r.Changes && i%5 == 0 {
		return []string{"basic to plus", "plus to basic"}[i%2]
	}
	return []string{"basic", "plus"}[i%2]
}

// compare gathers what clients and quote servers saw.
func (r *Run) compare() *Report {
	p := &Report{Events: r.events, arrivals: map[string]fakes.Arrival{}, requests: r.load.all}
	for _, q := range r.quotes {
		for id, a := range q.Arrived() {
			was := p.arrivals[id]
			if was.Times == 0 || a.First.Before(was.First) {
				was.First = a.First
			}
			was.Times += a.Times
			was.Runs += a.Runs
			p.arrivals[id] = was
		}
	}
	for id, a := range p.arrivals {
		q := p.requests[id]
		if q == nil {
			p.Problems = append(p.Problems, "a request arrived that nobody sent: "+id)
			continue
		}
		p.Arrived += q.units
		p.ArrivedTries++
		if q.unsafe && a.Runs > 1 {
			p.TwiceUnsafe++
		}
	}
	names := []string{"basic", "plus"}
	if r.Changes {
		names = append(names, "basic to plus", "plus to basic")
	}
	for _, name := range names {
		line := PlanLine{Name: name}
		for i := range r.Members {
			if r.planOf(i) == name {
				line.Members++
			}
		}
		var took []time.Duration
		for id, q := range p.requests {
			if r.planOf(q.member) != name {
				continue
			}
			line.Asked++
			line.Outcomes[q.outcome]++
			if q.advice {
				line.Advice++
			}
			if q.outcome == Served {
				took = append(took, q.took)
			}
			if p.arrivals[id].Times > 0 {
				line.Arrived += q.units
			}
		}
		slices.Sort(took)
		if n := len(took); n > 0 {
			line.P50, line.P99 = took[n/2], took[n*99/100]
		}
		p.Lines = append(p.Lines, line)
	}
	p.Nearest = r.nearest(p)
	return p
}

// nearest is how near the uses of members that were on the plan plus all the time came to its ceiling: by the
// times at which tries arrived, the slack widened by what the rate gives in 150 ms (PROTOCOL).
func (r *Run) nearest(p *Report) (nearest float64) {
	byMember := map[int][]string{}
	for id := range p.arrivals {
		if q := p.requests[id]; q != nil && r.planOf(q.member) == "plus" {
			byMember[q.member] = append(byMember[q.member], id)
		}
	}
	available := plus.LimitBurst + plus.LimitSlack + 0.15*plus.LimitRate
	for _, ids := range byMember {
		slices.SortFunc(ids, func(a, b string) int { return p.arrivals[a].First.Compare(p.arrivals[b].First) })
		owed, last := 0.0, r.begun
		for _, id := range ids {
			at := p.arrivals[id].First
			owed = math.Max(0, owed-plus.LimitRate*at.Sub(last).Seconds()) + p.requests[id].units
			last = at
			nearest = math.Max(nearest, owed/available)
		}
	}
	return nearest
}

// bill compares the bill with what arrived, member by member.
func (r *Run) bill(p *Report) {
	totals := r.billing.Totals()
	tally := totals.Tally
	p.Billed, p.Unknown = tally.Total()
	p.Unmetered, p.Repeats, p.Conflicts = totals.Unmetered, totals.Repeats, totals.Conflicts
	arrived := map[string]int64{}
	for id := range p.arrivals {
		if q := p.requests[id]; q != nil {
			arrived[member(q.member)] += usage.ToMicro(q.units)
		}
	}
	known, unknown := map[string]int64{}, map[string]int64{}
	for k, s := range tally {
		if k.Unknown {
			unknown[k.Member] += s.Units
		} else {
			known[k.Member] += s.Units
		}
	}
	p.Covered = true
	for i := range r.Members {
		m := member(i)
		if known[m] > arrived[m] || arrived[m] > known[m]+unknown[m] {
			p.Covered = false
			p.Problems = append(
				p.Problems,
				fmt.Sprintf("%s: %d micro-units arrived, %d billed, %d unknown", m, arrived[m], known[m], unknown[m]),
			)
		}
	}
	for n := range p.Lines {
		l := &p.Lines[n]
		for k, s := range tally {
			if i := number(k.Member); i >= 0 && i < r.Members && r.planOf(i) == l.Name {
				units := s.InUnits()
				switch {
				case k.Unknown:
					l.Unknown += units
				default:
					l.Billed += units
					if k.OverQuota {
						l.Beyond += units
					}
				}
			}
		}
	}
	p.Used = r.used(p, func(i int) bool { return i%5 == 0 && i%2 == 1 })
	p.UsedAlways = r.used(p, func(i int) bool { return i%5 != 0 && i%2 == 0 })
}

// used is what members on the plan basic who ask for far more used from two cycles after the change on, as their
// tries arrived, by what their quotas allow.
func (r *Run) used(p *Report, who func(i int) bool) float64 {
	changed := r.changed.Load()
	if changed == nil {
		return 0
	}
	from := changed.Add(4 * time.Second) // two cycles of two seconds: the least there are, with quotas above 4
	end := r.begun.Add(time.Duration(r.Seconds * float64(time.Second)))
	span := end.Sub(from).Seconds()
	if span <= 0 {
		return 0
	}
	used := map[int]float64{}
	for id, a := range p.arrivals {
		if q := p.requests[id]; q != nil && a.First.After(from) && a.First.Before(end) {
			used[q.member] += q.units
		}
	}
	sum, allowed := 0.0, 0.0
	for i := range r.Members {
		if who(i) && heavy(i) && i%20 != 2 { // without those who have booked
			sum += used[i]
			allowed += basic.Rate * span
		}
	}
	if allowed == 0 {
		return 0
	}
	return sum / allowed
}

// number is the opposite of member; -1: none.
func number(name string) int {
	var n int
	if _, err := fmt.Sscanf(name, "%x", &n); err != nil {
		return -1
	}
	return n - 0x1000
}

// Good tells whether a run showed what it must.
func (p *Report) Good() bool {
	wrong := 0
	for _, l := range p.Lines {
		wrong += l.Outcomes[Wrong]
	}
	return p.Covered && p.Conflicts == 0 && p.TwiceUnsafe == 0 && p.Nearest <= 1 && p.Unmetered.Requests == 0 &&
		wrong == 0 &&
		len(p.Problems) == 0
}

// Write prints a report as tables.
func (p *Report) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(
		t,
		"plan\tmembers\tasked\tserved\trefused\twith advice\tfailed\tlost\tp50\tp99\t"+
			"units arrived\tbilled\tbeyond quota\tunknown\t",
	)
	for _, l := range p.Lines {
		fmt.Fprintf(
			t,
			"%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			l.Name,
			l.Members,
			l.Asked,
			l.Outcomes[Served],
			l.Outcomes[Refused],
			l.Advice,
			l.Outcomes[Failed],
			l.Outcomes[Lost],
			l.P50.Round(100*time.Microsecond),
			l.P99.Round(100*time.Microsecond),
			l.Arrived,
			l.Billed,
			l.Beyond,
			l.Unknown,
		)
	}
	t.Flush()
	fmt.Fprintf(w, "\narrived whole at the quote servers  %.0f units in %d tries\n", p.Arrived, p.ArrivedTries)
	fmt.Fprintf(w, "billed                              %.0f units in %d tries\n", p.Billed.InUnits(), p.Billed.Requests)
	fmt.Fprintf(
		w,
		"not known whether they arrived      %.0f units in %d tries, listed apart\n",
		p.Unknown.InUnits(),
		p.Unknown.Requests,
	)
	verdict := "yes"
	if !p.Covered {
		verdict = "NO"
	}
	fmt.Fprintf(w, "the bill is right for each member   %s\n", verdict)
	fmt.Fprintf(w, "batches that came again             %d, as something else %d\n", p.Repeats, p.Conflicts)
	fmt.Fprintf(w, "summary-sends that may have run twice  %d\n", p.TwiceUnsafe)
	fmt.Fprintf(w, "nearest to a ceiling                %.2f (1 is at it)\n", p.Nearest)
	if p.Used > 0 {
		fmt.Fprintf(
			w,
			"used of the quota, by members who ask for twice of it  "+
				"%.3f moved to basic, from two cycles on; %.3f on it all along\n",
			p.Used,
			p.UsedAlways,
		)
	}
	if len(p.Problems) > 0 {
		fmt.Fprintln(w, "\nproblems:\n  "+strings.Join(p.Problems, "\n  "))
	}
}
