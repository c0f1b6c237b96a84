package quota

import "math"

// counter is a counter of a CounterTable, identified by its name. It is linked into the table's list, which is ordered
// by last use.
type counter struct {
	name         string
	newer, older *counter
	usedAt       float64 // time of the last use, in seconds
	retention    float64 // time for which the counter is kept after its last use, in seconds
	reporters    map[string]*reporter
	cached       cachedTotal
}

// cachedTotal caches the total of a counter for one cycle. It is valid until the first of the late reporters stops
// counting.
type cachedTotal struct {
	cycle     int64
	sum       float64
	reporters int
	validTo   float64 // time in seconds
}

// contribution is what a reporter adds to the total of a cycle.
type contribution struct {
	amount  float64
	counts  bool
	validTo float64 // end of the time for which this holds, in seconds
}

// reporter holds the reports of a reporter for the two newest cycles that it reported.
type reporter struct {
	reportedAt            float64 // time of the last report for the newest cycle, in seconds
	cycle, earlierCycle   int64
	amount, earlierAmount float64  // in the unit of Report.Amount
	hasEarlier            bool     // earlierCycle and earlierAmount are set
	serials               *serials // serials of PerRequest reports; nil means none received
}

// add applies a report, and corrects the cached total by the difference.
func (c *counter) add(now float64, report *Report) {
	r := c.reporters[report.Reporter]
	if r == nil {
		if len(c.reporters) >= MaxReporters {
			c.evict()
		}
		r = &reporter{reportedAt: now, cycle: report.Cycle}
		if report.PerRequest {
			r.serials = &serials{}
		}
		c.reporters[report.Reporter] = r
	} else if now < c.cached.validTo {
		if before := r.contribution(now, c.cached.cycle); before.counts {
			c.cached.sum -= before.amount
			c.cached.reporters--
		}
	}
	r.update(now, report)
	if now < c.cached.validTo {
		if after := r.contribution(now, c.cached.cycle); after.counts {
			c.cached.sum += after.amount
			c.cached.reporters++
			c.cached.validTo = min(c.cached.validTo, after.validTo)
		}
	}
}

// update applies a report to its reporter. A report for a cycle older than the two that are kept is ignored, because no
// reporter reads that cycle any more.
func (r *reporter) update(now float64, report *Report) {
	if report.PerRequest {
		if r.serials == nil {
			r.serials = &serials{}
		}
		if !r.serials.record(report.Serial) {
			return
		}
	}
	amount := report.Amount
	switch {
	case report.Cycle > r.cycle:
		r.earlierCycle, r.earlierAmount, r.hasEarlier = r.cycle, r.amount, true
		r.cycle, r.amount, r.reportedAt = report.Cycle, amount, now
	case report.Cycle == r.cycle:
		if report.PerRequest {
			amount += r.amount
		}
		r.amount, r.reportedAt = amount, now
	case !r.hasEarlier || report.Cycle >= r.earlierCycle:
		if report.PerRequest && r.hasEarlier && report.Cycle == r.earlierCycle {
			amount += r.earlierAmount
		}
		r.earlierCycle, r.earlierAmount, r.hasEarlier = report.Cycle, amount, true
	}
}

// contribution returns what a reporter adds to the total of a cycle. A reporter that has not reported for the cycle
// counts with its last report for LateReportRetention, unless its reports count by request.
func (r *reporter) contribution(now float64, cycle int64) contribution {
	switch {
	case r.cycle == cycle:
		return contribution{amount: r.amount, counts: true, validTo: math.Inf(1)}
	case r.hasEarlier && r.earlierCycle == cycle:
		return contribution{amount: r.earlierAmount, counts: true, validTo: math.Inf(1)}
	case r.serials != nil:
		return contribution{validTo: math.Inf(1)}
	}
	validTo := r.reportedAt + LateReportRetention
	return contribution{amount: r.amount, counts: now < validTo, validTo: validTo}
}

// total returns the sum of a cycle and the number of its reporters. The total of the newest cycle is cached, because
// many reporters ask for it.
func (c *counter) total(now float64, cycle int64) (sum float64, reporters int) {
	if now < c.cached.validTo && cycle == c.cached.cycle {
		return c.cached.sum, c.cached.reporters
	}
	validTo, newest := math.Inf(1), cycle
	for name, r := range c.reporters {
		newest = max(newest, r.cycle)
		added := r.contribution(now, cycle)
		if added.counts {
			sum += added.amount
			reporters++
			validTo = min(validTo, added.validTo)
		} else if now >= r.reportedAt+max(c.retention, LateReportRetention) {
			delete(c.reporters, name)
		}
	}
	if cycle == newest {
		c.cached = cachedTotal{cycle: cycle, sum: sum, reporters: reporters, validTo: validTo}
	}
	return sum, reporters
}

// evict drops the reporter with the oldest last report.
func (c *counter) evict() {
	oldest, at := "", math.Inf(1)
	for name, r := range c.reporters {
		if r.reportedAt < at || r.reportedAt == at && name < oldest {
			oldest, at = name, r.reportedAt
		}
	}
	delete(c.reporters, oldest)
	c.cached.validTo = math.Inf(-1)
}
