package invariants

import (
	"math"
	"net/http"
)

// maxContactAge is how long, in seconds, a control node may answer on the basis of its last contact with a majority
// (docs/design/control-plane-faults.md, part 1). It includes half a second for scheduling delays on a loaded host.
const maxContactAge Seconds = 2.0

// checkContact checks CONTACT: a control node that cannot reach a majority gives no definite answer, neither yes nor
// no, because its state may be outdated.
func (c *checker) checkContact() {
	for _, a := range c.ControlAnswers {
		if !a.definite() {
			continue
		}
		for _, p := range c.Partitions {
			if a.Machine == p.Machine && a.Began > p.From+maxContactAge && a.Done < p.To {
				c.report(ruleContact, a.Done, "%s, cut off for %.1f s, answered %d: %s",
					a.Machine, a.Done-p.From, a.Status, a.Call)
			}
		}
	}
}

// definite reports whether an answer says yes or no, as opposed to asking the caller to try again.
func (ca *ControlAnswer) definite() bool {
	switch ca.Status / 100 {
	case 2:
		return true
	case 4:
		return ca.Status != http.StatusRequestTimeout && ca.Status != http.StatusTooManyRequests
	}
	return false
}

// inContact reports whether a machine was in contact with the control nodes during a whole period. A fault of the
// machine, or of control nodes, interrupts the contact until Bounds.Contact after its end. stretched reports the same,
// but ignores faults of a minority of the control nodes.
func (c *checker) inContact(machine string, from, to Seconds) (in, stretched bool) {
	in, stretched = true, true
	for _, f := range c.Faults {
		if f.From > to || f.To+c.Bounds.Contact < from {
			continue
		}
		switch {
		case f.Core && f.Majority, !f.Core && f.Machine == machine:
			return false, false
		case f.Core:
			in = false
		}
	}
	return in, stretched
}

// processStart returns when the process started that ran on a machine at a time, or -Inf if no start was recorded.
func (c *checker) processStart(machine string, at Seconds) Seconds {
	last := math.Inf(-1)
	for _, s := range c.ProcessStarts {
		if s.Machine == machine && s.At <= at {
			last = max(last, s.At)
		}
	}
	return last
}

// hasUnplannedFault reports whether an unplanned fault overlaps the period from Bounds.Contact before an attempt
// to the end of the attempt.
func (c *checker) hasUnplannedFault(a *Attempt) bool {
	for _, f := range c.Faults {
		if !f.Planned && f.From <= a.Done && f.To >= a.Sent-c.Bounds.Contact {
			return true
		}
	}
	return false
}

// faultedRevertSlackFactor is the factor by which Bounds.RevertSlack is larger during a fault of the machine, such as
// when it is slowed or suspended, and for Bounds.Contact after it.
const faultedRevertSlackFactor = 8

// revertSlack returns how long after a version was observed a machine may still handle requests by older versions.
func (c *checker) revertSlack(machine string, at Seconds) Seconds {
	for _, f := range c.Faults {
		if f.Machine == machine && f.From <= at && at <= f.To+c.Bounds.Contact {
			return faultedRevertSlackFactor * c.Bounds.RevertSlack
		}
	}
	return c.Bounds.RevertSlack
}
