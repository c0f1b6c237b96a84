package proxy

import (
	"strconv"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/decision"
)

const (
	// routePriorityStep is the ratio of the value of a route's priority to that of the next lower priority.
	routePriorityStep = 3.0
	// tenantPriorityStep is the same ratio for tenants. It is much larger, because the priority of tenants takes
	// precedence over that of routes.
	tenantPriorityStep = 64.0
	// maxPrioritySteps bounds the priority: lower priorities have the same value as this one.
	maxPrioritySteps = 8
	// slowAttemptFactor is the multiple of the usual answer time after which an attempt counts as slow. About one
	// attempt in a hundred takes longer.
	slowAttemptFactor = 6.0
	// maxQueueShareOfTarget is the share of its latency target that a request may wait for a server. A rejection costs
	// least if it comes within a quarter of the latency target.
	maxQueueShareOfTarget = 0.22
	// lateValue is the value of an answer after the latency target, relative to an answer in time.
	lateValue = 0.5
	// maxCachedEntries bounds each cache of routes and of tenants. A full cache is cleared, because it is cheap to
	// rebuild.
	maxCachedEntries = 1 << 14
)

// anonymousTerms are the terms of requests on public routes that have no key.
var anonymousTerms = &decision.Terms{Plan: decision.Plan{ValueWeight: 1}, Tag: "-"}

// class converts a route to a class of the decision module, and caches the result.
func (t *translator) class(route *configuration.Route) *decision.Class {
	key := route.Name + "\x00" + strconv.FormatUint(route.Version, 16)
	t.mu.Lock()
	defer t.mu.Unlock()
	if cached := t.classes[key]; cached != nil {
		return cached
	}
	class := &decision.Class{
		Name:              route.Name,
		LatencyTarget:     route.LatencyTarget,
		Deadline:          route.Deadline,
		Value:             valueOfPriority(route.Priority, routePriorityStep),
		LateValue:         lateValue,
		MaxAttempts:       route.MaxAttempts,
		MaxQueueTime:      maxQueueShareOfTarget * route.LatencyTarget,
		SlowAttemptFactor: slowAttemptFactor,
		Effect:            decision.Idempotent,
	}
	if route.Mutating {
		class.Effect = decision.NonIdempotent
	}
	if len(t.classes) >= maxCachedEntries {
		clear(t.classes)
	}
	t.classes[key] = class
	return class
}

// tenantTerms converts a tenant's quota to terms of the decision module, and caches the result.
func (t *translator) tenantTerms(tenant *configuration.Tenant) *decision.Terms {
	tag := strconv.FormatUint(tenant.Version, 16)
	t.mu.Lock()
	defer t.mu.Unlock()
	if cached := t.terms[tenant.Name]; cached != nil && cached.Tag == tag {
		return cached
	}
	terms := &decision.Terms{
		Customer: tenant.Name,
		Tag:      tag,
		Plan: decision.Plan{
			Name:        tenant.Name,
			Rate:        tenant.Rate,
			Burst:       tenant.Burst,
			ValueWeight: valueOfPriority(tenant.Priority, tenantPriorityStep),
		},
	}
	if len(t.terms) >= maxCachedEntries {
		clear(t.terms)
	}
	t.terms[tenant.Name] = terms
	return terms
}

// valueOfPriority returns the value of a priority. The highest priority is 0 and has value 1; each lower priority
// divides the value by step.
func valueOfPriority(priority int, step float64) float64 {
	value := 1.0
	for range min(max(priority, 0), maxPrioritySteps) {
		value /= step
	}
	return value
}
