package faulttest

import (
	"fmt"
	"slices"
	"time"
)

const nothingObserved = "no observation of the members was made in that period"

// evaluation evaluates one expectation after the scenario has ended.
type evaluation struct {
	player      *player
	expectation Expectation
	members     []string // members that the expectation names; all if it names none
	observers   []string // observers that it names; all if it names none
	from        time.Time
	limit       time.Duration // time limit, multiplied by the slack
}

// evaluators contains, by kind of expectation, the functions that determine whether an expectation is satisfied. They
// leave Finding.Expectation empty.
var evaluators = map[ExpectationKind]func(*evaluation) Finding{
	ExpectState:           (*evaluation).evaluateState,
	ExpectNever:           (*evaluation).evaluateNever,
	ExpectAgree:           (*evaluation).evaluateAgree,
	ExpectReachability:    (*evaluation).evaluateReachability,
	ExpectNotReachability: (*evaluation).evaluateNotReachability,
	ExpectAnswered:        (*evaluation).evaluateAnswered,
	ExpectLease:           (*evaluation).evaluateLease,
	ExpectFencing:         (*evaluation).evaluateFencing,
	ExpectUsage:           (*evaluation).evaluateUsage,
	ExpectUniqueTokens:    (*evaluation).evaluateUniqueTokens,
	ExpectWarned:          (*evaluation).evaluateWarned,
	ExpectStaleRejected:   (*evaluation).evaluateStaleRejected,
	ExpectBilled:          (*evaluation).evaluateBilled,
	ExpectAnnounced:       (*evaluation).evaluateAnnounced,
	ExpectGarbageRejected: (*evaluation).evaluateGarbageRejected,
}

// evaluate determines whether an expectation is satisfied. It is called after all observation has ended.
func (p *player) evaluate(expectation Expectation) Finding {
	e := &evaluation{
		player:      p,
		expectation: expectation,
		members:     expectation.Members,
		observers:   expectation.Observers,
		from:        p.startedAt.Add(expectation.After),
		limit:       p.withSlack(expectation.Within),
	}
	if len(e.members) == 0 {
		e.members = p.env.scenario.Names()
	}
	if len(e.observers) == 0 {
		e.observers = p.env.scenario.Names()
	}
	finding := evaluators[expectation.Kind](e)
	finding.Expectation = expectation
	return finding
}

// deadline returns the time by which the expectation must have become true.
func (e *evaluation) deadline() time.Time { return e.from.Add(e.limit) }

// end returns the end of the period that an expectation applies to if it is about a whole period, that is, about what
// must never happen or about the use of quotas. The slack does not extend this period.
func (e *evaluation) end() time.Time { return e.from.Add(e.expectation.Within) }

func (e *evaluation) evaluateState() (f Finding) {
	f.Passed, f.Text = true, "by all"
	for _, n := range e.player.nodesOf(e.observers) {
		if n.responsive() == nil {
			continue
		}
		for _, member := range e.members {
			if member == n.name {
				continue
			}
			at, reported := n.reported(member, e.expectation.Value, e.from)
			if !reported || at.After(e.deadline()) {
				f.Passed = false
				f.Text = fmt.Sprintf("%s did not report %s as %s in time", n.name, member, e.expectation.Value)
				continue
			}
			f.Times = append(f.Times, max(0, at.Sub(e.from)))
		}
	}
	if len(f.Times) == 0 {
		f.Passed, f.Text = false, "no running observer reported it in time"
	}
	return f
}

// reported returns the first time, at from or later, at which a node reported another one in a state. It returns from
// itself if this was the state that the node had reported last before from.
func (n *node) reported(member, state string, from time.Time) (at time.Time, ok bool) {
	before := ""
	for _, change := range n.stateChanges() {
		if change.Name != member {
			continue
		}
		if change.at.Before(from) {
			before = change.To
			continue
		}
		if before == state {
			return from, true
		}
		if change.To == state {
			return change.at, true
		}
	}
	return from, before == state
}

func (e *evaluation) evaluateNever() (f Finding) {
	reports, observers := 0, e.player.nodesOf(e.observers)
	for _, n := range observers {
		for _, change := range n.stateChanges() {
			isInTime := change.at.After(e.from) && change.at.Before(e.end())
			if !isInTime || change.To != e.expectation.Value || !slices.Contains(e.members, change.Name) {
				continue
			}
			reports++
			seconds := change.at.Sub(e.from).Seconds()
			f.Text = fmt.Sprintf("%s reported %s as %s after %.1f s", n.name, change.Name, change.To, seconds)
		}
	}
	f.Passed = reports == 0 && len(observers) > 0
	if f.Passed {
		f.Text = fmt.Sprintf("reported by none of %d observers", len(observers))
	} else {
		f.Text = fmt.Sprintf("%d times; %s", reports, f.Text)
	}
	return f
}

func (e *evaluation) evaluateNotReachability() (f Finding) {
	f.Text = nothingObserved
	for _, o := range e.player.observations {
		if o.at.Before(e.from) || o.at.After(e.end()) {
			continue
		}
		f.Passed, f.Text = true, ""
		for _, member := range e.members {
			if o.reachability[member] == e.expectation.Value {
				return Finding{Text: fmt.Sprintf("%s reported it after %.1f s", member, o.at.Sub(e.from).Seconds())}
			}
		}
	}
	return f
}

func (e *evaluation) evaluateAgree() Finding {
	return e.findObservation(func(o observation) bool { return o.agree })
}

func (e *evaluation) evaluateReachability() Finding {
	return e.findObservation(func(o observation) bool {
		for _, member := range e.expectation.Members {
			if o.reachability[member] != e.expectation.Value {
				return false
			}
		}
		if len(e.expectation.Members) > 0 {
			return true
		}
		for _, reachability := range o.reachability {
			if reachability != e.expectation.Value {
				return false
			}
		}
		return true
	})
}

// findObservation looks for the first observation within the time limit that satisfies a condition.
func (e *evaluation) findObservation(isExpected func(observation) bool) (f Finding) {
	for _, o := range e.player.observations {
		if o.at.Before(e.from) || o.at.After(e.deadline()) {
			continue
		}
		if isExpected(o) {
			return Finding{Passed: true, Times: []time.Duration{o.at.Sub(e.from)}, Text: "once"}
		}
		f.Text = fmt.Sprint("last ", o.reachability)
	}
	if f.Text == "" {
		f.Text = nothingObserved
	}
	return f
}

func (e *evaluation) evaluateAnswered() Finding {
	requests := e.player.requests
	return Finding{
		Passed: requests.unanswered == 0 && requests.served > 0,
		Text: fmt.Sprintf(
			"%d of %d without an answer, %d served %s",
			requests.unanswered,
			requests.sent,
			requests.served,
			requests.lastError,
		),
	}
}

func (e *evaluation) evaluateGarbageRejected() (f Finding) {
	f.Passed = true
	for _, n := range e.player.nodesOf(e.members) {
		report := n.report()
		if report == nil || report.Rejected == 0 {
			f.Passed = false
			f.Text += n.name + " counted no refused packets "
			continue
		}
		f.Text += fmt.Sprintf("%s %d ", n.name, report.Rejected)
	}
	return f
}

// evaluateUsage compares the number of each customer's requests that arrived at the quote servers with its quota.
func (e *evaluation) evaluateUsage() (f Finding) {
	usage := make([]float64, e.player.env.scenario.Customers)
	for id, arrival := range e.player.env.arrived() {
		customer, ok := customerOf(id)
		isInTime := arrival.First.After(e.from) && arrival.First.Before(e.end())
		if ok && customer < len(usage) && isInTime {
			usage[customer]++
		}
	}
	quota := e.player.env.scenario.Quota * e.expectation.Within.Seconds()
	f.Passed = true
	for _, used := range usage {
		f.Passed = f.Passed && used <= e.expectation.Max*quota && used >= e.expectation.Min*quota
	}
	f.Text = fmt.Sprintf("%.2f to %.2f of the quota", slices.Min(usage)/quota, slices.Max(usage)/quota)
	return f
}

func (e *evaluation) evaluateWarned() (f Finding) {
	first := map[string]time.Duration{} // by member
	for _, w := range e.player.warnings {
		_, known := first[w.member]
		isInTime := w.at.After(e.from) && w.at.Before(e.deadline())
		if !known && isInTime && slices.Contains(e.members, w.member) {
			first[w.member] = w.at.Sub(e.from)
		}
	}
	f.Passed = len(first) == 0
	if e.expectation.Value == warnedSome {
		f.Passed = len(first) == len(e.members)
	}
	for _, after := range first {
		f.Times = append(f.Times, after)
	}
	f.Text = fmt.Sprintf("%d of %d members were warned", len(first), len(e.members))
	return f
}
