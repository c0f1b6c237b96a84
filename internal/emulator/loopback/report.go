package loopback

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

// Outcome is the result of a request for its client, over all its attempts.
type Outcome int

// Outcomes of requests.
const (
	Served   Outcome = iota
	Rejected         // answered with a status that proves that it was not executed
	Failed           // every other result
)

// FinishedRequest is a request of a client that has ended.
type FinishedRequest struct {
	Outcome Outcome
	At      invariants.Seconds // end of the request, seconds since the start of the traffic
}

// Report is the result of a run.
type Report struct {
	Violations     []invariants.Violation
	Classes        []ClassResult // sorted by number of requests, highest first
	Requests       []FinishedRequest
	Processes      []ProcessUsage
	Notes          []string
	Dir            string             // folder with settings, disks and logs
	TrafficStart   invariants.Seconds // seconds since the start of the run, as are the times of Violations
	ChangeP99      invariants.Seconds // time from a call of the operator to its acknowledgement, 99th percentile
	HealthChecks   int64              // number of health checks that servers received
	Arrivals       int                // number of requests that servers received, without health checks
	GatewayAnswers map[string]int     // number of attempts that the gateway itself answered, by status and text
}

// ClassResult contains the numbers of requests of one class. Each request is counted once, by the result of its last
// attempt.
type ClassResult struct {
	Class    string
	Requests int
	Served   int
	InTime   int                // served within the latency target
	Rejected int                // answered with a status that proves that they were not executed
	Failed   map[string]int     // all others, by status or by the way the attempt ended
	P50      invariants.Seconds // median latency of served requests
	P99      invariants.Seconds // 99th percentile of the latency of served requests
}

// ProcessUsage is the resource usage of a process over all its incarnations.
type ProcessUsage struct {
	Process    string
	CPU        time.Duration
	PeakMemory int64 // resident memory, bytes; incarnations that ended by themselves are left out
	Starts     int   // number of times that it was started
}

// usageReport returns the part of the report that must be collected while the processes are running.
func (cl *cluster) usageReport() *Report {
	r := &Report{Dir: cl.options.Dir, TrafficStart: cl.trafficStart}
	for _, m := range cl.machines() {
		for _, p := range m.processes {
			r.Processes = append(r.Processes, p.usage())
		}
	}
	return r
}

// evaluate adds the part of the report that needs the complete log. All goroutines of the run must have ended.
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
	r.GatewayAnswers = cl.gatewayAnswers
	r.Classes = countByClass(l.Attempts)
	r.Requests = finishedRequests(l.Attempts, r.TrafficStart)
}

// endsRequest reports whether an attempt was the last one of a request that is not a canary.
func endsRequest(t *invariants.Attempt) bool { return t.Last && !t.Probe }

// outcomeOf returns the outcome of a request, given its last attempt.
func outcomeOf(t *invariants.Attempt) Outcome {
	switch {
	case t.End == invariants.Answered && t.Status/100 == 2:
		return Served
	case isRejected(t):
		return Rejected
	}
	return Failed
}

// finishedRequests returns the requests that have ended, without canaries.
func finishedRequests(attempts []invariants.Attempt, trafficStart invariants.Seconds) (list []FinishedRequest) {
	for n := range attempts {
		if t := &attempts[n]; endsRequest(t) {
			list = append(list, FinishedRequest{Outcome: outcomeOf(t), At: t.Done - trafficStart})
		}
	}
	return list
}

// countByClass counts the requests that have ended, without canaries, by class.
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

// count counts a request by its last attempt, and reports whether it was served.
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
