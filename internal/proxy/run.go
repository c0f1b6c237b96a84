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
	// maxHandoverTime is the time after SIGTERM for which new clients are still served. The platform checks the
	// readiness every second, and stops sending clients after two failed checks.
	maxHandoverTime = 2200 * time.Millisecond
	// finalAnswerTime is the time for sending the last answers after the open requests were aborted.
	finalAnswerTime = 400 * time.Millisecond
	// graceReserve is the unused part of the grace period, so that the process exits before the platform
	// kills it.
	graceReserve = 200 * time.Millisecond
)

// Run serves until the context ends, and then shuts down within the grace period of the platform, so that clients can
// move to other ingresses. A signal on hangups indicates that the settings file has changed; the file may also change
// without a signal.
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

// shutDown makes clients move to other ingresses and finishes the open requests, within the grace.
func (p *Proxy) shutDown(front net.Listener) {
	level.Info(p.log).Log("msg", "shutting down")
	p.beginShutdown()
	serve, finish := shutdownTimes(time.Duration(p.watcher.Current().Bounds.Grace * float64(time.Second)))
	time.Sleep(serve)
	front.Close()
	p.ingress.Drain(finish, finalAnswerTime)
	level.Info(p.log).Log("msg", "stopped")
}

// shutdownTimes returns the two phases of a shutdown: the time for which new clients are still served, and then the
// time for which open requests may finish before the rest is aborted. For a grace of at least 2 s, both phases and the
// last answers fit into the grace, and no request is aborted in the first half of the grace.
func shutdownTimes(grace time.Duration) (serve, finish time.Duration) {
	serve = min(maxHandoverTime, grace*2/5)
	return serve, max(0, grace-serve-2*finalAnswerTime-graceReserve)
}

// beginShutdown makes clients move to other ingresses. From now on no attempt is abandoned because of a silent server.
func (p *Proxy) beginShutdown() {
	p.control.engine.ExpectDisruption(math.Inf(1))
	p.ingress.Shutdown()
}

// forwardHangups forwards signals and announces a disruption to the engine at each one, whether or not the settings
// file has changed.
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
				default: // a signal is already pending
				}
			}
		}
	}()
	return forwarded
}

// logReload logs the result of rereading the settings file. A changed grace, ConfigApply or log level takes effect at
// once; the other settings of the proxy take effect at its next start.
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
