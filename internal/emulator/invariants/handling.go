package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// outcome is what a request's handling shows of the configuration that was in force: the service that ran it, or a
// refusal.
type outcome struct {
	service string // empty: it was refused
	status  int
}

// whole is a choice of one version for each item that bears on a request; nil: the item is not there.
type complete []*Version

// shows tells whether a request is handled so under a choice of versions.
func (w complete) shows(t *Attempt, o outcome) bool {
	var route *Route
	var tenant *Tenant
	for _, v := range w {
		if v == nil || v.Dropped {
			continue
		}
		if r := v.Route; r != nil && strings.HasPrefix(t.Target, r.Prefix) &&
			(route == nil || len(r.Prefix) > len(route.Prefix)) {
			route = r
		}
		if c := v.Tenant; c != nil {
			if slices.Contains(c.Keys, t.Key) {
				tenant = c
			}
		}
	}
	known := route != nil && (route.Public || tenant != nil)
	switch {
	case o.service != "":
		return known && slices.Contains(route.Services, o.service)
	case o.status == 404:
		return route == nil
	default: // 401, 403
		return route != nil && !known
	}
}

// bearing is the items that may bear on a request: the routes at its place, and who ever held its key.
func (j *checker) bearing(t *Attempt) (items []string) {
	for item, vs := range j.items {
		if slices.ContainsFunc(vs, func(v *Version) bool {
			return v.Route != nil && v.Route.Host == t.Host && strings.HasPrefix(t.Target, v.Route.Prefix) ||
				v.Tenant != nil && t.Key != "" && slices.Contains(v.Tenant.Keys, t.Key)
		}) {
			items = append(items, item)
		}
	}
	slices.Sort(items)
	return items
}

// possible tells whether some choice of versions shows the outcome, where each item has a version that allow lets
// through; and which number is the least that each item has in such a choice.
func (j *checker) possible(
	t *Attempt,
	o outcome,
	items []string,
	allow func(item string, v *Version) bool,
) (least map[string]uint64, ok bool) {
	least = map[string]uint64{}
	choice := make(complete, len(items))
	var try func(n int)
	try = func(n int) {
		if n < len(items) {
			for _, v := range append([]*Version{nil}, j.items[items[n]]...) {
				if allow(items[n], v) {
					choice[n] = v
					try(n + 1)
				}
			}
			return
		}
		if !choice.shows(t, o) {
			return
		}
		for n, v := range choice {
			number := uint64(0)
			if v != nil {
				number = v.Number
			}
			if old, is := least[items[n]]; !is || number < old || !ok {
				least[items[n]] = number
			}
		}
		ok = true
	}
	try(0)
	return least, ok
}

// handling is one event that shows what was in force on a machine.
type handling struct {
	t  *Attempt
	o  outcome
	at Seconds // it was seen
}

func (h handling) String() string {
	if h.o.service != "" {
		return fmt.Sprintf("%v, sent at %.3f s and run by %s", h.t, h.t.Sent, h.o.service)
	}
	return fmt.Sprintf("%v, sent at %.3f s and refused with %d", h.t, h.t.Sent, h.o.status)
}

func (j *checker) handled() (hs []handling) {
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		if t := j.tries[a.ID]; t != nil && a.ran() {
			hs = append(hs, handling{t, outcome{service: a.Service}, a.Started})
		}
	}
	for i := range j.Attempts {
		t := &j.Attempts[i]
		if t.End == Answered && t.Seal == "" && (t.Status == 401 || t.Status == 403 || t.Status == 404) {
			hs = append(hs, handling{t, outcome{status: t.Status}, t.Done})
		}
	}
	slices.SortFunc(hs, func(a, b handling) int { return cmp.Compare(a.at, b.at) })
	return hs
}

// shown is what a server saw in force on a machine.
type shown struct {
	at     Seconds
	number uint64
}

// handlings judges ROUTE and CONFIG: late, back, and what must never be in force.
func (j *checker) handlings() {
	seen := map[string][]shown{} // by machine and item
	for _, h := range j.handled() {
		items := j.bearing(h.t)
		sent := func(_ string, v *Version) bool { return v == nil || v.Sent <= h.at }
		proper := func(item string, v *Version) bool { return sent(item, v) && (v == nil || v.Valid && !v.Refused) }
		least, ok := j.possible(h.t, h.o, items, proper)
		if !ok {
			if _, ever := j.possible(h.t, h.o, items, sent); ever {
				j.add("CONFIG", h.at, "%v: only what was refused or is invalid allows it", h)
			} else if h.o.service != "" {
				j.add("ROUTE", h.at, "%v: no configuration that was sent allows it", h)
			} else if in, _ := j.inContact(h.t.Edge, h.t.Sent, h.at); in {
				j.add("CONFIG", h.at, "%v: no configuration that was sent says so", h)
			}
			continue
		}
		if floor, bound := j.due(h); bound {
			if _, ok := j.possible(
				h.t,
				h.o,
				items,
				func(item string, v *Version) bool { return proper(item, v) && number(v) >= floor[item] },
			); !ok {
				j.add("CONFIG", h.at, "%v: as only a version allows that was overtaken in time (%s)", h, floors(floor))
			}
		}
		key := func(item string) string { return h.t.Edge + " " + item }
		startedAt := j.processStart(h.t.Edge, h.t.Sent)
		floor := map[string]uint64{}
		for _, item := range items {
			for _, s := range seen[key(item)] {
				if s.at >= startedAt && s.at+j.slack(h.t.Edge, h.t.Sent) < h.t.Sent {
					floor[item] = max(floor[item], s.number)
				}
			}
		}
		if _, ok := j.possible(
			h.t,
			h.o,
			items,
			func(item string, v *Version) bool { return proper(item, v) && number(v) >= floor[item] },
		); !ok {
			j.add("CONFIG", h.at, "%v: the machine went back (%s)", h, floors(floor))
		}
		if h.o.service == "" {
			continue // only what a server saw counts as seen
		}
		for item, n := range least {
			if s := seen[key(item)]; n > 0 && (len(s) == 0 || s[len(s)-1].number < n || s[len(s)-1].at < startedAt) {
				seen[key(item)] = append(s, shown{h.at, n})
			}
		}
	}
}

func number(v *Version) uint64 {
	if v == nil {
		return 0
	}
	return v.Number
}

// slack is what a machine that is slowed or was frozen has more of.
func (j *checker) slack(machine string, at Seconds) Seconds {
	for _, t := range j.Faults {
		if t.Machine == machine && t.From <= at && at <= t.To+j.Bounds.Contact {
			return 8 * j.Bounds.RevertSlack
		}
	}
	return j.Bounds.RevertSlack
}

// due is the least version that each item that bears on a request must have had on its machine; bound tells whether
// the machine is held to it.
func (j *checker) due(h handling) (floor map[string]uint64, bound bool) {
	in, stretched := j.inContact(h.t.Edge, h.t.Sent, h.at)
	late := j.Bounds.ConfigApply
	if !in {
		late += j.Bounds.MaxStretch
	}
	if !in && !stretched {
		return nil, false
	}
	floor = map[string]uint64{}
	for _, item := range j.bearing(h.t) {
		for _, v := range j.items[item] {
			if v.Valid && v.Acked+late < h.t.Sent {
				floor[item] = max(floor[item], v.Number)
			}
		}
	}
	return floor, true
}

// proper tells whether every configuration that may be in force while a request is on its way has its route and its
// key.
func (j *checker) proper(t *Attempt) bool {
	items := j.bearing(t)
	floor := map[string]uint64{}
	for _, item := range items {
		for _, v := range j.items[item] {
			if v.Valid && v.Acked < t.Sent-j.Bounds.ConfigApply-j.Bounds.MaxStretch {
				floor[item] = max(floor[item], v.Number)
			}
		}
	}
	for _, status := range []int{401, 404} {
		if _, refusable := j.possible(t, outcome{status: status}, items, func(item string, v *Version) bool {
			return number(v) >= floor[item] && (v == nil || v.Valid && !v.Refused && v.Sent <= t.Done)
		}); refusable {
			return false
		}
	}
	return true
}

func floors(floor map[string]uint64) string {
	var out []string
	for item, n := range floor {
		out = append(out, fmt.Sprintf("%s at least %08x", item, n))
	}
	slices.Sort(out)
	if len(out) == 0 {
		return "no item has one"
	}
	return strings.Join(out, ", ")
}
