package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
)

const (
	settingsPollInterval = 2 * time.Second // at the settings file
	expireInterval       = time.Minute
	expireAfterMarks     = 6                      // marks after which an instance that has been gone or silent is forgotten
	bindTimeout          = 3 * time.Second        // the process before may just be ending
	bindInterval         = 200 * time.Millisecond // between two tries
	graceReserve         = time.Second            // left of the grace, so that the end is our own
)

// Options say how an agent runs.
type Options struct {
	File     string             // of the settings, as settings.Load takes it
	Settings *settings.Settings // read from it
	Log      log.Logger
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // to control nodes; usually Dial
	Metrics  metrics.Endpoint                                         // where figures are served; zero: nowhere
}

// Run runs an agent until the process is told to end (SIGTERM or an interrupt), and then as long as a proxy is connected, but not
// longer than the grace. SIGHUP and a changed file have the settings read anew.
func Run(o Options) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	l, err := listen(o.Settings.AgentAddr())
	if err != nil {
		return err
	}
	defer l.Close()
	f := New(rand.Uint64()|1, o.Log)
	f.dial = o.Dial
	ctx, cancel := context.WithCancel(context.Background())
	defer f.all.Wait()
	defer cancel()
	f.Follow(ctx, o.Settings)
	go f.Serve(l)
	f.all.Go(func() {
		server := metrics.Server{Program: program, Endpoint: o.Metrics, Host: o.Settings.Host, Log: f.log}
		server.Serve(ctx, f.registerMetrics)
	})
	f.log.Log("msg", "started", "node", o.Settings.Node, "at", o.Settings.AgentAddr(), "incarnation", f.incarnation)
	f.loop(ctx, settings.NewWatcher(o.File, o.Settings), signals)
	f.log.Log("msg", "ended")
	return nil
}

// loop sees to signals and settings, and forgets instances of long ago, until the process may end.
func (f *Agent) loop(ctx context.Context, w *settings.Watcher, signals <-chan os.Signal) {
	var marks []uint64
	marked := time.Now()
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		var changed bool
		var p *settings.Settings
		var err error
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				f.shutDown(w.Current().Bounds.Grace)
				return
			}
			changed, p, err = w.Reload()
		case <-tick.C:
			changed, p, err = w.Reread()
			if time.Since(marked) >= expireInterval {
				marked = time.Now()
				if marks = append(marks, f.store.Seq()); len(marks) > expireAfterMarks {
					f.store.ForgetInactive(marks[0])
					marks = marks[1:]
				}
			}
		}
		if err != nil {
			f.log.Log("msg", "settings refused", "err", err)
		}
		if changed {
			f.log.Log("msg", "settings changed")
			f.Follow(ctx, p)
		}
	}
}

// shutDown waits until no proxy is there any more, for a second less than the grace at most.
func (f *Agent) shutDown(grace float64) {
	f.log.Log("msg", "told to end", "proxies", f.proxies.Load())
	t := time.NewTimer(max(0, time.Duration(grace*float64(time.Second))-graceReserve))
	defer t.Stop()
	for f.proxies.Load() > 0 {
		select {
		case <-f.gone:
		case <-t.C:
			return
		}
	}
}

// listen binds the address, also where the process before has it for a moment longer.
func listen(addr string) (net.Listener, error) {
	for until := time.Now().Add(bindTimeout); ; time.Sleep(bindInterval) {
		l, err := transport.Listen(addr)
		if err == nil || time.Now().After(until) {
			return l, errors.Wrap(err, "listen for the proxy")
		}
	}
}

// Report is what a running agent says of itself.
type Report struct {
	Incarnation   uint64
	Ready, Quorum bool
	Members       int
	Epoch         uint64
	Clock         float64 // seconds
	Items, Lines  int     // known to it, dropped and gone ones with them
	Serving       int     // servers that take requests
}

// Ask has the agent at that address say what it knows, within about two seconds.
func Ask(ctx context.Context, addr string) (Report, error) {
	nc, err := transport.Dial(ctx, addr, time.Second)
	if err != nil {
		return Report{}, errors.Wrap(err, "no agent answers")
	}
	conn := transport.NewConn(nc)
	defer conn.Close()
	if err := conn.Send(&transport.Frame{Hello: &transport.Hello{Class: classObserver, Incarnation: 1}}); err != nil {
		return Report{}, err
	}
	var r Report
	for {
		f, err := conn.Receive()
		if err != nil {
			return Report{}, err
		}
		news := f.Update
		if news == nil {
			return Report{}, errors.Errorf("no agent answers at %s", addr)
		}
		r.Items += len(news.Items)
		r.Lines += len(news.Instances)
		for _, l := range news.Instances {
			if l.Phase == registry.Serving {
				r.Serving++
			}
		}
		if news.Complete {
			r.Incarnation, r.Ready, r.Quorum, r.Members, r.Epoch, r.Clock = news.Incarnation, news.Ready, news.Quorum, news.Members, news.Epoch, news.Clock
			return r, nil
		}
	}
}
