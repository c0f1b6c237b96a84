package invariants

import "net/http"

// checkDepartures checks DRAIN: no request reaches a server later than Bounds.Drain after its departure was
// acknowledged.
func (c *checker) checkDepartures() {
	for i := range c.Arrivals {
		arrival := &c.Arrivals[i]
		attempt := c.attemptByID[arrival.ID]
		if attempt == nil || arrival.Status == http.StatusMisdirectedRequest {
			continue // a server answers 421 to a request for another server, without running it
		}
		for _, d := range c.Departures {
			if c.drained(d, arrival, attempt) {
				c.report(ruleDrain, arrival.At, "%s reached %s %.2f s after its departure was acknowledged by %s",
					attempt, arrival.Instance, arrival.At-d.At, d.By)
				break
			}
		}
	}
}

// drained reports whether an arrival should have gone to another server because of a departure. That is required if the
// control node and the edge machine were in contact.
func (c *checker) drained(d Departure, arrival *Arrival, attempt *Attempt) bool {
	if d.Instance != arrival.Instance || arrival.At <= d.At+c.Bounds.Drain {
		return false
	}
	control, _ := c.inContact(d.By, d.At, d.At)
	edge, _ := c.inContact(attempt.Edge, min(attempt.Sent, d.At), arrival.At)
	return control && edge
}

const (
	// terminationSlack is added to Bounds.Grace, in seconds, because clients observe the end of a connection later.
	terminationSlack Seconds = 1
	// timeoutSlack is the time before the client's own timeout, in seconds, within which a truncated answer is
	// attributed to that timeout.
	timeoutSlack Seconds = 0.005
)

// checkTerminations checks LOST in planned work: a process that gets SIGTERM finishes the requests that it
// has accepted.
func (c *checker) checkTerminations() {
	for i := range c.Attempts {
		a := &c.Attempts[i]
		for _, t := range c.Terminations {
			if t.Machine != a.Edge || a.Done < t.At || a.Done > t.At+c.Bounds.Grace+terminationSlack {
				continue
			}
			c.checkAbandoned(a)
			c.checkTruncated(a, t)
		}
	}
}

// checkAbandoned checks that the terminating process did not answer 5xx itself while a server worked on the request.
func (c *checker) checkAbandoned(a *Attempt) {
	if a.End != Answered || a.Status < 500 || a.Seal != "" || a.Done >= a.Sent+a.TimeLeft || c.hasUnplannedFault(a) {
		return
	}
	for _, r := range c.arrivalsByID[a.ID] {
		if r.ran() && r.Started < a.Done && r.End > a.Done {
			c.report(ruleLost, a.Done, "%s: the terminating process answered %d itself while %s was still executing it",
				a, a.Status, r.Instance)
		}
	}
}

// checkTruncated checks that the terminating process did not close the connection of a request that it had read or had
// enough time to read. A server that aborted the answer, or was still busy after half of Bounds.Grace, excuses it.
func (c *checker) checkTruncated(a *Attempt, t Termination) {
	if a.End != Truncated || a.Done >= a.Sent+a.TimeLeft-timeoutSlack || c.hasUnplannedFault(a) {
		return
	}
	forwarded, excused := false, false
	for _, r := range c.arrivalsByID[a.ID] {
		forwarded = forwarded || r.At <= a.Done
		excused = excused || r.Aborted || r.End > t.At+c.Bounds.Grace/2
	}
	if (forwarded || a.Done > a.Sent+c.Bounds.LossSlack) && !excused {
		c.report(ruleLost, a.Done, "%s: its connection ended without an answer %.2f s after SIGTERM", a, a.Done-t.At)
	}
}
