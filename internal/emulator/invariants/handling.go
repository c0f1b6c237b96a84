package invariants

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
)

// handling is an event that shows which configuration was in force on an edge machine.
type handling struct {
	attempt *Attempt
	outcome outcome
	at      Seconds // when it was observed
}

func (h handling) String() string {
	if h.outcome.service != "" {
		return fmt.Sprintf("%v, sent at %.3f s and run by %s", h.attempt, h.attempt.Sent, h.outcome.service)
	}
	return fmt.Sprintf("%v, sent at %.3f s and refused with %d", h.attempt, h.attempt.Sent, h.outcome.status)
}

// handlings returns the requests that ran, and those that an edge machine rejected by the configuration, ordered by
// time.
func (c *checker) handlings() (all []handling) {
	for i := range c.Arrivals {
		arrival := &c.Arrivals[i]
		if a := c.attemptByID[arrival.ID]; a != nil && arrival.ran() {
			all = append(all, handling{attempt: a, outcome: outcome{service: arrival.Service}, at: arrival.Started})
		}
	}
	for i := range c.Attempts {
		if a := &c.Attempts[i]; a.rejectedByConfiguration() {
			all = append(all, handling{attempt: a, outcome: outcome{status: a.Status}, at: a.Done})
		}
	}
	slices.SortFunc(all, func(a, b handling) int { return cmp.Compare(a.at, b.at) })
	return all
}

// rejectedByConfiguration reports whether the system itself answered that the route or the key is unknown.
func (a *Attempt) rejectedByConfiguration() bool {
	if a.End != Answered || a.Seal != "" {
		return false
	}
	switch a.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return true
	}
	return false
}

// checkHandlings checks ROUTE and CONFIG for every handling: a valid configuration allows it, no version in that
// configuration had been superseded long enough ago, and the machine did not return to an older version.
func (c *checker) checkHandlings() {
	seen := observations{}
	for _, h := range c.handlings() {
		c.checkHandling(h, seen)
	}
}

func (c *checker) checkHandling(h handling, seen observations) {
	items := c.relevantItems(h.attempt)
	lowest, ok := c.explain(h, items, h.acceptable)
	if !ok {
		c.reportUnexplained(h, items)
		return
	}
	if required, bound := c.requiredVersions(h, items); bound &&
		!c.explainable(h, items, required.restrict(h.acceptable)) {
		c.report(ruleConfig, h.at, "%v: only allowed by a version that should have been superseded (%s)", h, required)
	}
	startedAt := c.processStart(h.attempt.Edge, h.attempt.Sent)
	observed := c.observedVersions(h, items, seen, startedAt)
	if !c.explainable(h, items, observed.restrict(h.acceptable)) {
		c.report(ruleConfig, h.at, "%v: the machine returned to an older version (%s)", h, observed)
	}
	if h.outcome.service != "" { // only requests that ran on a server count as observations
		seen.add(h, lowest, startedAt)
	}
}

// sent accepts the versions that had been sent when a handling was observed.
func (h handling) sent(_ string, v *Version) bool { return v == nil || v.Sent <= h.at }

// acceptable accepts the versions that had been sent and may be in force.
func (h handling) acceptable(item string, v *Version) bool {
	return h.sent(item, v) && (v == nil || v.acceptable())
}

// reportUnexplained reports a handling that no acceptable configuration allows.
func (c *checker) reportUnexplained(h handling, items []string) {
	if c.explainable(h, items, h.sent) {
		c.report(ruleConfig, h.at, "%v: only allowed by a refused or invalid version", h)
		return
	}
	if h.outcome.service != "" {
		c.report(ruleRoute, h.at, "%v: no configuration that was sent allows it", h)
		return
	}
	if in, _ := c.inContact(h.attempt.Edge, h.attempt.Sent, h.at); in {
		c.report(ruleConfig, h.at, "%v: no configuration that was sent leads to this answer", h)
	}
}

// requiredVersions returns the lowest version of each item that may be in force for a handling, given how long ago
// versions were acknowledged. bound is false if the machine was out of contact, because it may then have any version.
func (c *checker) requiredVersions(h handling, items []string) (required floor, bound bool) {
	in, stretched := c.inContact(h.attempt.Edge, h.attempt.Sent, h.at)
	if !in && !stretched {
		return nil, false
	}
	limit := c.Bounds.ConfigApply
	if !in {
		limit += c.Bounds.MaxStretch
	}
	required = floor{}
	for _, item := range items {
		for _, v := range c.versionsByItem[item] {
			if v.Valid && v.Acked+limit < h.attempt.Sent {
				required.raise(item, v.Number)
			}
		}
	}
	return required, true
}

// observation is a version of an item that a server observed in force on a machine.
type observation struct {
	at     Seconds
	number uint64
}

// observations contains the observations of each item on each machine, in order of time. Their numbers ascend within
// one process of the machine.
type observations map[machineItem][]observation

type machineItem struct{ machine, item string }

// add records the lowest versions that explain a handling by a process that started at startedAt.
func (o observations) add(h handling, lowest map[string]uint64, startedAt Seconds) {
	for item, number := range lowest {
		key := machineItem{machine: h.attempt.Edge, item: item}
		earlier := o[key]
		newest := len(earlier) - 1
		if number > 0 && (newest < 0 || earlier[newest].number < number || earlier[newest].at < startedAt) {
			o[key] = append(earlier, observation{at: h.at, number: number})
		}
	}
}

// observedVersions returns the lowest version of each item that may be in force for a handling, given the earlier
// observations of the same process.
func (c *checker) observedVersions(h handling, items []string, seen observations, startedAt Seconds) floor {
	observed := floor{}
	slack := c.revertSlack(h.attempt.Edge, h.attempt.Sent)
	for _, item := range items {
		for _, o := range seen[machineItem{machine: h.attempt.Edge, item: item}] {
			if o.at >= startedAt && o.at+slack < h.attempt.Sent {
				observed.raise(item, o.number)
			}
		}
	}
	return observed
}
