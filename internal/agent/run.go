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
	settingsPollInterval = 2 * time.Second // between two reads of the settings file, which may change without a SIGHUP
	expireInterval       = time.Minute     // between two checks for expired instances
	expireAfterIntervals = 6               // check intervals after which an unchanged gone or silent instance expires
	// graceReserve is the unused part of the grace period, so that the process exits before the platform
	// kills it.
	graceReserve = time.Second
)

// bindPolicy retries for 3 s, because the previous process may still have the address bound.
var bindPolicy = retry.Policy{Attempts: 16, Interval: 200 * time.Millisecond}

// Options are the dependencies and settings of Run.
type Options struct {
	Settings *settings.Watcher // reread by no other goroutine
	Log      log.Logger
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // connects to control nodes; usually Dial
	Metrics  metrics.Endpoint                                         // endpoint of metrics; zero: not served
}

// Run runs an agent until SIGTERM or SIGINT. It then continues while a proxy is connected, at most until graceReserve
// before the end of the grace period. It rereads the settings on SIGHUP and when the file has changed.
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

// loop handles signals and changed settings, and removes expired instances, until the shutdown is complete.
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

// instanceExpiry records the sequence numbers of the store at the last checks, one per interval.
type instanceExpiry struct {
	checkedAt time.Time
	seqs      []uint64
}

// expireInstances removes gone and silent instances that have not changed for expireAfterIntervals intervals. It does
// so at most once in expireInterval.
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

// shutDown waits until no proxy is connected, at most until graceReserve before the end of the grace period, which has
// grace seconds.
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
