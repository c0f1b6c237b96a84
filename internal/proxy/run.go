package proxy

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/metrics"
)

const (
	// maxHandoverTime is the time after SIGTERM for which new clients are still served: the platform checks the
	// readiness each second, and sends none after two checks that fail.
	maxHandoverTime = 2200 * time.Millisecond
	// drainRest is the time for the last answers after open requests were given up.
	drainRest = 400 * time.Millisecond
	// graceReserve is left of the grace, so that the process ends by itself.
	graceReserve = 200 * time.Millisecond
)

// Run serves until the context ends, and then hands its clients over within the grace that the platform gives. A signal
// on hangups says that the settings file has changed; it may also change without one.
func (p *Proxy) Run(ctx context.Context, hangups <-chan os.Signal) error {
	listen := func() (net.Listener, error) { return net.Listen("tcp4", p.settings.FrontAddr) }
	front, err := newSheddingListener(listen, p.control.shedder, p.log)
	if err != nil {
		return fmt.Errorf("clients' address: %w", err)
	}
	defer front.Close()
	readiness, err := net.Listen("tcp4", p.settings.ReadyAddr)
	if err != nil {
		return fmt.Errorf("readiness address: %w", err)
	}
	running, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer readiness.Close()
	defer cancel()
	for _, task := range []func(){
		func() { p.control.agent.Run(running) },
		func() { p.pool.Run(running) },
		func() { serveReadiness(readiness, p.Ready) },
		func() { p.ingress.Serve(front) },
		func() { front.Run(running) },
		func() { p.serveMetrics(running) },
		func() { p.watcher.Follow(running, p.forwardHangups(running, hangups), p.logReload) },
	} {
		tasks.Go(task)
	}
	level.Info(p.log).Log("msg", "waiting for the agent",
		"front", p.settings.FrontAddr, "agent", p.settings.AgentAddr(),
	)
	select {
	case <-p.control.ready:
		p.ingress.Started()
		level.Info(p.log).Log("msg", "serving", "routes", p.control.table.Load().RouteCount())
		<-ctx.Done()
	case <-ctx.Done():
	}
	p.shutDown(front)
	return nil
}

// shutDown hands the clients over and finishes their requests, within the grace.
func (p *Proxy) shutDown(front net.Listener) {
	level.Info(p.log).Log("msg", "shutting down")
	p.beginShutdown()
	serve, finish := shutdownTimes(time.Duration(p.watcher.Current().Bounds.Grace * float64(time.Second)))
	time.Sleep(serve)
	front.Close()
	p.ingress.Drain(finish, drainRest)
	level.Info(p.log).Log("msg", "stopped")
}

// shutdownTimes returns for how long a proxy that shuts down serves on as before, and then finishes its requests before
// it gives up the others: all of it within the grace, with a rest for the last answers, and nothing given up in its
// first half.
func shutdownTimes(grace time.Duration) (serve, finish time.Duration) {
	serve = min(maxHandoverTime, grace*2/5)
	return serve, max(0, grace-serve-2*drainRest-graceReserve)
}

// beginShutdown has clients go elsewhere. From now on a silent server ends no attempt.
func (p *Proxy) beginShutdown() {
	p.control.engine.ExpectDisruption(math.Inf(1))
	p.ingress.Shutdown()
}

// forwardHangups forwards signals, and has the engine expect a disruption at each, whether the file has changed or not.
func (p *Proxy) forwardHangups(ctx context.Context, hangups <-chan os.Signal) <-chan os.Signal {
	forwarded := make(chan os.Signal, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case hangup := <-hangups:
				p.control.engine.ExpectDisruption(p.control.disruptionWindow())
				select {
				case forwarded <- hangup:
				default: // one is pending
				}
			}
		}
	}()
	return forwarded
}

// logReload logs that the settings file was read again. The grace is in force from now on, the other settings of the
// proxy from its next start on.
func (p *Proxy) logReload(changed bool, err error) {
	switch {
	case err != nil:
		level.Error(p.log).Log("msg", "settings rejected", "err", err)
	case changed:
		level.Info(p.log).Log("msg", "settings changed")
	}
}

// serveMetrics serves the proxy's metrics until the context ends.
func (p *Proxy) serveMetrics(ctx context.Context) {
	server := metrics.Server{Program: program, Endpoint: p.metrics, Host: p.settings.Host, Log: p.log}
	server.Serve(ctx, p.registerMetrics)
}
