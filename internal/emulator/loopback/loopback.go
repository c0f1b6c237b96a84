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
	hotTimes    = 8

	startTimeout  = 25 * time.Second // for the machines to be ready
	probeInterval = 80 * time.Millisecond
)

func zoneName(z int) string { return fmt.Sprintf("hall-%c", 'a'+z) }

// Options is what is played.
type Options struct {
	Core, Edge        int           // machines
	For               time.Duration // of traffic
	Faults            []Fault
	Seed              uint64
	Bin               string          // folder of the three programs
	Load              float64         // of the usual 120 requests a second; 0: 1
	Bounds            settings.Bounds // zero: Usual
	HeartbeatInterval time.Duration   // of servers; 0: 1.5 s
	Open              time.Duration   // traffic begins this long after the machines do, at least
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
	o        Options
	launcher *launcher
	cutting  bool // there are faults that cut links
	ports    ports
	core     []*machine
	edge     []*machine
	recorder recorder
	base     time.Time
	open     invariants.Seconds // when traffic began

	world context.Context // ends when all is over
	ctx   context.Context // ends with the traffic
	all   sync.WaitGroup  // of world

	control  *http.Client // for calls of servers, the operator and the platform
	operator *operator
	services map[string]kind
	classes  []*class
	tenants  []*tenant
	users    []*clientUser
	clients  sync.WaitGroup
	faults   sync.WaitGroup
	serial   atomic.Int64
	out      atomic.Int64
	probes   atomic.Int64 // of health, at servers
	hot      atomic.Pointer[tenant]
	acker    atomic.Pointer[machine] // that acknowledged a change last
	ackTimes span

	mu         sync.Mutex
	rng        *rand.Rand
	servers    []*server
	entries    []entry
	live       map[*class][]*route
	odd        []oddity       // what probes ask for
	answers    map[string]int // of the system's own
	diskLost   *machine       // whose disk was lost last
	diskLostAt invariants.Seconds
}

// oddity is a request whose handling shows which configuration is in force.
type oddity struct {
	route *route
	key   string
}

func (f *cluster) now() invariants.Seconds           { return time.Since(f.base).Seconds() }
func (f *cluster) at(t time.Time) invariants.Seconds { return t.Sub(f.base).Seconds() }
func (f *cluster) grace() time.Duration {
	return time.Duration(f.o.Bounds.Grace * float64(time.Second))
}
func (f *cluster) intn(n int) int { f.mu.Lock(); defer f.mu.Unlock(); return f.rng.IntN(n) }
func (f *cluster) liveRoutes(c *class) []*route {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.live[c])
}
func (f *cluster) pause(d time.Duration)            { wait(f.world, d) }
func (f *cluster) hold(d time.Duration) (more bool) { wait(f.ctx, d); return f.ctx.Err() == nil }

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// nameOf is the machine with an address.
func (f *cluster) nameOf(ip string) string {
	for _, m := range slices.Concat(f.core, f.edge) {
		if m.ip == ip {
			return m.name
		}
	}
	return ip
}

// Play plays, and judges what was seen. An error tells that it could not be played at all, or that ctx ended. Nothing
// that it started is left when it returns.
func Play(ctx context.Context, o Options) (*Report, error) {
	if o.Load == 0 {
		o.Load = 1
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 1500 * time.Millisecond
	}
	if o.Bounds == (settings.Bounds{}) {
		o.Bounds = DefaultBounds()
	}
	if o.Core < 1 || o.Edge < 1 || o.Core > 50 || o.Edge > 50 {
		return nil, errors.New("between 1 and 50 core machines, and as many edge machines")
	}
	bin, err := filepath.Abs(o.Bin) // processes start in folders of their own
	if err != nil {
		return nil, err
	}
	o.Bin = bin
	f := &cluster{
		o:       o,
		base:    time.Now(),
		rng:     rand.New(rand.NewPCG(o.Seed, 0)),
		live:    map[*class][]*route{},
		answers: map[string]int{},
	}
	f.recorder.log.Closing = invariants.Never
	f.cutting = slices.ContainsFunc(o.Faults, func(x Fault) bool { return strings.HasPrefix(x.Name, "cut-") })
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	defer transport.CloseIdleConnections()
	f.control = &http.Client{Transport: transport, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	f.operator = &operator{f: f, rng: rand.New(rand.NewPCG(o.Seed, 1)), number: 6, items: map[string]item{}}
	if err := f.build(); err != nil {
		return nil, err
	}
	world, over := context.WithCancel(context.Background())
	f.world = world
	var idle context.CancelFunc
	f.ctx, idle = context.WithCancel(ctx)
	f.launcher = newLauncher()
	err = f.play()
	idle()
	f.clients.Wait()
	f.faults.Wait()
	if err == nil {
		err = ctx.Err()
	}
	var r *Report
	if err == nil {
		f.operator.readBack()
		r = f.report()
	}
	f.end()
	over()
	f.all.Wait()
	f.launcher.close()
	if err != nil {
		return nil, err
	}
	for _, p := range f.users {
		f.drop(p.idle)
	}
	r.evaluate(f)
	return r, nil
}

// play starts all, has the traffic and the faults run, and returns when their time is over.
func (f *cluster) play() error {
	started := map[string]func(invariants.Seconds){}
	for _, m := range slices.Concat(f.core, f.edge) {
		started[m.name] = f.recorder.beginFault(invariants.Fault{Machine: m.name, Core: m.core, Planned: true})
		if err := m.begin(); err != nil {
			return err
		}
	}
	f.all.Go(f.watch)
	for name, kind := range f.services {
		for n := range kind.many {
			if _, err := f.station(name, n); err != nil {
				return err
			}
		}
	}
	if status := f.operator.bring(f.first()...); status != 200 {
		return fmt.Errorf(
			"the first configuration was not taken: %d, %s\n%s",
			status,
			strings.Join(f.recorder.notes, "; "),
			f.logs(),
		)
	}
	for _, m := range slices.Concat(f.core, f.edge) {
		if err := m.settle(false); err != nil {
			return err
		}
	}
	if err := f.await(); err != nil {
		return err
	}
	f.hold(f.o.Open - time.Since(f.base))
	f.open = f.now()
	for _, over := range started {
		over(f.open)
	}
	for n, c := range f.classes {
		f.clients.Go(func() { f.stream(c, rand.New(rand.NewPCG(f.o.Seed, uint64(n+2)))) })
	}
	f.clients.Go(f.ask)
	for _, x := range f.o.Faults {
		f.faults.Go(func() {
			if f.hold(x.At) {
				f.recorder.note("%.1f s: %s", f.now()-f.open, x.Name)
				faults[x.Name].play(f, x.Target)
			}
		})
	}
	f.hold(f.o.For)
	return nil
}

// station opens the nth server of a service.
func (f *cluster) station(service string, n int) (*server, error) {
	return f.serve(service, zoneName(n%zones), "127.0.0.1:0", "v1")
}

// await waits until every machine is ready and serves each route.
func (f *cluster) await() error {
	until := time.Now().Add(startTimeout)
	rng := rand.New(rand.NewPCG(f.o.Seed, 99))
	for _, m := range f.edge {
		for !f.ready(m, time.Second) {
			if time.Now().After(until) || !f.hold(30*time.Millisecond) {
				return fmt.Errorf("%s was not ready in %v\n%s", m.name, startTimeout, f.logs())
			}
		}
		for _, c := range f.classes {
			for _, r := range f.live[c] {
				for {
					t, _ := f.try(
						&order{class: c, route: r, key: f.tenants[0].key(rng), person: f.users[0], probe: m, began: time.Now()},
						0,
						c.deadline,
						rng,
					)
					if t.Status == 200 {
						break
					}
					if time.Now().After(until) || !f.hold(30*time.Millisecond) {
						return fmt.Errorf(
							"%s did not serve %s in %v: %v, %d\n%s",
							m.name,
							c.name,
							startTimeout,
							t.End,
							t.Status,
							f.logs(),
						)
					}
				}
			}
		}
	}
	return nil
}

// logs is the end of each process's log.
func (f *cluster) logs() string {
	var b strings.Builder
	for _, m := range slices.Concat(f.core, f.edge) {
		for _, p := range m.procs {
			fmt.Fprintf(&b, "--- %s on %s\n%s\n", p.program, m.name, p.logEnd())
		}
	}
	return b.String()
}

// ask asks each machine in turn for what was changed lately, or was never there.
func (f *cluster) ask() {
	rng := rand.New(rand.NewPCG(f.o.Seed, 98))
	never := &route{name: "never", host: "nowhere.example", prefix: "/never/", class: f.classes[0]}
	for n := 0; f.hold(probeInterval); n++ {
		m := f.edge[n%len(f.edge)]
		f.mu.Lock()
		odd := oddity{route: never}
		if len(f.odd) > 0 && rng.IntN(5) > 0 {
			odd = f.odd[len(f.odd)-1-rng.IntN(min(len(f.odd), 6))]
		}
		f.mu.Unlock()
		if odd.key == "" {
			odd.key = f.tenants[0].key(rng)
		}
		seed := rng.Uint64()
		f.clients.Go(func() {
			f.order(
				&order{class: odd.route.class, route: odd.route, key: odd.key, person: f.users[0], probe: m, began: time.Now()},
				rand.New(rand.NewPCG(seed, 2)),
			)
		})
	}
}

func (f *cluster) oddities(odd ...oddity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.odd = append(f.odd, odd...)
}

func (f *cluster) drawTenant(rng *rand.Rand, hot *tenant) *tenant {
	all := 1.0
	if hot != nil {
		all += hot.weight * (hotTimes - 1)
	}
	at := rng.Float64() * all
	for _, t := range f.tenants {
		w := t.weight
		if t == hot {
			w *= hotTimes
		}
		if at -= w; at < 0 {
			return t
		}
	}
	return f.tenants[0]
}

// end ends all processes.
func (f *cluster) end() {
	var all sync.WaitGroup
	for _, m := range slices.Concat(f.edge, f.core) {
		for _, p := range m.procs {
			all.Go(func() {
				p.mu.Lock()
				p.hold = true
				p.mu.Unlock()
				if f.ctx.Err() != nil && p.quit(f.grace()) {
					f.recorder.note("%s on %s did not end within the grace after SIGTERM", p.program, m.name)
				}
			})
		}
	}
	all.Wait()
}
