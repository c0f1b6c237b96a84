package invariants

import (
	"math"
	"net/http"
)

// maxContactAge is for how long a control node may answer by its last contact with a majority
// (docs/design/control-plane-faults.md, part 1), with half a second for scheduling on a loaded host.
const maxContactAge Seconds = 2.0

// checkContact checks CONTACT: a control node without a majority answers nothing as if it were current, neither yes
// nor no.
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

// inContact reports whether an edge machine was in contact with the control nodes for all of a span; and stretched,
// whether it was except for faults of a minority of the control nodes.
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

// processStart returns when the process began that ran on a machine at a time.
func (c *checker) processStart(machine string, at Seconds) Seconds {
	last := math.Inf(-1)
	for _, s := range c.ProcessStarts {
		if s.Machine == machine && s.At <= at {
			last = max(last, s.At)
		}
	}
	return last
}

// faulted reports whether there was an unplanned fault from Bounds.Contact before an attempt until its end.
func (c *checker) faulted(a *Attempt) bool {
	for _, f := range c.Faults {
		if !f.Planned && f.From <= a.Done && f.To >= a.Sent-c.Bounds.Contact {
			return true
		}
	}
	return false
}

// revertSlackOfFaulted is by which factor a machine that is slowed or was suspended has more of Bounds.RevertSlack.
const revertSlackOfFaulted = 8

// revertSlack returns for how long after an observation a machine may still handle requests by older versions.
func (c *checker) revertSlack(machine string, at Seconds) Seconds {
	for _, f := range c.Faults {
		if f.Machine == machine && f.From <= at && at <= f.To+c.Bounds.Contact {
			return revertSlackOfFaulted * c.Bounds.RevertSlack
		}
	}
	return c.Bounds.RevertSlack
}
