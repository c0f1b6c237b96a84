package loopback

import (
	"math/rand/v2"
	"time"
)

const (
	hotFactor      = 8                     // rate of a hot tenant, as a multiple of its usual rate
	maxInFlight    = 1500                  // maximum number of requests in progress, without canaries
	canaryInterval = 80 * time.Millisecond // between two canaries
	recentCanaries = 6                     // number of latest canaries among which the next one is drawn
)

// canary describes a request whose answer shows which configuration is in force.
type canary struct {
	route *route
	key   string // empty: any key of the first tenant
}

// sendClass sends the requests of one class as a Poisson process, whose rate is higher while there is a hot tenant.
func (cl *cluster) sendClass(c *requestClass, rng *rand.Rand) {
	next := time.Now()
	for {
		hot := cl.hotTenant.Load()
		next = next.Add(cl.drawInterval(c, hot, rng))
		if wait := time.Until(next); wait > 0 {
			cl.sleep(wait)
		} else {
			next = time.Now() // the schedule is late; continue from now instead of catching up
		}
		if cl.traffic.Err() != nil {
			return
		}
		request := cl.drawRequest(c, hot, rng)
		seed := rng.Uint64()
		if cl.inFlight.Add(1) > maxInFlight {
			cl.inFlight.Add(-1)
			cl.recorder.notef("too many requests in progress: a request was not sent")
			continue
		}
		cl.clients.Go(func() {
			defer cl.inFlight.Add(-1)
			cl.sendWithRetries(request, rand.New(rand.NewPCG(seed, requestStream)))
		})
	}
}

// drawInterval draws the time until the next request of a class.
func (cl *cluster) drawInterval(c *requestClass, hot *tenant, rng *rand.Rand) time.Duration {
	rate := c.rate * cl.options.Load
	if hot != nil {
		rate *= 1 + hot.weight*(hotFactor-1)
	}
	return seconds(rng.ExpFloat64() / rate)
}

// drawRequest draws the tenant, route, key and user of a request.
func (cl *cluster) drawRequest(c *requestClass, hot *tenant, rng *rand.Rand) *clientRequest {
	t := cl.drawTenant(rng, hot)
	routes := cl.liveRoutes(c)
	r := routes[rng.IntN(len(routes))]
	request := &clientRequest{
		class:     c,
		route:     r,
		key:       t.drawKey(rng),
		user:      cl.users[rng.IntN(len(cl.users))],
		keepAlive: rng.IntN(2) == 0,
		startedAt: time.Now(),
	}
	if r.public && rng.IntN(2) == 0 {
		request.key = ""
	}
	return request
}

// drawTenant draws a tenant by weight. The hot tenant, if there is one, has hotFactor times its usual weight.
func (cl *cluster) drawTenant(rng *rand.Rand, hot *tenant) *tenant {
	total := 1.0
	if hot != nil {
		total += hot.weight * (hotFactor - 1)
	}
	remaining := rng.Float64() * total
	for _, t := range cl.tenants {
		weight := t.weight
		if t == hot {
			weight *= hotFactor
		}
		remaining -= weight
		if remaining < 0 {
			return t
		}
	}
	return cl.tenants[0]
}

// sendCanaries sends requests to the edge machines in turn, for routes and keys that were changed recently, or for a
// route that never existed.
func (cl *cluster) sendCanaries() {
	rng := cl.randStream(canaryStream)
	never := &route{name: "never", host: "nowhere.example", prefix: "/never/", class: cl.classes[0]}
	for n := 0; cl.sleepInTraffic(canaryInterval); n++ {
		edge := cl.edge[n%len(cl.edge)]
		drawn := cl.drawCanary(canary{route: never}, rng)
		if drawn.key == "" {
			drawn.key = cl.tenants[0].drawKey(rng)
		}
		seed := rng.Uint64()
		cl.clients.Go(func() {
			request := cl.canaryRequest(drawn, edge)
			cl.sendWithRetries(request, rand.New(rand.NewPCG(seed, canaryRequestStream)))
		})
	}
}

// drawCanary draws one of the latest canaries, or the one for a route that never existed.
func (cl *cluster) drawCanary(never canary, rng *rand.Rand) canary {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	all := len(cl.canaries)
	if all > 0 && rng.IntN(5) > 0 {
		return cl.canaries[all-1-rng.IntN(min(all, recentCanaries))]
	}
	return never
}

// canaryRequest returns the request of a canary for one edge machine.
func (cl *cluster) canaryRequest(c canary, edge *machine) *clientRequest {
	return &clientRequest{
		class:      c.route.class,
		route:      c.route,
		key:        c.key,
		user:       cl.users[0],
		canaryEdge: edge,
		startedAt:  time.Now(),
	}
}

func (cl *cluster) addCanaries(added ...canary) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.canaries = append(cl.canaries, added...)
}
