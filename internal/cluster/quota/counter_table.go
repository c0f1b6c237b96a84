package quota

import (
	"math"
	"slices"
)

// Times in seconds, and bounds.
const (
	// HandoverFence is the time for which a node has owned a counter before it answers for it: by then the owner before
	// has stopped, and all reporters have reported here.
	HandoverFence = 2.0
	// LateReportRetention is the time for which a late reporter counts with its last report.
	LateReportRetention = 3.0
	// MaxRetention is the longest time for which a cycle is kept.
	MaxRetention = 600.0
	// MaxNames bounds the counters of one node; the one used longest ago is dropped for a new one.
	MaxNames = 1 << 17
	// MaxReporters bounds the reporters of one counter; the one that reported longest ago is dropped for a new one.
	MaxReporters = 8192
)

const (
	maxNameLength  = 1024 // bytes
	maxViews       = 32
	expiredPerCall = 4 // counters that one call of Add forgets at most
)

// CounterTable keeps the counters of one control node. Time never goes back. Calls must be serialized.
type CounterTable struct {
	views    []view // the current one last; those before it that the fence still needs
	counters map[string]*counter
	newest   *counter // by last use
	oldest   *counter
}

// view is the membership that the counters are distributed over from a time on.
type view struct {
	from float64
	live []string // sorted; empty: nobody answers
	self string
}

// NewCounterTable makes a table that answers for no counter yet.
func NewCounterTable() *CounterTable { return &CounterTable{counters: map[string]*counter{}} }

// SetMembers sets which control nodes the counters are distributed over from now on: the live ones, of which this is
// one, and whether they are a majority. It may be called at any rate; only a difference counts.
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
		// The membership flaps: nothing is answered until it has been stable for a fence.
		ct.views = append(ct.views[:0], view{from: now, self: self})
	}
	ct.views = append(ct.views, next)
	ct.trimViews(now)
}

// trimViews drops the views that ended before the fence.
func (ct *CounterTable) trimViews(now float64) {
	for len(ct.views) > 1 && ct.views[1].from <= now-HandoverFence {
		ct.views = slices.Delete(ct.views, 0, 1)
	}
}

// owns reports whether this node owns a counter now, and whether it has for as long as the fence.
func (ct *CounterTable) owns(now float64, name string) (owned, sure bool) {
	ct.trimViews(now)
	sure = len(ct.views) > 0 && ct.views[0].from <= now-HandoverFence
	for _, v := range ct.views {
		owned = len(v.live) > 0 && Owner(name, v.live) == v.self
		sure = sure && owned
	}
	return owned, sure
}

// Add takes a report, or answers a question, at a time in seconds.
//
// An owner takes reports as soon as it owns the counter, so that it has all of them once it is sure to be the only
// owner; until then it answers without OK. Each reporter counts with what it reported for the cycle, or, where it has
// not reported yet, with its last report if that is younger than LateReportRetention. PerRequest reports count for
// their own cycle alone; the serials of one reporter rise, and far fewer than serialWindow of them are in flight at
// once (a process that starts anew reports under another name, or continues above). A counter is kept for Retention
// after its last use, LateReportRetention at least. Cycles must not be longer than HandoverFence, or a new owner would
// answer before all reporters have reported to it.
func (ct *CounterTable) Add(now float64, report *Report) Total {
	ct.expire(now)
	owned, sure := ct.owns(now, report.Name)
	if !owned || !report.valid() {
		return Total{}
	}
	c := ct.counters[report.Name]
	if c == nil {
		if report.ReadOnly {
			return Total{OK: sure}
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
	switch {
	case !sure && report.ReadOnly:
		return Total{}
	case !sure:
		return Total{Reporters: 1}
	}
	sum, reporters := c.total(now, report.Cycle)
	return Total{OK: true, Sum: sum, Reporters: reporters}
}

// newCounter makes a counter, in the place of the one that was used longest ago where there are too many.
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

// expire forgets counters that have not been used for their retention; a few at a time.
func (ct *CounterTable) expire(now float64) {
	for range expiredPerCall {
		c := ct.oldest
		if c == nil || now < c.usedAt+c.retention {
			return
		}
		ct.drop(c)
	}
}

// drop forgets a counter.
func (ct *CounterTable) drop(c *counter) {
	ct.unlink(c)
	delete(ct.counters, c.name)
}

// link makes a counter the newest of the list.
func (ct *CounterTable) link(c *counter) {
	c.older, c.newer = ct.newest, nil
	if ct.newest != nil {
		ct.newest.newer = c
	} else {
		ct.oldest = c
	}
	ct.newest = c
}

// unlink takes a counter out of the list.
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

// Len counts the counters that are kept.
func (ct *CounterTable) Len() int { return len(ct.counters) }
