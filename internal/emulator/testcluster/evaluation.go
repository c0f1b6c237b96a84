package testcluster

import (
	"fmt"
	"slices"
	"time"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/emulator/fakes"
)

// evaluation compares what clients, quote servers and billing observed in a run.
type evaluation struct {
	cluster  *cluster
	requests map[string]*request      // requests that clients sent, by ID
	arrivals map[string]fakes.Arrival // by the ID of the request, over all quote servers
	report   *Report
}

// evaluate compares what clients and quote servers observed. checkBill compares the bill, once all usage is exported.
func (c *cluster) evaluate() *evaluation {
	e := &evaluation{
		cluster:  c,
		requests: c.load.requests,
		arrivals: map[string]fakes.Arrival{},
		report:   &Report{},
	}
	for _, q := range c.quotes {
		e.addArrivals(q.Arrived())
	}
	e.countArrivals()
	for _, name := range c.groups() {
		e.report.Groups = append(e.report.Groups, e.groupStats(name))
	}
	e.report.PeakLimitUse = e.peakLimitUse()
	return e
}

func (e *evaluation) problem(format string, args ...any) {
	e.report.Problems = append(e.report.Problems, fmt.Sprintf(format, args...))
}

// addArrivals adds the arrivals at one quote server to those of the others.
func (e *evaluation) addArrivals(arrivals map[string]fakes.Arrival) {
	for id, a := range arrivals {
		total := e.arrivals[id]
		if total.Times == 0 || a.First.Before(total.First) {
			total.First = a.First
		}
		total.Times += a.Times
		total.Runs += a.Runs
		e.arrivals[id] = total
	}
}

func (e *evaluation) countArrivals() {
	for id, a := range e.arrivals {
		q := e.requests[id]
		if q == nil {
			e.problem("a quote server received a request that no client sent: %s", id)
			continue
		}
		e.report.ArrivedUnits += q.units
		e.report.ArrivedRequests++
		if q.atMostOnce && a.Runs > 1 {
			e.report.ExecutedTwice++
		}
	}
}

// groupStats counts the requests of a group's members as the clients observed them.
func (e *evaluation) groupStats(name string) GroupStats {
	stats := GroupStats{Name: name}
	for i := range e.cluster.Members {
		if e.cluster.groupOf(i) == name {
			stats.Members++
		}
	}
	var latencies []time.Duration
	for id, q := range e.requests {
		if e.cluster.groupOf(q.member) != name {
			continue
		}
		stats.Requests++
		stats.outcomes[q.outcome]++
		if q.retryAfter {
			stats.WithRetryAfter++
		}
		if q.outcome == served {
			latencies = append(latencies, q.latency)
		}
		if e.arrivals[id].Times > 0 {
			stats.ArrivedUnits += q.units
		}
	}
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		stats.P50, stats.P99 = latencies[n/2], latencies[n*99/100]
	}
	return stats
}

// limitTimeSlack is a time in seconds. The units that a rate limit allows in this time are added to its slack, because
// a request arrives at a quote server some time after the ingress has decided to let it through (PROTOCOL).
const limitTimeSlack = 0.15

// peakLimitUse returns the peak use of the rate limit of the plan plus, as a fraction of the limit, by the members that
// were on that plan all the time. It is computed from the times at which their requests arrived.
func (e *evaluation) peakLimitUse() (peak float64) {
	idsByMember := map[int][]string{}
	for id := range e.arrivals {
		if q := e.requests[id]; q != nil && e.cluster.groupOf(q.member) == plus.Name {
			idsByMember[q.member] = append(idsByMember[q.member], id)
		}
	}
	available := plus.LimitBurst + plus.LimitSlack + limitTimeSlack*plus.LimitRate
	for _, ids := range idsByMember {
		slices.SortFunc(ids, func(a, b string) int { return e.arrivals[a].First.Compare(e.arrivals[b].First) })
		level, last := 0.0, e.cluster.loadStartedAt // fill level of a leaky bucket, and when it was computed last
		for _, id := range ids {
			at := e.arrivals[id].First
			level = max(0, level-plus.LimitRate*at.Sub(last).Seconds()) + e.requests[id].units
			last = at
			peak = max(peak, level/available)
		}
	}
	return peak
}

// checkBill compares the bill with what arrived, member by member.
func (e *evaluation) checkBill() {
	totals := e.cluster.billing.Totals()
	e.report.Billed, e.report.Unknown = totals.Tally.Total()
	e.report.Unmetered = totals.Unmetered
	e.report.RepeatedBatches, e.report.ConflictingBatches = totals.Repeats, totals.Conflicts
	known, unknown := map[string]int64{}, map[string]int64{}
	for key, sum := range totals.Tally {
		if key.Unknown {
			unknown[key.Member] += sum.Units
		} else {
			known[key.Member] += sum.Units
		}
		e.addToGroup(key, sum)
	}
	arrived := e.arrivedByMember()
	e.report.BillMatches = true
	for i := range e.cluster.Members {
		m := memberName(i)
		if known[m] > arrived[m] || arrived[m] > known[m]+unknown[m] {
			e.report.BillMatches = false
			e.problem("%s: %d micro-units arrived, %d billed, %d unknown", m, arrived[m], known[m], unknown[m])
		}
	}
	e.report.MovedUse = e.quotaUse(func(i int) bool { return firstPlan(i) == &plus && changesPlan(i) })
	e.report.SteadyUse = e.quotaUse(func(i int) bool { return firstPlan(i) == &basic && !changesPlan(i) })
}

// arrivedByMember returns the units that arrived of each member, in micro-units.
func (e *evaluation) arrivedByMember() map[string]int64 {
	arrived := map[string]int64{}
	for id := range e.arrivals {
		if q := e.requests[id]; q != nil {
			arrived[memberName(q.member)] += usage.ToMicroUnits(q.units)
		}
	}
	return arrived
}

// addToGroup adds a sum on the bill to the counts of its member's group.
func (e *evaluation) addToGroup(key usage.Key, sum usage.Sum) {
	i := memberNumber(key.Member)
	if i < 0 || i >= e.cluster.Members {
		return
	}
	name := e.cluster.groupOf(i)
	n := slices.IndexFunc(e.report.Groups, func(g GroupStats) bool { return g.Name == name })
	group := &e.report.Groups[n]
	units := sum.InUnits()
	if key.Unknown {
		group.UnknownUnits += units
		return
	}
	group.BilledUnits += units
	if key.OverQuota {
		group.OverQuotaUnits += units
	}
}

// quotaAdjustment is the time from the change of plans until quota use is measured, in which the ingresses adjust their
// quota slices. It is two cycles, which take two seconds each for quotas of at least 4 units per second.
const quotaAdjustment = 4 * time.Second

// quotaUse returns what chosen heavy members on the plan basic, other than those with bookings, used as a fraction of
// their quotas, by the times at which their requests arrived. The measurement starts quotaAdjustment after the change
// of plans. It returns 0 if there is nothing to measure.
func (e *evaluation) quotaUse(chosen func(member int) bool) float64 {
	c := e.cluster
	changedAt := c.changedAt.Load()
	if changedAt == nil {
		return 0
	}
	from, end := changedAt.Add(quotaAdjustment), c.end()
	span := end.Sub(from).Seconds()
	if span <= 0 {
		return 0
	}
	used := map[int]float64{}
	for id, a := range e.arrivals {
		if q := e.requests[id]; q != nil && a.First.After(from) && a.First.Before(end) {
			used[q.member] += q.units
		}
	}
	sum, allowed := 0.0, 0.0
	for i := range c.Members {
		if chosen(i) && heavy(i) && !hasBooking(i) {
			sum += used[i]
			allowed += basic.Rate * span
		}
	}
	if allowed == 0 {
		return 0
	}
	return sum / allowed
}
