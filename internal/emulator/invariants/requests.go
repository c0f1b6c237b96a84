package invariants

import (
	"fmt"
	"net/http"
	"slices"
)

// checkRequests checks TWICE, REFUSED, MIXED and UNASKED, which concern each request by itself.
func (c *checker) checkRequests() {
	for i := range c.Arrivals {
		c.checkUnasked(&c.Arrivals[i])
	}
	for i := range c.Attempts {
		a := &c.Attempts[i]
		c.checkExecutions(a)
		c.checkAnswer(a)
	}
}

// checkUnasked checks UNASKED: every request that ran was sent by a client, and ran as it was sent.
func (c *checker) checkUnasked(arrival *Arrival) {
	if !arrival.ran() {
		return
	}
	if arrival.Status == http.StatusMisdirectedRequest {
		panic("invariants: a server ran a request that it rejected with 421")
	}
	attempt := c.attemptByID[arrival.ID]
	switch {
	case attempt == nil:
		c.report(ruleUnasked, arrival.Started, "%s ran %q, which no client sent", arrival.Instance, arrival.ID)
	case !arrival.matches(attempt):
		c.report(ruleUnasked, arrival.Started, "%s ran %s %s%s (body %x) for %s, sent as %s %s%s (body %x)",
			arrival.Instance, arrival.Method, arrival.Host, arrival.Target, arrival.Body,
			arrival.ID, attempt.Method, attempt.Host, attempt.Target, attempt.Body)
	case !c.tenantFits(attempt, arrival.Tenant):
		c.report(ruleUnasked, arrival.Started, "%s ran %s with X-Tenant %q, which does not own the request's key",
			arrival.Instance, arrival.ID, arrival.Tenant)
	}
}

// ran reports whether the server began to work on the request.
func (a *Arrival) ran() bool { return a.Started < Never }

// matches reports whether the request arrived as it was sent.
func (a *Arrival) matches(attempt *Attempt) bool {
	return a.Method == attempt.Method &&
		a.Host == attempt.Host &&
		a.Target == attempt.Target &&
		a.Body == attempt.Body
}

// tenantFits reports whether a server may receive this tenant with the request.
func (c *checker) tenantFits(a *Attempt, tenant string) bool {
	if a.Key == "" {
		return tenant == ""
	}
	holders := c.tenantsWithKey(a.Key)
	if len(holders) == 0 {
		return tenant == "" // correct on a public route; on other routes ROUTE reports it
	}
	return slices.Contains(holders, tenant)
}

// tenantsWithKey returns the tenants that held a key in any version.
func (c *checker) tenantsWithKey(key string) (names []string) {
	if key == "" {
		return nil
	}
	for _, v := range c.Versions {
		if v.Tenant != nil && slices.Contains(v.Tenant.Keys, key) && !slices.Contains(names, v.Tenant.Name) {
			names = append(names, v.Tenant.Name)
		}
	}
	return names
}

// checkExecutions checks TWICE and REFUSED for a request that may run at most once.
func (c *checker) checkExecutions(a *Attempt) {
	if !a.AtMostOnce {
		return
	}
	executions := 0
	for _, arrival := range c.arrivalsByID[a.ID] {
		if arrival.ran() {
			executions++
		}
	}
	if executions > 1 {
		c.report(ruleTwice, a.Sent, "%s ran %d times", a, executions)
	}
	if executions > 0 && a.End == Answered && promisesNotExecuted(a.Status) {
		c.report(ruleRefused, a.Done, "%s ended with %d, and it has run", a, a.Status)
	}
}

// promisesNotExecuted reports whether an answer with this status promises that the request did not run.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (a *Attempt) String() string {
	return fmt.Sprintf("%s %s (%s at %s)", a.Class, a.ID, a.Target, a.Edge)
}

// checkAnswer checks MIXED: a client gets the answer to its own request, unchanged from the server.
func (c *checker) checkAnswer(a *Attempt) {
	arrivals := c.arrivalsByID[a.ID]
	if a.Surplus {
		c.report(ruleMixed, a.Done, "%s: the client received bytes after the answer, with no further request sent", a)
	}
	aborted := slices.ContainsFunc(arrivals, func(r *Arrival) bool { return r.Aborted })
	if a.End == Malformed && !aborted {
		c.report(ruleMixed, a.Done, "%s: the client received bytes that are not an HTTP response", a)
	}
	if a.End != Answered {
		return
	}
	if a.AnswerID != "" && a.AnswerID != a.ID {
		c.report(ruleMixed, a.Done, "%s got the answer to %s", a, a.AnswerID)
	}
	sealed := func(r *Arrival) bool { return r.ran() && r.Seal == a.Seal }
	same := func(r *Arrival) bool { return sealed(r) && r.Sum == a.Sum && r.Status == a.Status }
	switch {
	case a.Seal != "" && !slices.ContainsFunc(arrivals, sealed):
		c.report(ruleMixed, a.Done, "%s got a seal of another request, %q", a, a.Seal)
	case a.Status/100 == 2 && !slices.ContainsFunc(arrivals, same):
		c.report(ruleMixed, a.Done, "%s got a %d that no server gave (seal %q, body %x)", a, a.Status, a.Seal, a.Sum)
	}
}
