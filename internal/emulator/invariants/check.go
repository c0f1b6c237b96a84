package invariants

import (
	"cmp"
	"fmt"
	"slices"
)

// The names of the rules. CONTACT and FAULT are additions of this package; the others are from RULES.md.
const (
	ruleBudget  = "BUDGET"  // retries to a service stay within a share of its requests
	ruleConfig  = "CONFIG"  // the versions in force are valid, and not superseded for too long
	ruleContact = "CONTACT" // a control node that cannot reach a majority gives no definite answer
	ruleDenied  = "DENIED"  // the system does not itself reject proper requests with a 3xx or 4xx
	ruleDrain   = "DRAIN"   // no request reaches a server later than Bounds.Drain after its departure
	ruleFault   = "FAULT"   // no process ends by itself
	ruleLost    = "LOST"    // SIGTERM loses no request, and the closing fault no acknowledged version
	ruleMixed   = "MIXED"   // a client gets the answer to its own request, unchanged
	ruleQuota   = "QUOTA"   // the requests of a tenant that run stay within its quota
	ruleRefused = "REFUSED" // a non-idempotent request does not run if its answer promises that it did not
	ruleRoute   = "ROUTE"   // a request runs only on a service to which a configuration routes it
	ruleTwice   = "TWICE"   // a non-idempotent request runs at most once
	ruleUnasked = "UNASKED" // servers run only what clients sent, unchanged and for a tenant that holds the key
)

// Check returns every violation of an invariant in a run, ordered by time.
func Check(l *Log) []Violation {
	c := newChecker(l)
	c.checkRequests()
	c.checkHandlings()
	c.checkDepartures()
	c.checkTerminations()
	c.checkAcknowledged()
	c.checkReadBack()
	c.checkBudget()
	c.checkQuota()
	c.checkDenied()
	c.checkContact()
	for _, e := range c.Exits {
		c.report(ruleFault, e.At, "%s ended by itself: %s", e.Process, e.Text)
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// checker is the state of one call of Check: the log, its indexes and the violations found so far.
type checker struct {
	*Log
	attemptByID    map[string]*Attempt
	arrivalsByID   map[string][]*Arrival // by the ID of the request
	versionsByItem map[string][]*Version
	violations     []Violation
}

func newChecker(l *Log) *checker {
	c := &checker{
		Log:            l,
		attemptByID:    map[string]*Attempt{},
		arrivalsByID:   map[string][]*Arrival{},
		versionsByItem: map[string][]*Version{},
	}
	for i := range l.Attempts {
		c.attemptByID[l.Attempts[i].ID] = &l.Attempts[i]
	}
	for i := range l.Arrivals {
		a := &l.Arrivals[i]
		c.arrivalsByID[a.ID] = append(c.arrivalsByID[a.ID], a)
	}
	for i := range l.Versions {
		v := &l.Versions[i]
		c.versionsByItem[v.Item] = append(c.versionsByItem[v.Item], v)
	}
	return c
}

func (c *checker) report(rule string, at Seconds, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)})
}
