package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	startTimeout   = 25 * time.Second      // for all machines to be ready and to serve each route
	readinessRetry = 30 * time.Millisecond // between two checks of a machine that does not serve yet
)

// Run runs a cluster with its traffic and faults, and checks what was observed. It returns an error when the run could
// not take place, or when ctx ended. All processes and goroutines that it started have ended when it returns.
func Run(ctx context.Context, o Options) (*Report, error) {
	o, err := o.complete()
	if err != nil {
		return nil, err
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	cl := newCluster(o, transport)
	if err := cl.layOut(); err != nil {
		return nil, err
	}
	var r *Report
	err = cl.run(ctx, func() {
		cl.runTraffic()
		cl.report(Stopping)
	}, func() {
		cl.operator.readBack()
		r = cl.usageReport()
	})
	if err != nil {
		return nil, err
	}
	for _, u := range cl.users {
		cl.closeConn(u.idle)
	}
	cl.report(Checking)
	r.evaluate(cl)
	return r, nil
}

// newTransport returns the transport of the calls of servers, the operator and the platform.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
}

// run owns the contexts and goroutines of the cluster: it starts them, and has ended them when it returns. Once the
// cluster serves, it calls work, during which there is traffic, and then afterwards, before the processes end.
func (cl *cluster) run(ctx context.Context, work, afterwards func()) error {
	var endLifetime, endTraffic context.CancelFunc
	cl.lifetime, endLifetime = context.WithCancel(context.Background())
	cl.traffic, endTraffic = context.WithCancel(ctx)
	cl.launcher = newLauncher()
	defer cl.launcher.close()
	defer cl.background.Wait()
	defer endLifetime()
	defer cl.stopProcesses()

	err := cl.start()
	if err == nil {
		work()
	}
	endTraffic()
	cl.clients.Wait()
	cl.faultRuns.Wait()
	if err == nil {
		err = ctx.Err()
	}
	if err == nil {
		afterwards()
	}
	return err
}

// start starts processes, servers and the platform, and returns once the first configuration is served everywhere and
// the warm-up is over. Until then each machine counts as under a planned fault.
func (cl *cluster) start() error {
	cl.report(Starting)
	var started []func(invariants.Seconds)
	for _, m := range cl.machines() {
		over := cl.recorder.beginFault(invariants.Fault{Machine: m.name, Core: m.core, Planned: true})
		started = append(started, over)
		if err := m.start(); err != nil {
			return err
		}
	}
	cl.background.Go(cl.watchReadiness)
	if err := cl.startInitialServers(); err != nil {
		return err
	}
	if status := cl.operator.submit(cl.initialItems()...); status != http.StatusOK {
		notes := strings.Join(cl.recorder.allNotes(), "; ")
		return &StartupError{
			Problem: fmt.Sprintf("the first configuration was not taken: %d, %s", status, notes),
			Logs:    cl.processLogs(),
		}
	}
	for _, m := range cl.machines() {
		if err := m.writeSettings(false); err != nil {
			return err
		}
	}
	if err := cl.awaitServing(); err != nil {
		return err
	}
	cl.report(WarmingUp)
	cl.sleepInTraffic(cl.options.WarmUp - time.Since(cl.startedAt))
	cl.trafficStart = cl.now()
	for _, over := range started {
		over(cl.trafficStart)
	}
	return nil
}

// runTraffic starts clients and scheduled faults, and returns when the time of the traffic is over.
func (cl *cluster) runTraffic() {
	for n, c := range cl.classes {
		cl.clients.Go(func() { cl.sendClass(c, cl.randStream(firstClassStream+uint64(n))) })
	}
	cl.clients.Go(cl.sendCanaries)
	for _, scheduled := range cl.options.Faults {
		cl.faultRuns.Go(func() { cl.inject(scheduled) })
	}
	cl.awaitTrafficEnd()
}

// startInitialServers starts the servers of all services, spread over the zones.
func (cl *cluster) startInitialServers() error {
	for name, spec := range cl.services {
		for n := range spec.instances {
			if err := cl.startServer(name, zoneName(n%zones), anyPort, "v1"); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitServing waits until every edge machine is ready and serves each route.
func (cl *cluster) awaitServing() error {
	until := time.Now().Add(startTimeout)
	rng := cl.randStream(startupStream)
	for _, m := range cl.edge {
		for !cl.ready(m, time.Second) {
			if time.Now().After(until) || !cl.sleepInTraffic(readinessRetry) {
				return notReady(m, cl.processLogs())
			}
		}
		for _, c := range cl.classes {
			for _, r := range cl.live[c] {
				if err := cl.awaitRoute(m, r, until, rng); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// awaitRoute sends requests to an edge machine until one is served.
func (cl *cluster) awaitRoute(m *machine, r *route, until time.Time, rng *rand.Rand) error {
	for {
		request := cl.canaryRequest(canary{route: r, key: cl.tenants[0].drawKey(rng)}, m)
		t, _ := cl.attempt(request, 0, r.class.deadline, rng)
		if t.Status == http.StatusOK {
			return nil
		}
		if time.Now().After(until) || !cl.sleepInTraffic(readinessRetry) {
			return &StartupError{
				Problem: fmt.Sprintf("%s did not serve %s in %v: %v, %d",
					m.name, r.class.name, startTimeout, t.End, t.Status),
				Logs: cl.processLogs(),
			}
		}
	}
}

// stopProcesses ends all processes, edge machines and core nodes at once.
func (cl *cluster) stopProcesses() {
	var all sync.WaitGroup
	for _, m := range slices.Concat(cl.edge, cl.core) {
		for _, p := range m.processes {
			all.Go(func() {
				p.preventRestart()
				if cl.traffic.Err() != nil && p.terminate(cl.gracePeriod()) {
					p.recordKilled()
				}
			})
		}
	}
	all.Wait()
}
