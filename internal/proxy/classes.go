package proxy

import (
	"strconv"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/decision"
)

const (
	// routePriorityStep is the value of a route's priority, in that of the next lower one.
	routePriorityStep = 3.0
	// tenantPriorityStep is the same for tenants: their priority goes before that of routes.
	tenantPriorityStep = 64.0
	// maxPrioritySteps bounds the steps that count.
	maxPrioritySteps = 8
	// slowAttemptFactor is the usual answer times after which an attempt is slow: one in some hundred takes longer.
	slowAttemptFactor = 6.0
	// maxQueueShareOfTarget is the time that a request may wait for a server, of its latency target: a rejection within
	// a quarter of it costs least.
	maxQueueShareOfTarget = 0.22
	// lateValue is the value of an answer after the latency target, of that of one in time.
	lateValue = 0.5
	// maxCachedEntries bounds what is cached of routes and of tenants; beyond it all is made anew, which costs little.
	maxCachedEntries = 1 << 14
)

// anonymousTerms are the terms of requests on public routes that come without a key.
var anonymousTerms = &decision.Terms{Plan: decision.Plan{ValueWeight: 1}, Tag: "-"}

// class returns a route as the decision module knows it.
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

// tenantTerms returns a tenant's quota as the decision module knows it.
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

// valueOfPriority returns the value of a priority, of which 0 is the highest: each step divides it.
func valueOfPriority(priority int, step float64) float64 {
	value := 1.0
	for range min(max(priority, 0), maxPrioritySteps) {
		value /= step
	}
	return value
}
