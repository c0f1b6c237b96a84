package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/retry"
	"mulleinrouter/internal/cluster/settings"
)

const (
	settingsPollInterval = 2 * time.Second
	expireInterval       = time.Minute
	expireAfterIntervals = 6           // after which a gone or silent instance that has not changed is forgotten
	graceReserve         = time.Second // of the grace that is left, so that the process ends by itself
)

// bindPolicy covers the time for which the process before may still hold the address.
var bindPolicy = retry.Policy{Attempts: 16, Interval: 200 * time.Millisecond}

// Options says how an agent runs.
type Options struct {
	Settings *settings.Watcher // no other goroutine rereads them
	Log      log.Logger
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // to control nodes; usually Dial
	Metrics  metrics.Endpoint                                         // where metrics are served; zero: nowhere
}

// Run runs an agent until SIGTERM or an interrupt, and then as long as a proxy is connected, but not longer than the
// grace. SIGHUP and a changed file have the settings read again.
func Run(o Options) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s := o.Settings.Current()
	listener, err := retry.Listen(context.Background(), s.AgentAddr(), bindPolicy)
	if err != nil {
		return fmt.Errorf("listen for the proxy: %w", err)
	}
	a := New(rand.Uint64()|1, o.Log)
	a.dial = o.Dial
	ctx, cancel := context.WithCancel(context.Background())
	defer a.tasks.Wait()
	defer listener.Close()
	defer cancel()
	a.Follow(ctx, s)
	a.tasks.Go(func() { a.Serve(listener) })
	a.tasks.Go(func() {
		server := metrics.Server{Program: program, Endpoint: o.Metrics, Host: s.Host, Log: a.log}
		server.Serve(ctx, a.registerMetrics)
	})
	level.Info(a.log).Log("msg", "started", "node", s.Node, "at", s.AgentAddr(), "incarnation", a.incarnation)
	a.loop(ctx, o.Settings, signals)
	level.Info(a.log).Log("msg", "stopped")
	return nil
}

// loop handles signals and settings, and forgets instances that ended long ago, until the process may end.
func (a *Agent) loop(ctx context.Context, watcher *settings.Watcher, signals <-chan os.Signal) {
	expiry := instanceExpiry{checkedAt: time.Now()}
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		var changed bool
		var s *settings.Settings
		var err error
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				a.shutDown(watcher.Current().Bounds.Grace)
				return
			}
			changed, s, err = watcher.Reload()
		case <-tick.C:
			changed, s, err = watcher.Reread()
			a.expireInstances(&expiry)
		}
		if err != nil {
			level.Error(a.log).Log("msg", "settings rejected", "err", err)
		}
		if changed {
			level.Info(a.log).Log("msg", "settings changed")
			a.Follow(ctx, s)
		}
	}
}

// instanceExpiry remembers the sequence numbers of the store at the last intervals.
type instanceExpiry struct {
	checkedAt time.Time
	seqs      []uint64
}

// expireInstances forgets, once in expireInterval, gone and silent instances that have not changed for several
// intervals.
func (a *Agent) expireInstances(e *instanceExpiry) {
	if time.Since(e.checkedAt) < expireInterval {
		return
	}
	e.checkedAt = time.Now()
	if e.seqs = append(e.seqs, a.store.Seq()); len(e.seqs) > expireAfterIntervals {
		a.store.ForgetInactive(e.seqs[0])
		e.seqs = e.seqs[1:]
	}
}

// shutDown waits until no proxy is connected any more, for a second less than the grace (in seconds) at most.
func (a *Agent) shutDown(grace float64) {
	level.Info(a.log).Log("msg", "shutting down", "proxies", a.proxies.Load())
	timer := time.NewTimer(max(0, time.Duration(grace*float64(time.Second))-graceReserve))
	defer timer.Stop()
	for a.proxies.Load() > 0 {
		select {
		case <-a.lastProxy:
		case <-timer.C:
			return
		}
	}
}
