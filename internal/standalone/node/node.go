// Package node puts one ingress together from its configuration: the decisions, their engine, the clients' and the
// quote servers' sides, discovery, the counter, the catalogue of plans and the records of use.
package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/counterclient"
	"mulleinrouter/internal/standalone/counterserver"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/quotasync"
	"mulleinrouter/internal/standalone/hotrestart"
	"mulleinrouter/internal/standalone/mgmt"
	"mulleinrouter/internal/standalone/plans"
	"mulleinrouter/internal/standalone/usageexport"
	"mulleinrouter/internal/standalone/usagesegment"
)

const (
	// After SIGTERM the front goes on sending for up to 0.4 s; SIGKILL comes after 3.7 s at the soonest.
	handOver = 500 * time.Millisecond
	patience = 2700 * time.Millisecond
	rest     = 300 * time.Millisecond

	exportMost = 30 * time.Second // for a batch to be handed over, sent and acknowledged

	defaultSockets  = 1024
	defaultMemoryMB = 192
	clientShare     = 0.6 // of the sockets; the rest is for the quote servers and a few others
	upstreamShare   = 0.3
	heapShare       = 0.6 // of the memory: beyond it the collector works harder, not before
	lazyGC          = 400 // percent of the live heap: it is small, and collections cost CPU
)

// Node is one ingress.
type Node struct {
	config   *config.Config
	log      *logrus.Logger
	listener net.Listener
	mgmt     net.Listener // nil: none
	engine   *engine.Engine
	count    *counterclient.Client // nil: none
	server   *ingress.Server
	watcher  *discovery.Watcher
	meter    *usagesegment.Writer // nil: use is not metered

	cancel context.CancelFunc
	ending sync.WaitGroup
	closed []func()

	applied, rejected atomic.Int64 // configuration files read at SIGHUP

	sharing   *quotasync.Service      // quotas and judgements shared with the others; nil: they are not
	fleet     *gossip.Fleet           // the other ingresses; nil: they are not known
	duties    *leaseservice.Steward   // nil: there are none
	announcer *leaseservice.Announcer // nil: revisions of the catalogue hold as its file has them
	younger   atomic.Bool             // a newer process of this ingress runs beside it

	pair    *pair       // other processes of this ingress; nil: there can be none
	leaving atomic.Bool // it takes no new clients

	mu    sync.Mutex
	state *plans.State // nil: plans have not changed since the start
	last  uint64       // number of the revision that the last reload made
}

// Tune fits the run time to the machine's limits, and fills in those that were not told.
func Tune(l *config.Limits) {
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	debug.SetGCPercent(lazyGC)
	debug.SetMemoryLimit(int64(heapShare * float64(l.MemoryMB) * (1 << 20)))
}

// Start has an ingress listen and serve. Limits that were not told are those of Tune.
func Start(c *config.Config, log *logrus.Logger) (*Node, error) {
	n := &Node{config: c, log: log}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.start(ctx); err != nil {
		n.stop()
		return nil, err
	}
	return n, nil
}

func (n *Node) start(ctx context.Context) (err error) {
	c := n.config
	// Before it listens: what comes to it meanwhile goes to the older process.
	var learned *decision.Knowledge
	if n.pair = beside(c.State, c.Name, c.Listen, int64(os.Getpid()), n.log); n.pair != nil {
		learned = n.pair.learn()
	}
	if n.listener, err = hotrestart.Listen(c.Listen); err != nil {
		return err // a second process beside this one listens there too: only another program can be in the way
	}
	n.closed = append(n.closed, func() { n.listener.Close() })
	if c.Embedded != "" {
		if err := n.embed(); err != nil {
			return err
		}
	}
	n.engine = engine.New(decision.New(c.Settings, c.Seed), &c.Settings, engine.NewClock())
	n.engine.Log = n.log
	if c.Counter != "" {
		n.count = counterclient.New(c.Counter, seconds(c.Settings.CounterTimeout), n.engine.CounterReplied, n.log)
		n.closed = append(n.closed, n.count.Close)
		n.engine.Start(n.count)
	} else {
		n.engine.Start(nil)
	}
	directory := &discovery.Directory{}
	n.watcher = &discovery.Watcher{Addr: c.Discovery, Directory: directory, Tell: n.engine.SetBackends, Log: n.log,
		Fleet: c.Settings.Gateways, Seed: c.Seed}
	if c.Known != nil {
		n.watcher.Known(c.Known)
	}
	if learned != nil {
		customers, backends := n.engine.Restore(*learned)
		n.log.WithFields(logrus.Fields{"code": "process-learned", "customers": customers, "servers": backends}).Info("an older process handed over what it knows")
	}
	if n.pair != nil {
		n.spawn(func() { n.beats(ctx) })
	}
	if c.Membership != nil {
		if err := n.meet(ctx); err != nil {
			return err
		}
	}
	pool := upstream.New(directory.Lookup, upstream.Limits{
		Connections:    int(upstreamShare * float64(c.Limits.Sockets)),
		ConnectTimeout: seconds(c.Settings.ConnectTimeout),
		Keepalive:      seconds(c.Settings.Keepalive),
	}, n.log)
	n.server = ingress.New(&c.Settings, n.engine, pool, int(clientShare*float64(c.Limits.Sockets)), n.log)
	if n.fleet != nil {
		n.server.About = n.about
	}
	if c.Catalogue != "" {
		if err := n.follow(ctx); err != nil {
			return err
		}
	}
	if c.Usage != nil {
		if err := n.measure(ctx); err != nil {
			return err
		}
	}
	if !c.Static {
		n.spawn(func() { n.watcher.Run(ctx) })
	}
	n.spawn(func() { pool.Run(ctx) })
	if c.Mgmt != "" {
		if err := n.manage(); err != nil {
			return err
		}
	}
	go n.server.Serve(n.listener)
	n.server.Started()
	n.moved()
	n.log.WithFields(logrus.Fields{"code": "process-started", "name": c.Name, "listen": n.Addr(), "mgmt": n.MgmtAddr()}).Info("serving")
	return nil
}

// manage serves the management address.
func (n *Node) manage() error {
	l, err := net.Listen("tcp4", n.config.Mgmt)
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	n.mgmt = l
	m := &mgmt.Server{Handler: n.call, Log: n.log}
	go m.Serve(l)
	n.closed = append(n.closed, func() { l.Close() })
	return nil
}

// call answers one call at the management address.
func (n *Node) call(word, rest string) (bool, []string) {
	defer n.moved()
	switch word {
	case "PING":
		return n.server.Phase().Alive(), nil
	case "LAMEDUCK":
		taken := n.server.LameDuck()
		if taken && n.duties != nil {
			n.duties.Resign()
		}
		return taken, nil
	case "REJOIN":
		taken := n.server.Rejoin()
		if taken && n.duties != nil {
			n.duties.Rejoin()
		}
		return taken, nil
	case "INFO":
		return true, append(n.Figures(), "--")
	}
	if n.fleet != nil {
		return n.fleetCall(word, rest)
	}
	return false, nil
}

// Figures are the figures of INFO, in the statsd line format: counts since the process started (|c) and levels now
// (|g). Each is counted where its event happens: answers and attempts in the clients' side, the list and what of it
// is avoided in the module, files at SIGHUP here.
func (n *Node) Figures() []string {
	classes, active := n.server.Stats()
	listed, avoided := n.engine.PoolSize()
	lines := make([]string, 0, 4*len(classes)+6)
	var tries int64
	for _, c := range classes {
		lines = append(lines, mgmt.Count("ingress.responses."+c.Class+".ok", c.OK), mgmt.Count("ingress.responses."+c.Class+".shed", c.Shed),
			mgmt.Count("ingress.responses."+c.Class+".errors", c.Errors), mgmt.Count("ingress.responses."+c.Class+".tries", c.Tries))
		tries += c.Tries
	}
	if n.fleet != nil {
		lines = append(lines, n.fleetFigures()...)
	}
	return append(lines, mgmt.Count("ingress.tries", tries), mgmt.Gauge("ingress.active", active),
		mgmt.Gauge("ingress.pool_size", int64(listed)), mgmt.Gauge("ingress.pool_ejected", int64(avoided)),
		mgmt.Count("ingress.config_applied", n.applied.Load()), mgmt.Count("ingress.config_rejected", n.rejected.Load()))
}

// MgmtAddr is the management address; empty: there is none.
func (n *Node) MgmtAddr() string {
	if n.mgmt == nil {
		return ""
	}
	return n.mgmt.Addr().String()
}

// Addr is the address that clients connect to.
func (n *Node) Addr() string { return n.listener.Addr().String() }

func (n *Node) spawn(f func()) {
	n.ending.Add(1)
	go func() {
		defer n.ending.Done()
		f()
	}()
}

// embed serves a counter of this ingress's own, for the others on this machine, too.
func (n *Node) embed() error {
	l, err := net.Listen("tcp", n.config.Embedded)
	if err != nil {
		return fmt.Errorf("counter: %w", err)
	}
	server := counterserver.New(1)
	n.config.Counter = l.Addr().String()
	go server.Serve(l)
	n.closed = append(n.closed, func() {
		l.Close()
		server.Close()
	})
	return nil
}

// besideEnd names the folder of use that a newer process of this ingress has while the older one writes to the configured one.
const (
	besideEnd   = ".beside"
	besideTries = 5
	takenEvery  = time.Second     // tries at a folder that another process has
	leftEvery   = 3 * time.Second // looks for what one left that was killed
)

// measure records use, and exports it where somebody takes it. Beside an older process of this ingress it has a folder of its own,
// which billing knows as another source; what the older one leaves is exported once that has ended.
func (n *Node) measure(ctx context.Context) error {
	u := n.config.Usage
	dir, other := u.Dir, u.Dir+besideEnd
	w, err := usagesegment.Open(dir, u.Rotate, n.log)
	for range besideTries { // the other process may look for what is left in either
		if !errors.Is(err, usagesegment.ErrTaken) || n.pair == nil {
			break
		}
		dir, other = other, dir
		w, err = usagesegment.Open(dir, u.Rotate, n.log)
	}
	if err != nil {
		return err
	}
	n.meter, n.server.Meter = w, w
	n.closed = append(n.closed, func() {
		if err := w.Close(); err != nil {
			n.log.WithField("code", "usage-bad-segment").WithError(err).Error("the last segment of use could not be closed; the next start does")
		}
	})
	n.spawn(func() { w.Run(ctx) })
	if u.Endpoint != "" && n.duties != nil { // the one that holds the export sends for all
		n.duties.DoExport(u.Endpoint)
	}
	e := n.exporter(dir)
	if u.Endpoint != "" {
		if err := e.Open(); err != nil && !errors.Is(err, usageexport.ErrTaken) {
			return err
		} else if err != nil { // what the last process left there is just being exported
			n.spawn(func() {
				if n.free(ctx, e.Open) {
					defer e.Close()
					e.Run(ctx)
				}
			})
		} else {
			n.closed = append(n.closed, func() { e.Close() })
			n.spawn(func() { e.Run(ctx) })
		}
	}
	if n.pair != nil {
		n.spawn(func() { n.inherit(ctx, other) })
	}
	return nil
}

// exporter is one of a folder.
func (n *Node) exporter(dir string) *usageexport.Exporter {
	e := &usageexport.Exporter{Dir: dir, Endpoint: n.config.Usage.Endpoint, Keep: n.config.Usage.Keep, Log: n.log}
	if n.duties != nil {
		e.Client = &http.Client{Timeout: exportMost, Transport: leaseservice.Exporting{Steward: n.duties}}
	}
	return e
}

// free tries to open what another process may have, until it can; false: the context ended, or it cannot be at all.
func (n *Node) free(ctx context.Context, open func() error) bool {
	for {
		err := open()
		if err == nil {
			return true
		}
		if !errors.Is(err, usageexport.ErrTaken) && !errors.Is(err, usagesegment.ErrTaken) {
			n.log.WithField("code", "usage-bad-segment").WithError(err).Error("what another process of this ingress recorded cannot be exported; usage export does it by command")
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(takenEvery):
		}
	}
}

// inherit exports what another process of this ingress left in its folder, once it has ended: an older one as planned, a newer one
// that died in the middle of an upgrade.
func (n *Node) inherit(ctx context.Context, dir string) {
	for first := true; ; {
		all, err := usagesegment.List(dir)
		left := err == nil && (first && len(all) > 0 || slices.ContainsFunc(all, func(s usagesegment.Info) bool { return s.Open }))
		if left && n.closes(dir) && n.config.Usage.Endpoint != "" {
			n.empty(ctx, dir)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(leftEvery):
		}
		first = first && !left
	}
}

// closes closes what is left open in a folder, as the next start does; false: another process has it.
func (n *Node) closes(dir string) bool {
	w, err := usagesegment.Open(dir, n.config.Usage.Rotate, n.log)
	return err == nil && w.Close() == nil
}

// empty exports all that is in a folder.
func (n *Node) empty(ctx context.Context, dir string) {
	e := n.exporter(dir)
	if !n.free(ctx, e.Open) {
		return
	}
	defer e.Close()
	for ctx.Err() == nil {
		sent, _, _, err := e.Step(ctx)
		if err == nil && !sent {
			n.log.WithFields(logrus.Fields{"code": "usage-inherited", "dir": dir}).Info("what another process of this ingress recorded is exported")
			return
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(takenEvery):
			}
		}
	}
}

// Drain serves on while the front still sends, then closes idle connections and waits for the others to have their
// answers, within the patience that a planned restart leaves.
func (n *Node) Drain() {
	n.server.Shutdown()
	n.goes()
	// A newer process may listen beside this one: new connections go to it from now on, and what is queued here
	// already is taken before the listener closes, which would reset it.
	if err := hotrestart.Steer(n.listener); err != nil {
		n.log.WithField("code", "process-not-steered").WithError(err).Warn("new connections still come here until the listener closes")
	}
	time.Sleep(handOver) // the front still sends
	n.leaving.Store(true)
	n.listener.Close()
	if n.fleet != nil {
		go n.fleet.Leave(false)
	}
	n.server.Drain(patience, rest)
	n.stop()
}

// Stop ends it at once: requests in hand lose their answers.
func (n *Node) Stop() {
	n.listener.Close()
	n.server.Drain(0, rest)
	n.stop()
}

func (n *Node) stop() {
	n.cancel()
	n.ending.Wait()
	for _, f := range slices.Backward(n.closed) {
		f()
	}
	n.closed = nil
}

func seconds(s decision.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
