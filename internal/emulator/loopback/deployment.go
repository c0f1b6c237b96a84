package loopback

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	zones       = 3  // number of zones
	clientCount = 60 // number of simulated clients
	tenantCount = 6  // number of tenants

	// coreHostOffset is added to the last byte of the addresses of core nodes, so that they differ from edge machines.
	coreHostOffset = 100
)

func zoneName(z int) string { return fmt.Sprintf("hall-%c", 'a'+z) }

// serviceSpec contains the properties shared by all servers of a service.
type serviceSpec struct {
	slots     int           // number of requests that a server executes concurrently
	instances int           // number of servers at the start
	meanWork  time.Duration // mean execution time of a request
}

// requestClass is a class of requests with the same rate, service and latency requirements.
type requestClass struct {
	name          string
	atMostOnce    bool
	rate          float64       // requests per second at load 1
	service       string        // service of the routes at the start
	alternate     string        // service that configuration changes move routes to
	latencyTarget time.Duration // a request served within this time counts as in time
	deadline      time.Duration // for a request over all its attempts
}

// route is a route of the gateway to which clients send requests.
type route struct {
	name   string
	host   string
	prefix string
	class  *requestClass
	public bool // requests without an API key are served, too
}

// tenant is a customer of the gateway. Clients use its API keys.
type tenant struct {
	name   string
	weight float64 // share of all requests; the weights of all tenants add up to 1
	rate   float64 // quota, requests per second
	burst  float64 // burst allowance of the quota, requests

	mu   sync.Mutex // guards keys
	keys []string
}

func (t *tenant) drawKey(rng *rand.Rand) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys[rng.IntN(len(t.keys))]
}

// createTopology creates the machines with their folders, the services, classes, routes, tenants and users. It draws
// from the cluster's random numbers, so a change in the order of its steps changes the result for a given seed.
func (cl *cluster) createTopology() error {
	if err := cl.createMachines(); err != nil {
		return err
	}
	cl.createClasses()
	cl.createRoutes()
	cl.createTenants()
	for n := range clientCount {
		cl.users = append(cl.users, &clientUser{number: n, zone: cl.rng.IntN(zones)})
	}
	return nil
}

func (cl *cluster) createMachines() error {
	for n := range cl.options.CoreMachines {
		cl.core = append(cl.core, cl.newCoreMachine(n))
	}
	for n := range cl.options.EdgeMachines {
		cl.edge = append(cl.edge, cl.newEdgeMachine(n))
	}
	cl.edgeHealth = make([]edgeHealth, len(cl.edge))
	var ips []string
	for _, m := range cl.machines() {
		ips = append(ips, m.ip)
	}
	var err error
	// The ports do not depend on the seed, because other runs may be in progress on this machine.
	portRNG := rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano())))
	if cl.ports, err = choosePorts(cl.options.FirstPort, portRNG, ips); err != nil {
		return err
	}
	for _, m := range cl.machines() {
		if err := m.createFiles(); err != nil {
			return err
		}
	}
	return nil
}

func (cl *cluster) newCoreMachine(n int) *machine {
	m := cl.newMachine("core", n, coreHostOffset, coreProgram)
	m.core = true
	return m
}

func (cl *cluster) newEdgeMachine(n int) *machine {
	return cl.newMachine("edge", n, 0, agentProgram, proxyProgram)
}

// newMachine returns the nth machine of a kind, counted from 0. Machines of a kind are assigned to the zones in turn.
func (cl *cluster) newMachine(kind string, n, hostOffset int, programs ...string) *machine {
	zone := n % zones
	m := &machine{
		cluster: cl,
		name:    fmt.Sprintf("%s-%d", kind, n+1),
		ip:      fmt.Sprintf("127.1.%d.%d", zone, n/zones+1+hostOffset),
		zone:    zone,
	}
	m.dir = filepath.Join(cl.options.Dir, m.name)
	for _, p := range programs {
		m.processes = append(m.processes, &process{machine: m, program: p})
	}
	return m
}

// createFiles creates the folders of a machine and the files that its processes read.
func (m *machine) createFiles() error {
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	if m.core {
		if err := os.MkdirAll(m.diskPath(), 0o700); err != nil {
			return err
		}
	}
	return cmp.Or(m.writeSettings(true), m.writeLinks())
}

// drawName draws a name that is unlikely to be drawn with another seed.
func (cl *cluster) drawName(prefix string) string {
	return fmt.Sprintf("%s%04x", prefix, cl.rng.Uint32N(1<<16))
}

func (cl *cluster) createClasses() {
	lookup := cl.drawName("look")
	notes := cl.drawName("note")
	files := cl.drawName("file")
	cl.services = map[string]serviceSpec{
		lookup: {slots: 3, instances: 5, meanWork: 40 * time.Millisecond},
		notes:  {slots: 3, instances: 4, meanWork: 50 * time.Millisecond},
		files:  {slots: 3, instances: 4, meanWork: 30 * time.Millisecond},
	}
	cl.classes = []*requestClass{
		{
			name:          "read",
			rate:          70,
			service:       lookup,
			alternate:     files,
			latencyTarget: 400 * time.Millisecond,
			deadline:      2000 * time.Millisecond,
		},
		{
			name:          "set",
			atMostOnce:    true,
			rate:          30,
			service:       notes,
			alternate:     lookup,
			latencyTarget: 500 * time.Millisecond,
			deadline:      2500 * time.Millisecond,
		},
		{
			name:          "file",
			atMostOnce:    true,
			rate:          20,
			service:       files,
			alternate:     lookup,
			latencyTarget: 300 * time.Millisecond,
			deadline:      1800 * time.Millisecond,
		},
	}
}

// createRoutes gives each class two routes.
func (cl *cluster) createRoutes() {
	for _, c := range cl.classes {
		for n := range 2 {
			r := &route{
				name:   cl.drawName("r-"),
				host:   cl.drawName("h") + ".example",
				prefix: "/" + cl.drawName("p") + "/",
				class:  c,
				public: n == 1 && c.atMostOnce,
			}
			cl.live[c] = append(cl.live[c], r)
		}
	}
}

// createTenants creates tenants with decreasing weights. Each has a quota above its usual rate of requests.
func (cl *cluster) createTenants() {
	rate, weights := 0.0, 0.0
	for _, c := range cl.classes {
		rate += c.rate
	}
	for n := range tenantCount {
		weights += 1 / float64(n+1)
	}
	for n := range tenantCount {
		weight := 1 / float64(n+1) / weights
		t := &tenant{
			name:   cl.drawName("t"),
			weight: weight,
			keys: []string{
				cl.drawName("k") + cl.drawName("x"),
				cl.drawName("k") + cl.drawName("y"),
			},
		}
		t.rate = float64(int(1.6*weight*rate*cl.options.Load) + 3)
		t.burst = t.rate
		cl.tenants = append(cl.tenants, t)
	}
}
