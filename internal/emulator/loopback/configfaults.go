package loopback

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	configChanges   = 4                      // number of changes that the fault "config" makes
	changeInterval  = 300 * time.Millisecond // between two of these changes
	invalidInterval = 100 * time.Millisecond // between two invalid configurations
	hotTime         = 6 * time.Second        // time for which a tenant sends hotFactor times its usual rate
	hotTenants      = 2                      // number of tenants, those with the highest weights, that can become hot
)

func changeConfig(cl *cluster, _ int) {
	for range configChanges {
		cl.changeRoute(cl.classes[cl.intn(len(cl.classes))])
		if !cl.sleepInTraffic(changeInterval) {
			return
		}
	}
}

// changeRoute makes one random change. It moves one of the first two routes of a class to another service or back,
// splits it between both services, removes a route that was added, or adds a route.
func (cl *cluster) changeRoute(c *requestClass) {
	list := cl.liveRoutes(c)
	r := list[cl.intn(2)]
	switch cl.intn(5) {
	case 0:
		cl.submitRoute(r, r.item(c.alternate))
	case 1:
		cl.submitRoute(r, r.item(c.service))
	case 2:
		cl.submitRoute(r, r.splitItem())
	case 3:
		if len(list) > 2 {
			cl.removeRoute(list[len(list)-1])
		} else {
			cl.addRoute(c)
		}
	default:
		cl.addRoute(c)
	}
}

// submitRoute submits an item of a route, and adds the route to the canaries.
func (cl *cluster) submitRoute(r *route, i item) {
	cl.operator.submit(i)
	cl.addCanaries(canary{route: r})
}

// splitItem returns the item of a route whose requests are split between both services of its class.
func (r *route) splitItem() item {
	body := r.body("")
	body.Weighted = []weightedService{
		{Backend: r.class.service, Share: 60},
		{Backend: r.class.alternate, Share: 40},
	}
	return r.itemOf(body)
}

// removeRoute removes a route. Clients choose it for no further request once the removal is submitted.
func (cl *cluster) removeRoute(removed *route) {
	c := removed.class
	cl.mu.Lock()
	cl.live[c] = slices.DeleteFunc(cl.live[c], func(r *route) bool { return r == removed })
	cl.mu.Unlock()
	cl.addCanaries(canary{route: removed})
	cl.operator.submit(item{section: routesSection, name: removed.name})
}

// addRoute adds a route. Clients use it as soon as the bounds require it to be in force.
func (cl *cluster) addRoute(c *requestClass) {
	n := cl.intn(1 << 16)
	added := &route{
		name:   fmt.Sprintf("r-n%04x", n),
		host:   fmt.Sprintf("n%04x.example", n),
		prefix: "/added/",
		class:  c,
	}
	cl.addCanaries(canary{route: added})
	if cl.operator.submit(added.item(c.service)) != http.StatusOK {
		return
	}
	cl.faultRuns.Go(func() {
		if !cl.sleepInTraffic(seconds(cl.options.Bounds.ConfigApply)) {
			return
		}
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.live[c] = append(cl.live[c], added)
	})
}

// raceOperators simulates two operators that change a route concurrently, with the same version, at two nodes.
func raceOperators(cl *cluster, _ int) {
	c := cl.classes[0]
	r := cl.liveRoutes(c)[0]
	version := cl.operator.nextVersion()
	cl.addCanaries(canary{route: r})
	var both sync.WaitGroup
	for n, service := range []string{c.service, c.alternate} {
		both.Go(func() { cl.operator.send(n, true, r.item(service).withVersion(version)) })
	}
	both.Wait()
}

// invalidations returns functions that each make the body of a valid route invalid. taken is an existing route, whose
// host and prefix must not be used again.
func invalidations(taken *route) []func(*routeBody) {
	return []func(*routeBody){
		func(b *routeBody) { b.Backend = "nosuch" },
		func(b *routeBody) { b.DeadlineMs = 0 },
		func(b *routeBody) { b.PathPrefix = "bare/" },
		func(b *routeBody) { b.Authority = "" },
		func(b *routeBody) { b.RouteKind = "odd" },
		func(b *routeBody) { b.Authority, b.PathPrefix = taken.host, taken.prefix },
	}
}

// sendInvalidConfig sends invalid configurations. Each also contains a valid route, so that canaries detect whether any
// part of the configuration took effect.
func sendInvalidConfig(cl *cluster, _ int) {
	c := cl.classes[0]
	for n, invalidate := range invalidations(cl.liveRoutes(c)[0]) {
		tag := fmt.Sprintf("%d%04x", n, cl.intn(1<<16))
		valid := &route{name: "r-c" + tag, host: "c" + tag + ".example", prefix: "/canary/", class: c}
		invalid := &route{name: "r-b" + tag, host: "b" + tag + ".example", prefix: "/bad/", class: c}
		body := invalid.body(c.service)
		invalidate(&body)
		version := cl.operator.nextVersion()
		cl.addCanaries(canary{route: valid})
		cl.operator.send(
			cl.intn(len(cl.core)),
			false,
			valid.item(c.service).withVersion(version),
			invalid.itemOf(body).withVersion(version),
		)
		if !cl.sleepInTraffic(invalidInterval) {
			return
		}
	}
}

// revokeKey replaces the first key of a tenant. Until the bounds require the new keys to be in force, clients use a key
// that is in both the old and the new set.
func revokeKey(cl *cluster, target int) {
	t := cl.tenants[target%len(cl.tenants)]
	added := fmt.Sprintf("knew%x", cl.intn(1<<30))
	t.mu.Lock()
	revoked := t.keys[0]
	keys := append(slices.Clone(t.keys[1:]), added)
	t.keys = keys[:1:1]
	t.mu.Unlock()
	if cl.operator.submit(t.itemWithKeys(keys)) != http.StatusOK {
		return
	}
	r := cl.liveRoutes(cl.classes[0])[0]
	cl.addCanaries(canary{route: r, key: revoked}, canary{route: r, key: added})
	cl.sleepInTraffic(seconds(cl.options.Bounds.ConfigApply))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys = keys
}

func heatTenant(cl *cluster, target int) {
	cl.hotTenant.Store(cl.tenants[target%hotTenants])
	cl.sleepInTraffic(hotTime)
	cl.hotTenant.Store(nil)
}
