// Package loopback plays the system on one box: real processes of its three programs, each machine with a loopback
// address of its own, and in this process what they meet: servers, an operator, clients and the platform that spreads
// them, written from PROTOCOL.md. Faults come by a schedule. What was seen goes to package rules, which judges it.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/emulator/invariants"
)

const (
	zones       = 3
	clientCount = 60
	tenantCount = 6
	healthPath  = "/health"
	hotFactor    = 8

	startTimeout  = 25 * time.Second // for the machines to be ready
	canaryInterval = 80 * time.Millisecond
)

func zoneName(z int) string { return fmt.Sprintf("hall-%c", 'a'+z) }

// Options is what is played.
type Options struct {
	CoreMachines, EdgeMachines        int           // machines
	TrafficTime               time.Duration // of traffic
	Faults            []Fault
	Seed              uint64
	ProgramsDir               string          // folder of the three programs
	Load              float64         // of the usual 120 requests a second; 0: 1
	Bounds            settings.Bounds // zero: Usual
	HeartbeatInterval time.Duration   // of servers; 0: 1.5 s
	WarmUp              time.Duration   // traffic begins this long after the machines do, at least
	Dir               string          // folder for settings, disks and logs
}

// DefaultBounds is the figures of the rules on usual days.
func DefaultBounds() settings.Bounds {
	return settings.Bounds{
		SeedLag:     3,
		ReuseAfter:  2,
		Contact:     3,
		Ack:         5,
		CatchUp:     4,
		Drain:       2.5,
		Grace:       6,
		LossSlack:   0.2,
		ConfigApply: 2.5,
		RevertSlack: 0.25,
		MaxStretch:  8,
		Revoke:      5,
		RetryRatio:  0.2,
		RetryWindow: 10,
		RetrySlack:  62,
		QuotaWindow: 5,
		QuotaExcess: 0.1,
		QuotaSlack:  20,
		Recovery:    15,
	}
}

// FastBounds is figures for plays of a few seconds: machines are held to the rules sooner after trouble, and to less
// time.
func FastBounds() settings.Bounds {
	b := DefaultBounds()
	b.Contact, b.ConfigApply, b.Drain, b.MaxStretch = 1, 1.5, 1.2, 3
	return b
}

// cluster is one play.
type cluster struct {
	options        Options
	launcher *launcher
	linkFaults  bool // there are faults that cut links
	ports    ports
	core     []*machine
	edge     []*machine
	recorder recorder
	startedAt     time.Time
	trafficStart     invariants.Seconds // when traffic began

	lifetime context.Context // ends when all is over
	traffic   context.Context // ends with the traffic
	background   sync.WaitGroup  // of world

	httpClient  *http.Client // for calls of servers, the operator and the platform
	operator *operator
	services map[string]serviceSpec
	classes  []*requestClass
	tenants  []*tenant
	users    []*clientUser
	clients  sync.WaitGroup
	faultRuns   sync.WaitGroup
	serial   atomic.Int64
	inFlight      atomic.Int64
	healthChecks   atomic.Int64 // of health, at servers
	hotTenant      atomic.Pointer[tenant]
	lastAcknowledger    atomic.Pointer[machine] // that acknowledged a change last
	changeLatencies latencies

	mu         sync.Mutex
	rng        *rand.Rand
	servers    []*server
	edgeHealth    []edgeHealth
	live       map[*requestClass][]*route
	canaries        []oddity       // what probes ask for
	ownAnswers    map[string]int // of the system's own
	diskLost   *machine       // whose disk was lost last
	diskLostAt invariants.Seconds
}

// oddity is a request whose handling shows which configuration is in force.
type oddity struct {
	route *route
	key   string
}

func (cl *cluster) now() invariants.Seconds           { return time.Since(cl.startedAt).Seconds() }
func (cl *cluster) sinceStart(t time.Time) invariants.Seconds { return t.Sub(cl.startedAt).Seconds() }
func (cl *cluster) gracePeriod() time.Duration {
	return time.Duration(cl.options.Bounds.Grace * float64(time.Second))
}
func (cl *cluster) intn(n int) int { cl.mu.Lock(); defer cl.mu.Unlock(); return cl.rng.IntN(n) }
func (cl *cluster) liveRoutes(c *requestClass) []*route {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.live[c])
}
func (cl *cluster) sleep(d time.Duration)            { sleepContext(cl.lifetime, d) }
func (cl *cluster) sleepInTraffic(d time.Duration) (more bool) { sleepContext(cl.traffic, d); return cl.traffic.Err() == nil }

func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// machineName is the machine with an address.
func (cl *cluster) machineName(ip string) string {
	for _, m := range slices.Concat(cl.core, cl.edge) {
		if m.ip == ip {
			return m.name
		}
	}
	return ip
}

// Run plays, and judges what was seen. An error tells that it could not be played at all, or that ctx ended. Nothing
// that it started is left when it returns.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Load == 0 {
		o.Load = 1
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 1500 * time.Millisecond
	}
	if o.Bounds == (settings.Bounds{}) {
		o.Bounds = DefaultBounds()
	}
	if o.CoreMachines < 1 || o.EdgeMachines < 1 || o.CoreMachines > 50 || o.EdgeMachines > 50 {
		return nil, errors.New("between 1 and 50 core machines, and as many edge machines")
	}
	bin, err := filepath.Abs(o.ProgramsDir) // processes start in folders of their own
	if err != nil {
		return nil, err
	}
	o.ProgramsDir = bin
	f := &cluster{
		options:       o,
		startedAt:    time.Now(),
		rng:     rand.New(rand.NewPCG(o.Seed, 0)),
		live:    map[*requestClass][]*route{},
		ownAnswers: map[string]int{},
	}
	f.recorder.log.Closing = invariants.Never
	f.linkFaults = slices.ContainsFunc(o.Faults, func(x Fault) bool { return strings.HasPrefix(x.Name, "cut-") })
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	defer transport.CloseIdleConnections()
	f.httpClient = &http.Client{Transport: transport, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	f.operator = &operator{cluster: f, rng: rand.New(rand.NewPCG(o.Seed, 1)), lastVersion: 6, sent: map[string]item{}}
	if err := f.layOut(); err != nil {
		return nil, err
	}
	world, over := context.WithCancel(context.Background())
	f.lifetime = world
	var idle context.CancelFunc
	f.traffic, idle = context.WithCancel(ctx)
	f.launcher = newLauncher()
	err = f.run()
	idle()
	f.clients.Wait()
	f.faultRuns.Wait()
	if err == nil {
		err = ctx.Err()
	}
	var r *Report
	if err == nil {
		f.operator.readBack()
		r = f.report()
	}
	f.stopProcesses()
	over()
	f.background.Wait()
	f.launcher.close()
	if err != nil {
		return nil, err
	}
	for _, p := range f.users {
		f.closeConn(p.idle)
	}
	r.evaluate(f)
	return r, nil
}

// run starts all, has the traffic and the faults run, and returns when their time is over.
func (cl *cluster) run() error {
	started := map[string]func(invariants.Seconds){}
	for _, m := range slices.Concat(cl.core, cl.edge) {
		started[m.name] = cl.recorder.beginFault(invariants.Fault{Machine: m.name, Core: m.core, Planned: true})
		if err := m.start(); err != nil {
			return err
		}
	}
	cl.background.Go(cl.watchReadiness)
	for name, kind := range cl.services {
		for n := range kind.instances {
			if _, err := cl.startInitialServer(name, n); err != nil {
				return err
			}
		}
	}
	if status := cl.operator.submit(cl.initialItems()...); status != 200 {
		return fmt.Errorf(
			"the first configuration was not taken: %d, %s\n%s",
			status,
			strings.Join(cl.recorder.notes, "; "),
			cl.processLogs(),
		)
	}
	for _, m := range slices.Concat(cl.core, cl.edge) {
		if err := m.writeSettings(false); err != nil {
			return err
		}
	}
	if err := cl.awaitServing(); err != nil {
		return err
	}
	cl.sleepInTraffic(cl.options.WarmUp - time.Since(cl.startedAt))
	cl.trafficStart = cl.now()
	for _, over := range started {
		over(cl.trafficStart)
	}
	for n, c := range cl.classes {
		cl.clients.Go(func() { cl.sendClass(c, rand.New(rand.NewPCG(cl.options.Seed, uint64(n+2)))) })
	}
	cl.clients.Go(cl.sendCanaries)
	for _, x := range cl.options.Faults {
		cl.faultRuns.Go(func() {
			if cl.sleepInTraffic(x.At) {
				cl.recorder.notef("%.1f s: %s", cl.now()-cl.trafficStart, x.Name)
				faults[x.Name].play(cl, x.Target)
			}
		})
	}
	cl.sleepInTraffic(cl.options.TrafficTime)
	return nil
}

// startInitialServer opens the nth server of a service.
func (cl *cluster) startInitialServer(service string, n int) (*server, error) {
	return cl.startServer(service, zoneName(n%zones), "127.0.0.1:0", "v1")
}

// awaitServing waits until every machine is ready and serves each route.
func (cl *cluster) awaitServing() error {
	until := time.Now().Add(startTimeout)
	rng := rand.New(rand.NewPCG(cl.options.Seed, 99))
	for _, m := range cl.edge {
		for !cl.ready(m, time.Second) {
			if time.Now().After(until) || !cl.sleepInTraffic(30*time.Millisecond) {
				return fmt.Errorf("%s was not ready in %v\n%s", m.name, startTimeout, cl.processLogs())
			}
		}
		for _, c := range cl.classes {
			for _, r := range cl.live[c] {
				for {
					t, _ := cl.attempt(
						&clientRequest{class: c, route: r, key: cl.tenants[0].drawKey(rng), user: cl.users[0], canaryEdge: m, startedAt: time.Now()},
						0,
						c.deadline,
						rng,
					)
					if t.Status == 200 {
						break
					}
					if time.Now().After(until) || !cl.sleepInTraffic(30*time.Millisecond) {
						return fmt.Errorf(
							"%s did not serve %s in %v: %v, %d\n%s",
							m.name,
							c.name,
							startTimeout,
							t.End,
							t.Status,
							cl.processLogs(),
						)
					}
				}
			}
		}
	}
	return nil
}

// processLogs is the end of each process's log.
func (cl *cluster) processLogs() string {
	var b strings.Builder
	for _, m := range slices.Concat(cl.core, cl.edge) {
		for _, p := range m.processes {
			fmt.Fprintf(&b, "--- %s on %s\n%s\n", p.program, m.name, p.logTail())
		}
	}
	return b.String()
}

// sendCanaries asks each machine in turn for what was changed lately, or was never there.
func (cl *cluster) sendCanaries() {
	rng := rand.New(rand.NewPCG(cl.options.Seed, 98))
	never := &route{name: "never", host: "nowhere.example", prefix: "/never/", class: cl.classes[0]}
	for n := 0; cl.sleepInTraffic(canaryInterval); n++ {
		m := cl.edge[n%len(cl.edge)]
		cl.mu.Lock()
		odd := oddity{route: never}
		if len(cl.canaries) > 0 && rng.IntN(5) > 0 {
			odd = cl.canaries[len(cl.canaries)-1-rng.IntN(min(len(cl.canaries), 6))]
		}
		cl.mu.Unlock()
		if odd.key == "" {
			odd.key = cl.tenants[0].drawKey(rng)
		}
		seed := rng.Uint64()
		cl.clients.Go(func() {
			cl.sendWithRetries(
				&clientRequest{class: odd.route.class, route: odd.route, key: odd.key, user: cl.users[0], canaryEdge: m, startedAt: time.Now()},
				rand.New(rand.NewPCG(seed, 2)),
			)
		})
	}
}

func (cl *cluster) addCanaries(odd ...oddity) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.canaries = append(cl.canaries, odd...)
}

func (cl *cluster) drawTenant(rng *rand.Rand, hot *tenant) *tenant {
	all := 1.0
	if hot != nil {
		all += hot.weight * (hotFactor - 1)
	}
	at := rng.Float64() * all
	for _, t := range cl.tenants {
		w := t.weight
		if t == hot {
			w *= hotFactor
		}
		if at -= w; at < 0 {
			return t
		}
	}
	return cl.tenants[0]
}

// stopProcesses ends all processes.
func (cl *cluster) stopProcesses() {
	var all sync.WaitGroup
	for _, m := range slices.Concat(cl.edge, cl.core) {
		for _, p := range m.processes {
			all.Go(func() {
				p.mu.Lock()
				p.noRestart = true
				p.mu.Unlock()
				if cl.traffic.Err() != nil && p.terminate(cl.gracePeriod()) {
					cl.recorder.notef("%s on %s did not end within the grace after SIGTERM", p.program, m.name)
				}
			})
		}
	}
	all.Wait()
}
