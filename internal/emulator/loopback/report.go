package loopback

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

// Outcome is how a request ended for its client, over all its attempts.
type Outcome int

// Outcomes of requests.
const (
	Served   Outcome = iota
	Rejected         // answered with a proof that it was not executed
	Failed           // all others
)

// FinishedRequest is a request of a client that ended.
type FinishedRequest struct {
	Outcome Outcome
	At      invariants.Seconds // since the traffic began
}

// Report is the result of a run.
type Report struct {
	Violations   []invariants.Violation
	Classes      []ClassResult // the class with the most requests first
	Requests     []FinishedRequest
	Processes    []ProcessUsage
	Notes        []string
	Dir          string             // settings, disks and logs
	TrafficStart invariants.Seconds // since the start of the run, as are the times of Violations
	ChangeP99    invariants.Seconds // from a call of the operator to its acknowledgement
	HealthChecks int64              // that servers received
	Arrivals     int                // requests that servers received, other than health checks
	OwnAnswers   map[string]int     // answers that no server gave, by status and text: of all attempts
}

// ClassResult counts the requests of one class. A request counts once, by how its last attempt ended.
type ClassResult struct {
	Class    string
	Requests int
	Served   int
	InTime   int                // served within the latency target
	Rejected int                // answered with a proof that they were not executed
	Failed   map[string]int     // the others, by status or ending
	P50      invariants.Seconds // latency of the served
	P99      invariants.Seconds // latency of the served
}

// ProcessUsage is what a process used over all its incarnations.
type ProcessUsage struct {
	Process    string
	CPU        time.Duration
	PeakMemory int64 // bytes
	Starts     int
}

// usageReport returns the part of the report that needs the processes to run.
func (cl *cluster) usageReport() *Report {
	r := &Report{Dir: cl.options.Dir, TrafficStart: cl.trafficStart}
	for _, m := range cl.machines() {
		for _, p := range m.processes {
			r.Processes = append(r.Processes, p.usage())
		}
	}
	return r
}

// evaluate adds the part of the report that needs the complete log: all goroutines of the run have ended.
func (r *Report) evaluate(cl *cluster) {
	l := cl.recorder.snapshot()
	l.Bounds = cl.options.Bounds
	for _, m := range cl.edge {
		l.Edges = append(l.Edges, m.name)
	}
	r.Violations = invariants.Check(l)
	r.Arrivals = len(l.Arrivals)
	r.HealthChecks = cl.healthChecks.Load()
	r.ChangeP99 = quantile(cl.changeLatencies.values, 0.99)
	r.Notes = cl.recorder.allNotes()
	r.OwnAnswers = cl.ownAnswers
	r.Classes = countByClass(l.Attempts)
	r.Requests = finishedRequests(l.Attempts, r.TrafficStart)
}

// endsRequest tells whether an attempt was the last one of a request that is not a canary.
func endsRequest(t *invariants.Attempt) bool { return t.Last && !t.Probe }

// outcomeOf returns how a request ended, by its last attempt.
func outcomeOf(t *invariants.Attempt) Outcome {
	switch {
	case t.End == invariants.Answered && t.Status/100 == 2:
		return Served
	case isRejected(t):
		return Rejected
	}
	return Failed
}

// finishedRequests returns the requests that ended, without canaries.
func finishedRequests(attempts []invariants.Attempt, trafficStart invariants.Seconds) (list []FinishedRequest) {
	for n := range attempts {
		if t := &attempts[n]; endsRequest(t) {
			list = append(list, FinishedRequest{Outcome: outcomeOf(t), At: t.Done - trafficStart})
		}
	}
	return list
}

// countByClass counts the requests that ended, without canaries.
func countByClass(attempts []invariants.Attempt) []ClassResult {
	results := map[string]*ClassResult{}
	served := map[string][]float64{}
	for n := range attempts {
		t := &attempts[n]
		if !endsRequest(t) {
			continue
		}
		result := results[t.Class]
		if result == nil {
			result = &ClassResult{Class: t.Class, Failed: map[string]int{}}
			results[t.Class] = result
		}
		if result.count(t) {
			served[t.Class] = append(served[t.Class], t.Done-t.FirstSent)
		}
	}
	var list []ClassResult
	for name, result := range results {
		result.P50 = quantile(served[name], 0.5)
		result.P99 = quantile(served[name], 0.99)
		list = append(list, *result)
	}
	slices.SortFunc(list, func(a, b ClassResult) int { return cmp.Compare(b.Requests, a.Requests) })
	return list
}

// count counts a request by its last attempt, and tells whether it was served.
func (c *ClassResult) count(t *invariants.Attempt) (served bool) {
	c.Requests++
	switch outcome := outcomeOf(t); {
	case outcome == Served:
		c.Served++
		if t.Done-t.FirstSent <= t.LatencyTarget {
			c.InTime++
		}
		return true
	case outcome == Rejected:
		c.Rejected++
	case t.End != invariants.Answered:
		c.Failed[t.End.String()]++
	default:
		c.Failed[fmt.Sprint(t.Status)]++
	}
	return false
}
