package loopback

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// serviceSpec is a service.
type serviceSpec struct {
	slots, instances int
	meanWork        time.Duration
}

// requestClass is a kind of requests.
type requestClass struct {
	name          string
	atMostOnce          bool
	rate          float64 // a second
	service, alternate string
	latencyTarget, deadline time.Duration
}

// route is a route that clients ask.
type route struct {
	name, host, prefix string
	class              *requestClass
	public             bool
}

// tenant is one that clients ask for.
type tenant struct {
	name        string
	weight      float64
	rate, burst float64

	mu   sync.Mutex
	keys []string
}

func (t *tenant) drawKey(rng *rand.Rand) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys[rng.IntN(len(t.keys))]
}

// layOut lays out machines, services, classes, routes and tenants.
func (cl *cluster) layOut() error {
	var ips []string
	add := func(name string, core bool, n int, programs ...string) *machine {
		host := n/zones + 1
		if core {
			host += 100
		}
		m := &machine{
			cluster:    cl,
			name: fmt.Sprintf("%s-%d", name, n+1),
			ip:   fmt.Sprintf("127.1.%d.%d", n%zones, host),
			zone: n % zones,
			core: core,
		}
		m.dir = filepath.Join(cl.options.Dir, m.name)
		for _, p := range programs {
			m.processes = append(m.processes, &process{machine: m, program: p})
		}
		ips = append(ips, m.ip)
		return m
	}
	for n := range cl.options.CoreMachines {
		cl.core = append(cl.core, add("core", true, n, coreProgram))
	}
	for n := range cl.options.EdgeMachines {
		cl.edge = append(cl.edge, add("edge", false, n, agentProgram, proxyProgram))
	}
	cl.edgeHealth = make([]edgeHealth, len(cl.edge))
	var err error
	// Other plays may run on this box: the ports are drawn by chance, not by the seed.
	if cl.ports, err = drawPorts(
		rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano()))),
		ips,
	); err != nil {
		return err
	}
	for _, m := range slices.Concat(cl.core, cl.edge) {
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return err
		}
		if m.core {
			if err := os.MkdirAll(m.diskPath(), 0o700); err != nil {
				return err
			}
		}
		if err := cmp.Or(m.writeSettings(true), m.writeLinks()); err != nil {
			return err
		}
	}
	word := func(kind string) string { return fmt.Sprintf("%s%04x", kind, cl.rng.Uint32N(1<<16)) }
	a, b, c := word("look"), word("note"), word("file")
	cl.services = map[string]serviceSpec{
		a: {3, 5, 40 * time.Millisecond},
		b: {3, 4, 50 * time.Millisecond},
		c: {3, 4, 30 * time.Millisecond},
	}
	cl.classes = []*requestClass{
		{name: "read", rate: 70, service: a, alternate: c, latencyTarget: 400 * time.Millisecond, deadline: 2000 * time.Millisecond},
		{
			name:     "set",
			atMostOnce:     true,
			rate:     30,
			service:  b,
			alternate:     a,
			latencyTarget:      500 * time.Millisecond,
			deadline: 2500 * time.Millisecond,
		},
		{
			name:     "file",
			atMostOnce:     true,
			rate:     20,
			service:  c,
			alternate:     a,
			latencyTarget:      300 * time.Millisecond,
			deadline: 1800 * time.Millisecond,
		},
	}
	rate, weights := 0.0, 0.0
	for _, c := range cl.classes {
		rate += c.rate
		for n := range 2 {
			cl.live[c] = append(
				cl.live[c],
				&route{name: word("r-"), host: word("h") + ".example", prefix: "/" + word("p") + "/", class: c,
					public: n == 1 && c.atMostOnce},
			)
		}
	}
	for n := range tenantCount {
		weights += 1 / float64(n+1)
	}
	for n := range tenantCount {
		w := 1 / float64(n+1) / weights
		t := &tenant{name: word("t"), weight: w, keys: []string{word("k") + word("x"), word("k") + word("y")}}
		t.rate = float64(int(1.6*w*rate*cl.options.Load) + 3)
		t.burst = t.rate
		cl.tenants = append(cl.tenants, t)
	}
	for n := range clientCount {
		cl.users = append(cl.users, &clientUser{number: n, zone: cl.rng.IntN(zones)})
	}
	return nil
}

func (r *route) body(service string) body {
	b := body{
		"authority":  r.host,
		"pathPrefix": r.prefix,
		"routeKind":  "idempotent",
		"deadlineMs": r.class.deadline.Milliseconds(),
		"targetMs":   r.class.latencyTarget.Milliseconds(),
		"priority":   1,
		"maxTries":   2,
		"public":     r.public,
		"backend":    service,
	}
	if r.class.atMostOnce {
		b["routeKind"] = "mutating"
	}
	return b
}

func (r *route) item(service string) item {
	return item{section: "routes", name: r.name, body: r.body(service)}
}

func (t *tenant) item() item {
	t.mu.Lock()
	defer t.mu.Unlock()
	return item{
		section: "customers",
		name:    t.name,
		body:    body{"apiKeys": slices.Clone(t.keys), "priority": 0, "ratePerS": t.rate, "burst": t.burst},
	}
}

// initialItems is the items of the operator's initialItems call.
func (cl *cluster) initialItems() (items []item) {
	for name := range cl.services {
		items = append(items, item{section: "services", name: name,
			body: body{"healthPath": healthPath, "maxConns": maxServerConns, "protocol": "h1", "tlsMode": false}})
	}
	for _, c := range cl.classes {
		for _, r := range cl.live[c] {
			items = append(items, r.item(c.service))
		}
	}
	for _, t := range cl.tenants {
		items = append(items, t.item())
	}
	return append(items, item{section: "limits",
		body: body{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
}
