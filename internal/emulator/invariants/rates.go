package invariants

import (
	"cmp"
	"math"
	"slices"
)

// serviceRetry is an arrival of a request that had already arrived at a server before.
type serviceRetry struct {
	at      Seconds
	service string
}

// checkBudget checks BUDGET in each window that ends with a retry: the retries to a service stay within
// Bounds.RetryRatio of the requests that may have been for it, plus Bounds.RetrySlack. Each service is reported once.
func (c *checker) checkBudget() {
	retries := c.retries()
	sent := c.sentByService()
	window := c.Bounds.RetryWindow
	reported := map[string]bool{}
	for _, last := range retries {
		if reported[last.service] {
			continue
		}
		count := 0
		for _, r := range retries {
			if r.service == last.service && r.at > last.at-window && r.at <= last.at {
				count++
			}
		}
		requests := requestsAround(sent[last.service], last.at, window)
		limit := c.Bounds.RetryRatio*float64(requests) + c.Bounds.RetrySlack
		if float64(count) > limit {
			reported[last.service] = true
			c.report(ruleBudget, last.at, "%s got %d retries in %g s with %d requests, want at most %.0f",
				last.service, count, window, requests, limit)
		}
	}
}

// retries returns the arrivals after the first of every request, ordered by time.
func (c *checker) retries() (retries []serviceRetry) {
	for id, arrivals := range c.arrivalsByID {
		if c.attemptByID[id] == nil {
			continue
		}
		slices.SortFunc(arrivals, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
		for _, a := range arrivals[1:] {
			retries = append(retries, serviceRetry{at: a.At, service: a.Service})
		}
	}
	slices.SortFunc(retries, func(a, b serviceRetry) int { return cmp.Compare(a.at, b.at) })
	return retries
}

// sentByService returns, by service, the times at which requests were sent that may have been for it.
func (c *checker) sentByService() map[string][]Seconds {
	sent := map[string][]Seconds{}
	for i := range c.Attempts {
		a := &c.Attempts[i]
		for service := range c.possibleServices(a) {
			sent[service] = append(sent[service], a.Sent)
		}
	}
	return sent
}

// possibleServices returns every service that a request may have been for.
func (c *checker) possibleServices(a *Attempt) map[string]bool {
	services := map[string]bool{}
	for _, versions := range c.versionsByItem {
		for _, v := range versions {
			if v.Route == nil || !v.Route.serves(a) || v.Sent > a.Done {
				continue
			}
			for _, s := range v.Route.Services {
				services[s] = true
			}
		}
	}
	return services
}

// requestsAround returns the largest number of requests that were sent in a window that ends at a time, half a window
// before it or a whole window before it, because a process may count them in any of these.
func requestsAround(sent []Seconds, at, window Seconds) int {
	requests := 0
	for _, back := range []Seconds{0, window / 2, window} {
		count := 0
		for _, s := range sent {
			if s > at-window-back && s <= at-back {
				count++
			}
		}
		requests = max(requests, count)
	}
	return requests
}

// tenantRun is a request of a tenant that ran.
type tenantRun struct {
	sent, at Seconds // at is when it reached the server
	edge     string
}

// checkQuota checks QUOTA in each window that begins with a request that ran. Each tenant is reported once.
func (c *checker) checkQuota() {
	window := c.Bounds.QuotaWindow
	for tenant, runs := range c.runsByTenant() {
		slices.SortFunc(runs, func(a, b tenantRun) int { return cmp.Compare(a.sent, b.sent) })
		for i, first := range runs {
			count, perSecond := runsInWindow(runs[i:], window)
			limit := c.quotaLimit(tenant, first.sent, window)
			if float64(count) > limit {
				c.report(ruleQuota, first.sent,
					"%s: %d requests ran in %g s, want at most %.0f; per second by machine: %v",
					tenant, count, window, limit, perSecond)
				break
			}
		}
	}
}

// runsByTenant returns the requests that ran, by tenant that held their key in any version.
func (c *checker) runsByTenant() map[string][]tenantRun {
	runs := map[string][]tenantRun{}
	for i := range c.Arrivals {
		arrival := &c.Arrivals[i]
		a := c.attemptByID[arrival.ID]
		if a == nil || !arrival.ran() {
			continue
		}
		for _, tenant := range c.tenantsWithKey(a.Key) {
			runs[tenant] = append(runs[tenant], tenantRun{sent: a.Sent, at: arrival.At, edge: a.Edge})
		}
	}
	return runs
}

// runsInWindow counts the requests that were sent and reached a server within a window from the first one on, in
// total and for each edge machine per second of the window. The runs must be ordered by the time at which they were
// sent.
func runsInWindow(runs []tenantRun, window Seconds) (count int, perSecond map[string][]int) {
	perSecond = map[string][]int{}
	start := runs[0].sent
	for _, r := range runs {
		if r.sent > start+window {
			break
		}
		if r.at > start+window {
			continue
		}
		count++
		if perSecond[r.edge] == nil {
			perSecond[r.edge] = make([]int, int(window)+1)
		}
		perSecond[r.edge][int(r.sent-start)]++
	}
	return count, perSecond
}

// quotaLimit returns how many requests of a tenant may run in a window, by the version with the largest quota of those
// that may be in force in it. It returns +Inf if one of them has no quota.
func (c *checker) quotaLimit(tenant string, from, window Seconds) float64 {
	limit := 0.0
	versions := c.versionsByItem["customers/"+tenant]
	for _, v := range versions {
		if v.Tenant == nil || v.Sent > from+window || !v.Valid || c.superseded(v, versions, from, window) {
			continue
		}
		if v.Tenant.Rate == 0 {
			return math.Inf(1)
		}
		quota := v.Tenant.Rate*window + v.Tenant.Burst
		limit = max(limit, quota*(1+c.Bounds.QuotaExcess)+c.Bounds.QuotaSlack)
	}
	return limit
}

// superseded reports whether every edge machine must have applied a later version than v at least one window before
// from.
func (c *checker) superseded(v *Version, versions []*Version, from, window Seconds) bool {
	return slices.ContainsFunc(versions, func(later *Version) bool {
		if later.Number <= v.Number || later.Acked+c.Bounds.ConfigApply+window > from {
			return false
		}
		return !slices.ContainsFunc(c.Edges, func(edge string) bool {
			in, _ := c.inContact(edge, later.Acked, later.Acked+c.Bounds.ConfigApply)
			return !in
		})
	})
}
