package quota

import (
	"math"
	"slices"
)

// Times in seconds, and bounds.
const (
	HandoverFence       = 2.0   // a name is answered for once it has been mine for so long: the keeper before has stopped, all holders have told me
	LateReportRetention = 3.0   // a holder that is late counts so long with what it told last
	MaxRetention        = 600.0 // for which a cycle is kept at most
	MaxNames            = 1 << 17
	MaxReporters          = 8192 // of one name
)

const (
	maxNameLength = 1024 // bytes
	maxViews      = 32
	serialWords   = 8 // words of serials that are remembered, 64 each
)

// Owner returns which of the living keeps a name, the same for everyone who sees the same living: the one whose hash with the
// name is highest. When one goes, only its names move. Empty: nobody lives.
func Owner(name string, living []string) (owner string) {
	best := uint64(0)
	for _, node := range living {
		// FNV-1a, and a finish upon it: FNV alone leaves the high bits of names alike that differ at their ends.
		x := fnv(fnv(fnv(0xcbf29ce484222325, name), "\x00"), node)
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		x *= 0xc4ceb9fe1a85ec53
		x ^= x >> 33
		if owner == "" || x > best || x == best && node < owner {
			owner, best = node, x
		}
	}
	return owner
}

func fnv(x uint64, s string) uint64 {
	for i := range len(s) {
		x = (x ^ uint64(s[i])) * 0x100000001b3
	}
	return x
}

// CounterTable keeps the counters of one control node. Time never goes back. Callers keep it to one goroutine at a time.
type CounterTable struct {
	views  []view // the one in force last; those before that the fence still asks for
	names  map[string]*counter
	newest *counter // by last use
	oldest *counter
}

// view is who shared the names from a moment on.
type view struct {
	from   float64
	living []string // nil: nobody answers
	me     string
}

// NewCounterTable makes a keeper that answers for nothing yet.
func NewCounterTable() *CounterTable { return &CounterTable{names: map[string]*counter{}} }

// SetMembers says who shares the names from now on: the control nodes that live, of which this is one, and whether they are more than
// half of the core. It may be called as often as one likes; only a difference counts.
func (k *CounterTable) SetMembers(now float64, living []string, me string, quorum bool) {
	v := view{from: now, me: me}
	if quorum && slices.Contains(living, me) {
		v.living = slices.Clone(living)
		slices.Sort(v.living)
		v.living = slices.Compact(v.living)
	}
	if n := len(k.views); n > 0 {
		if last := &k.views[n-1]; last.me == me && slices.Equal(last.living, v.living) {
			return
		}
	}
	if len(k.views) == maxViews {
		// It changes faster than anyone can follow: nothing is served until it has been calm for a fence.
		k.views = append(k.views[:0], view{from: now, me: me})
	}
	k.views = append(k.views, v)
	k.trim(now)
}

// trim leaves out views that ended before the fence.
func (k *CounterTable) trim(now float64) {
	for len(k.views) > 1 && k.views[1].from <= now-HandoverFence {
		k.views = slices.Delete(k.views, 0, 1)
	}
}

// owns tells whether a name is mine now, and whether it has been for as long as the fence.
func (k *CounterTable) owns(now float64, name string) (mine, sure bool) {
	k.trim(now)
	sure = len(k.views) > 0 && k.views[0].from <= now-HandoverFence
	for _, v := range k.views {
		mine = len(v.living) > 0 && Owner(name, v.living) == v.me
		sure = sure && mine
	}
	return mine, sure
}

// Add takes a report, or answers a question, at a time in seconds.
//
// A keeper takes reports as soon as it owns the name, so that it knows all of them once it is sure to be the only keeper; until
// then it answers without OK. Each holder counts with what it reported for the cycle, or, where it has not reported yet, with its
// last report if that is younger than LateReportRetention. PerRequest reports count for their own cycle alone; the serials of one
// holder rise, and far fewer than 64*serialWords of them are under way at once (a holder that begins anew takes another name, or
// begins above). A name is kept for Retention after its last use, LateReportRetention at least. Cycles must not be longer than
// HandoverFence, or a new keeper would answer before all holders have reported to it.
func (k *CounterTable) Add(now float64, r *Report) Total {
	k.expire(now)
	mine, sure := k.owns(now, r.Name)
	if !mine || !r.valid() {
		return Total{}
	}
	c := k.names[r.Name]
	if c == nil {
		if r.ReadOnly {
			return Total{OK: sure}
		}
		c = k.newCounter(r.Name)
	} else {
		k.unlink(c)
	}
	k.link(c)
	c.used = now
	if !math.IsNaN(r.Retention) {
		c.keep = min(max(c.keep, r.Retention, LateReportRetention), MaxRetention)
	}
	if !r.ReadOnly {
		c.add(now, r)
	}
	switch {
	case !sure && r.ReadOnly:
		return Total{}
	case !sure:
		return Total{Reporters: 1}
	}
	sum, holders := c.total(now, r.Cycle)
	return Total{OK: true, Sum: sum, Reporters: holders}
}

// valid tells whether a report from another process can be one at all.
func (r *Report) valid() bool {
	if len(r.Name) > maxNameLength || len(r.Reporter) > maxNameLength || r.Reporter == "" && !r.ReadOnly {
		return false
	}
	return !math.IsNaN(r.Amount) && !math.IsInf(r.Amount, 0) && r.Amount >= 0
}

// newCounter makes a counter, in the place of the one that was used longest ago where there are too many.
func (k *CounterTable) newCounter(name string) *counter {
	if len(k.names) >= MaxNames {
		k.drop(k.oldest)
	}
	c := &counter{name: name, keep: LateReportRetention, holders: map[string]*holder{}, till: math.Inf(-1)}
	k.names[name] = c
	return c
}

// expire forgets names that nobody has used for long; a few at a time.
func (k *CounterTable) expire(now float64) {
	for range 4 {
		c := k.oldest
		if c == nil || now < c.used+c.keep {
			return
		}
		k.drop(c)
	}
}

func (k *CounterTable) drop(c *counter) {
	k.unlink(c)
	delete(k.names, c.name)
}

func (k *CounterTable) link(c *counter) {
	c.older, c.newer = k.newest, nil
	if k.newest != nil {
		k.newest.newer = c
	} else {
		k.oldest = c
	}
	k.newest = c
}

func (k *CounterTable) unlink(c *counter) {
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		k.oldest = c.newer
	}
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		k.newest = c.older
	}
	c.older, c.newer = nil, nil
}

// Len counts the names that are kept.
func (k *CounterTable) Len() int { return len(k.names) }
