package quota

import (
	"math"
	"slices"
)

// Times, in seconds, and limits.
const (
	// HandoverFence is the time for which a node must have owned a counter before it answers with the sum. By then the
	// previous owner has stopped answering, and all reporters have reported to the new one.
	HandoverFence = 2.0
	// LateReportRetention is the time for which a late reporter counts with its last report.
	LateReportRetention = 3.0
	// MaxRetention is the longest time for which a counter is kept after its last use, whatever a report requests.
	MaxRetention = 600.0
	// MaxNames bounds the counters of a node. Beyond it, a new counter replaces the least recently used one.
	MaxNames = 1 << 17
	// MaxReporters bounds the reporters of a counter. Beyond it, a new reporter replaces the reporter with the oldest
	// last report.
	MaxReporters = 8192
)

const (
	maxNameLength  = 1024 // bytes
	maxViews       = 32   // views that are kept; if there are more, all answers are suspended (see SetMembers)
	expiredPerCall = 4    // largest number of counters that one call of Add removes, which bounds the time of the call
)

// CounterTable holds the counters of a control node. The times passed to its methods must not decrease. Calls must be
// serialized.
type CounterTable struct {
	views    []view // views in effect during the last HandoverFence, the current one last
	counters map[string]*counter
	newest   *counter // most recently used
	oldest   *counter // least recently used
}

// view is the membership over which the counters are distributed from a point in time on.
type view struct {
	from float64  // time in seconds
	live []string // sorted; empty means no counter is answered
	self string
}

// NewCounterTable returns a table that answers for no counter yet.
func NewCounterTable() *CounterTable { return &CounterTable{counters: map[string]*counter{}} }

// SetMembers sets the control nodes over which the counters are distributed from now on: the names of the live nodes,
// which include self, the name of this node. Quorum reports whether they are a majority. SetMembers may be called at
// any rate; a call that changes nothing has no effect.
func (ct *CounterTable) SetMembers(now float64, live []string, self string, quorum bool) {
	next := view{from: now, self: self}
	if quorum && slices.Contains(live, self) {
		next.live = slices.Clone(live)
		slices.Sort(next.live)
		next.live = slices.Compact(next.live)
	}
	if n := len(ct.views); n > 0 {
		if last := &ct.views[n-1]; last.self == self && slices.Equal(last.live, next.live) {
			return
		}
	}
	if len(ct.views) == maxViews {
		// The membership changes too often: no counter is answered until it has been stable for HandoverFence.
		ct.views = append(ct.views[:0], view{from: now, self: self})
	}
	ct.views = append(ct.views, next)
	ct.trimViews(now)
}

// trimViews removes the views that ended before the last HandoverFence.
func (ct *CounterTable) trimViews(now float64) {
	for len(ct.views) > 1 && ct.views[1].from <= now-HandoverFence {
		ct.views = slices.Delete(ct.views, 0, 1)
	}
}

// owns reports whether this node owns a counter now, and whether that is confirmed because it has owned the counter for
// the whole HandoverFence.
func (ct *CounterTable) owns(now float64, name string) (owned, confirmed bool) {
	ct.trimViews(now)
	confirmed = len(ct.views) > 0 && ct.views[0].from <= now-HandoverFence
	for _, v := range ct.views {
		owned = len(v.live) > 0 && Owner(name, v.live) == v.self
		confirmed = confirmed && owned
	}
	return owned, confirmed
}

// Add processes a report or a read-only query, at a time in seconds.
//
// An owner accepts reports as soon as it owns the counter, so that it has all of them once its ownership is confirmed;
// until then it answers without OK, by a partial total. Each reporter counts with its report for the cycle or, if it
// has not reported yet, with its last report if that is younger than LateReportRetention. PerRequest reports count for
// their own cycle alone. The serials of a reporter must rise, and far fewer than serialWindow of them may be in flight
// at once; a restarted process reports under another name or continues above its last serial. After its last use, a
// counter is kept for the longest Retention that a report requested, at least for LateReportRetention and at most for
// MaxRetention. Cycles must not be longer than HandoverFence, because otherwise a new owner would answer before all
// reporters have reported to it.
func (ct *CounterTable) Add(now float64, report *Report) Total {
	ct.expire(now)
	owned, confirmed := ct.owns(now, report.Name)
	if !owned || !report.valid() {
		return Total{}
	}
	c := ct.counters[report.Name]
	if c == nil {
		if report.ReadOnly {
			return Total{OK: confirmed}
		}
		c = ct.newCounter(report.Name)
	} else {
		ct.unlink(c)
	}
	ct.link(c)
	c.usedAt = now
	if !math.IsNaN(report.Retention) {
		c.retention = min(max(c.retention, report.Retention, LateReportRetention), MaxRetention)
	}
	if !report.ReadOnly {
		c.add(now, report)
	}
	sum, reporters := c.total(now, report.Cycle)
	return Total{OK: confirmed, Sum: sum, Reporters: reporters}
}

// newCounter creates a counter. If there are too many, it replaces the least recently used one.
func (ct *CounterTable) newCounter(name string) *counter {
	if len(ct.counters) >= MaxNames {
		ct.drop(ct.oldest)
	}
	c := &counter{
		name:      name,
		retention: LateReportRetention,
		reporters: map[string]*reporter{},
		cached:    cachedTotal{validTo: math.Inf(-1)},
	}
	ct.counters[name] = c
	return c
}

// expire removes counters that have not been used for their retention, at most expiredPerCall in a call. It starts with
// the least recently used counter and stops at a counter whose retention has not passed.
func (ct *CounterTable) expire(now float64) {
	for range expiredPerCall {
		c := ct.oldest
		if c == nil || now < c.usedAt+c.retention {
			return
		}
		ct.drop(c)
	}
}

// drop removes a counter from the table.
func (ct *CounterTable) drop(c *counter) {
	ct.unlink(c)
	delete(ct.counters, c.name)
}

// link inserts a counter into the list as the most recently used one.
func (ct *CounterTable) link(c *counter) {
	c.older, c.newer = ct.newest, nil
	if ct.newest != nil {
		ct.newest.newer = c
	} else {
		ct.oldest = c
	}
	ct.newest = c
}

// unlink removes a counter from the list.
func (ct *CounterTable) unlink(c *counter) {
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		ct.oldest = c.newer
	}
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		ct.newest = c.older
	}
	c.older, c.newer = nil, nil
}

// Len returns the number of counters.
func (ct *CounterTable) Len() int { return len(ct.counters) }
