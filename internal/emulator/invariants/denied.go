package invariants

import (
	"fmt"
	"net/http"
)

// DENIED tolerates toleratedDenied denied requests in a run, and one more for every requestsPerDenied requests.
const (
	toleratedDenied   = 5
	requestsPerDenied = 500
)

// checkDenied checks DENIED: machines in contact do not themselves answer proper requests with a 3xx or 4xx.
func (c *checker) checkDenied() {
	denied, all, first := 0, 0, ""
	for i := range c.Attempts {
		a := &c.Attempts[i]
		if a.Probe {
			continue
		}
		all++
		if !c.denied(a) {
			continue
		}
		denied++
		if first == "" {
			first = fmt.Sprintf("%s got %d at %.2f s", a, a.Status, a.Done)
		}
	}
	if denied > toleratedDenied+all/requestsPerDenied {
		c.report(ruleDenied, Never, "%d of %d proper requests were denied, the first of them: %s", denied, all, first)
	}
}

// denied reports whether a machine in contact denied a proper request by itself.
func (c *checker) denied(a *Attempt) bool {
	if a.End != Answered || a.Seal != "" || promisesNotExecuted(a.Status) {
		return false
	}
	if a.Status/100 != 3 && a.Status/100 != 4 {
		return false
	}
	in, _ := c.inContact(a.Edge, a.Sent, a.Done)
	return in && c.proper(a)
}

// proper reports whether every configuration that may be in force while a request is in progress contains its route and
// its key.
func (c *checker) proper(a *Attempt) bool {
	items := c.relevantItems(a)
	required := floor{}
	for _, item := range items {
		for _, v := range c.versionsByItem[item] {
			if v.Valid && v.Acked < a.Sent-c.Bounds.ConfigApply-c.Bounds.MaxStretch {
				required.raise(item, v.Number)
			}
		}
	}
	for _, status := range []int{http.StatusUnauthorized, http.StatusNotFound} {
		h := handling{attempt: a, outcome: outcome{status: status}, at: a.Done}
		if c.explainable(h, items, required.restrict(h.acceptable)) {
			return false
		}
	}
	return true
}
