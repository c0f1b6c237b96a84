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
	startTimeout   = 25 * time.Second      // for all edge machines to be ready and serve every route
	readinessRetry = 30 * time.Millisecond // between two checks whether a machine is ready or serves a route
)

// Run runs a cluster with traffic and faults, and checks the recorded observations. It returns an error if the cluster
// could not be started or ctx ended. All processes and goroutines that it started have ended when it returns.
func Run(ctx context.Context, o Options) (*Report, error) {
	o, err := o.complete()
	if err != nil {
		return nil, err
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	cl := newCluster(o, transport)
	if err := cl.createTopology(); err != nil {
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

// newTransport returns the HTTP transport for calls of servers, the operator and the platform.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
}

// run manages the contexts and goroutines of the cluster. It starts them, and all of them have ended when it returns.
// Once the cluster is serving, it calls work, during which there is traffic. Then it calls afterwards, while the
// processes are still running.
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

// start starts processes, servers and the platform, and returns once all edge machines serve the first configuration
// and the warm-up is over. Until then a planned fault is recorded for each machine, so that startup violates no rule.
func (cl *cluster) start() error {
	cl.report(Starting)
	var startupFaults []func(invariants.Seconds)
	for _, m := range cl.machines() {
		endFault := cl.recorder.beginFault(invariants.Fault{Machine: m.name, Core: m.core, Planned: true})
		startupFaults = append(startupFaults, endFault)
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
			Problem: fmt.Sprintf("the first configuration was not accepted: status %d, %s", status, notes),
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
	for _, endFault := range startupFaults {
		endFault(cl.trafficStart)
	}
	return nil
}

// runTraffic starts clients and scheduled faults, and returns when the traffic time is over.
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

// startInitialServers starts the servers of all services, distributed over the zones.
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

// awaitServing waits until every edge machine is ready and serves every route.
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

// awaitRoute sends requests for a route to an edge machine until one is served.
func (cl *cluster) awaitRoute(m *machine, r *route, until time.Time, rng *rand.Rand) error {
	for {
		request := cl.canaryRequest(canary{route: r, key: cl.tenants[0].drawKey(rng)}, m)
		t, _ := cl.attempt(request, 0, r.class.deadline, rng)
		if t.Status == http.StatusOK {
			return nil
		}
		if time.Now().After(until) || !cl.sleepInTraffic(readinessRetry) {
			return &StartupError{
				Problem: fmt.Sprintf("%s did not serve %s requests within %v: last attempt %v, status %d",
					m.name, r.class.name, startTimeout, t.End, t.Status),
				Logs: cl.processLogs(),
			}
		}
	}
}

// stopProcesses stops the processes of all edge machines and core nodes concurrently.
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
