package invariants

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

func (v *Version) String() string {
	if v == nil {
		return "nothing"
	}
	if v.Dropped {
		return fmt.Sprintf("%08x, dropped", v.Number)
	}
	return fmt.Sprintf("%08x, %.200v", v.Number, v.Body)
}

// acceptable reports whether a version may be in force: its call was valid and not clearly rejected.
func (v *Version) acceptable() bool { return v.Valid && !v.Refused }

// numberOf returns a version's number; 0 for nil, the absent item.
func numberOf(v *Version) uint64 {
	if v == nil {
		return 0
	}
	return v.Number
}

// checkAcknowledged checks CONFIG: no invalid call is acknowledged.
func (c *checker) checkAcknowledged() {
	for _, v := range c.Versions {
		if !v.Valid && v.Acked < Never {
			c.report(ruleConfig, v.Acked, "%s %08x was acknowledged, but its call is invalid", v.Item, v.Number)
		}
	}
}

// checkReadBack checks the configuration that was read back at the end of the run: CONFIG, and LOST if there was a
// closing fault.
func (c *checker) checkReadBack() {
	if len(c.ConfigReads) == 0 {
		c.report(ruleConfig, Never, "no configuration was read back at the end of the run")
	}
	for _, r := range c.ConfigReads {
		for item, versions := range c.versionsByItem {
			c.checkItem(r, item, versions)
		}
		for item, body := range r.Items {
			if c.versionsByItem[item] == nil {
				c.report(ruleConfig, r.At, "%s reads back %s, which nobody sent: %s",
					r.Machine, item, describeBody(body, true))
			}
		}
	}
}

// checkItem checks that an item was read back as the last acknowledged version, or as a later one that may be in force.
func (c *checker) checkItem(r ConfigRead, item string, versions []*Version) {
	acked := lastAcknowledged(versions, r.At)
	body, present := r.Items[item]
	if acked == nil && !present {
		return
	}
	for _, v := range versions {
		if v.acceptable() && v.Number >= numberOf(acked) && v.reads(body, present) {
			return
		}
	}
	if acked != nil && acked.Acked < c.Closing && c.Closing < Never {
		c.report(ruleLost, r.At, "%s reads %s back as %s after the closing fault, but %s was acknowledged last",
			r.Machine, item, describeBody(body, present), acked)
		return
	}
	c.report(ruleConfig, r.At, "%s reads %s back as %s, but %v was acknowledged last",
		r.Machine, item, describeBody(body, present), acked)
}

// lastAcknowledged returns the valid version with the highest number that was acknowledged before a time, or
// nil if there is none.
func lastAcknowledged(versions []*Version, before Seconds) (last *Version) {
	for _, v := range versions {
		if v.Valid && v.Acked < before && (last == nil || v.Number > last.Number) {
			last = v
		}
	}
	return last
}

// reads reports whether an item in this version is read back as this body or, if present is false, as absent.
func (v *Version) reads(body any, present bool) bool {
	if v.Dropped || !present {
		return v.Dropped && !present
	}
	return reflect.DeepEqual(v.Body, body)
}

func describeBody(body any, present bool) string {
	if !present {
		return "absent"
	}
	return fmt.Sprintf("%.200v", body)
}

// versionFilter reports whether an item may have a version in force. A nil version means that the item is absent.
type versionFilter func(item string, v *Version) bool

// floor is the lowest version that each item may have on a machine. An item that is not in the map may have any
// version.
type floor map[string]uint64

// raise raises the lowest version of an item to a number, if it is below that.
func (f floor) raise(item string, number uint64) { f[item] = max(f[item], number) }

// restrict returns a filter that accepts what the given one does, without the versions below the floor.
func (f floor) restrict(filter versionFilter) versionFilter {
	return func(item string, v *Version) bool { return filter(item, v) && numberOf(v) >= f[item] }
}

func (f floor) String() string {
	if len(f) == 0 {
		return "no lowest versions"
	}
	var out []string
	for item, n := range f {
		out = append(out, fmt.Sprintf("%s at least %08x", item, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
