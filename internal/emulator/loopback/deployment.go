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

// kind is a service.
type kind struct {
	slots, many int
	work        time.Duration
}

// class is a kind of requests.
type class struct {
	name          string
	once          bool
	rate          float64 // a second
	service, also string
	aim, deadline time.Duration
}

// route is a route that clients ask.
type route struct {
	name, host, prefix string
	class              *class
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

func (t *tenant) key(rng *rand.Rand) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys[rng.IntN(len(t.keys))]
}

// build lays out machines, services, classes, routes and tenants.
func (f *cluster) build() error {
	var ips []string
	add := func(name string, core bool, n int, programs ...string) *machine {
		host := n/zones + 1
		if core {
			host += 100
		}
		m := &machine{
			f:    f,
			name: fmt.Sprintf("%s-%d", name, n+1),
			ip:   fmt.Sprintf("127.1.%d.%d", n%zones, host),
			zone: n % zones,
			core: core,
		}
		m.dir = filepath.Join(f.o.Dir, m.name)
		for _, p := range programs {
			m.procs = append(m.procs, &process{m: m, program: p})
		}
		ips = append(ips, m.ip)
		return m
	}
	for n := range f.o.Core {
		f.core = append(f.core, add("core", true, n, coreProgram))
	}
	for n := range f.o.Edge {
		f.edge = append(f.edge, add("edge", false, n, agentProgram, proxyProgram))
	}
	f.entries = make([]entry, len(f.edge))
	var err error
	// Other plays may run on this box: the ports are drawn by chance, not by the seed.
	if f.ports, err = drawPorts(
		rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano()))),
		ips,
	); err != nil {
		return err
	}
	for _, m := range slices.Concat(f.core, f.edge) {
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return err
		}
		if m.core {
			if err := os.MkdirAll(m.disk(), 0o700); err != nil {
				return err
			}
		}
		if err := cmp.Or(m.settle(true), m.layLinks()); err != nil {
			return err
		}
	}
	word := func(kind string) string { return fmt.Sprintf("%s%04x", kind, f.rng.Uint32N(1<<16)) }
	a, b, c := word("look"), word("note"), word("file")
	f.services = map[string]kind{
		a: {3, 5, 40 * time.Millisecond},
		b: {3, 4, 50 * time.Millisecond},
		c: {3, 4, 30 * time.Millisecond},
	}
	f.classes = []*class{
		{name: "read", rate: 70, service: a, also: c, aim: 400 * time.Millisecond, deadline: 2000 * time.Millisecond},
		{
			name:     "set",
			once:     true,
			rate:     30,
			service:  b,
			also:     a,
			aim:      500 * time.Millisecond,
			deadline: 2500 * time.Millisecond,
		},
		{
			name:     "file",
			once:     true,
			rate:     20,
			service:  c,
			also:     a,
			aim:      300 * time.Millisecond,
			deadline: 1800 * time.Millisecond,
		},
	}
	rate, weights := 0.0, 0.0
	for _, c := range f.classes {
		rate += c.rate
		for n := range 2 {
			f.live[c] = append(
				f.live[c],
				&route{name: word("r-"), host: word("h") + ".example", prefix: "/" + word("p") + "/", class: c,
					public: n == 1 && c.once},
			)
		}
	}
	for n := range tenantCount {
		weights += 1 / float64(n+1)
	}
	for n := range tenantCount {
		w := 1 / float64(n+1) / weights
		t := &tenant{name: word("t"), weight: w, keys: []string{word("k") + word("x"), word("k") + word("y")}}
		t.rate = float64(int(1.6*w*rate*f.o.Load) + 3)
		t.burst = t.rate
		f.tenants = append(f.tenants, t)
	}
	for n := range clientCount {
		f.users = append(f.users, &clientUser{number: n, zone: f.rng.IntN(zones)})
	}
	return nil
}

func (r *route) body(service string) body {
	b := body{
		"authority":  r.host,
		"pathPrefix": r.prefix,
		"routeKind":  "idempotent",
		"deadlineMs": r.class.deadline.Milliseconds(),
		"targetMs":   r.class.aim.Milliseconds(),
		"priority":   1,
		"maxTries":   2,
		"public":     r.public,
		"backend":    service,
	}
	if r.class.once {
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

// first is the items of the operator's first call.
func (f *cluster) first() (items []item) {
	for name := range f.services {
		items = append(items, item{section: "services", name: name,
			body: body{"healthPath": healthPath, "maxConns": serverConns, "protocol": "h1", "tlsMode": false}})
	}
	for _, c := range f.classes {
		for _, r := range f.live[c] {
			items = append(items, r.item(c.service))
		}
	}
	for _, t := range f.tenants {
		items = append(items, t.item())
	}
	return append(items, item{section: "limits",
		body: body{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
}
