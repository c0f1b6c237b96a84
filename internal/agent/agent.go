package agent

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
)

const (
	maxConfiguredSeeds = 5   // of the settings
	maxSources         = 9   // with those that control nodes told of
	maxCounterCalls    = 256 // counter calls under way; more are answered at once as not kept
	maxProxies         = 8   // connections of the proxy: two while one takes over from another, and whoever looks
	statusTTL          = 2 * time.Second
	proxyReadyTTL      = 1500 * time.Millisecond // for which the word of a proxy that it is ready holds
	singleSourceAfter  = 5 * time.Second         // from the start, until one control node that hears most others will do
	subscribeInterval  = 250 * time.Millisecond  // at the first feed so long after the last time
	dialTimeout        = time.Second
	counterTimeout     = 160 * time.Millisecond // a counter call, at each of two keepers: a proxy waits for little more than both
)

// program is the name of this program in logs, metrics and settings.
const program = "agent"

// classObserver is the class of whoever only looks at what the agent knows.
const classObserver = "visitor"

// Agent is a running agent.
type Agent struct {
	incarnation uint64
	log         log.Logger
	store       *replication.Store
	clock       *replication.Clock
	source      *replication.Source
	started     time.Time
	initialSync replication.InitialSync
	linkDelay   linkDelay

	sources atomic.Pointer[[]*source] // in force; swapped whole, under follow
	follow  struct {
		sync.Mutex
		ctx  context.Context
		from *settings.Settings
	}
	widened               atomic.Int64 // when others were last looked for, since the start
	all                   sync.WaitGroup
	ready                 atomic.Bool  // what is here is enough to serve with; once it is, it stays so
	proxyReadyAt          atomic.Int64 // when a proxy last said that it takes requests, since the start; 0: never
	proxies               atomic.Int32
	gone                  chan struct{} // the last proxy has gone
	calls                 chan struct{} // room for counter calls
	forwarded, unanswered atomic.Int64  // counter calls, and those that no keeper answered
	dial                  func(ctx context.Context, addr string) (net.Conn, error)
}

// source is a control node that is subscribed to.
type source struct {
	addr     string
	learned  atomic.Bool // by a control node, not by the settings
	client   *replication.Client
	stop     context.CancelFunc
	complete atomic.Bool // all that it knows has come, as it was ready itself
}

// New makes an agent of a process with that life, which no other process has had.
func New(life uint64, logger log.Logger) *Agent {
	f := &Agent{incarnation: life, log: log.With(logger, "part", program), store: replication.NewStore(life), started: time.Now(),
		gone: make(chan struct{}, 1), calls: make(chan struct{}, maxCounterCalls),
		dial: Dial}
	f.clock = replication.NewClock(func() float64 { return time.Since(f.started).Seconds() })
	f.sources.Store(new([]*source))
	f.source = &replication.Source{Store: f.store, Clock: f.clock, Ready: f.ready.Load,
		Members:   func() int { return f.view().members },
		Quorum:    func() bool { return f.view().quorum },
		LinkDelay: func() time.Duration { return f.linkDelay.current(time.Now()) },
		Rank: func(string) (int, int) {
			o := f.view()
			return o.rank, o.peers
		},
		OnRenewal: func(_ *transport.Hello, ready bool) {
			if ready {
				f.proxyReadyAt.Store(int64(time.Since(f.started)))
			}
		},
	}
	return f
}

// Dial connects to a control node's inner address within a second.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return transport.Dial(ctx, addr, dialTimeout)
}

// proxyReady tells whether a proxy takes requests: then the lease counts.
func (f *Agent) proxyReady() bool {
	at := f.proxyReadyAt.Load()
	return at != 0 && f.proxies.Load() > 0 && time.Since(f.started)-time.Duration(at) < proxyReadyTTL
}

// Follow subscribes to the control nodes of these settings, and no longer to those of the ones before. Its clients end with the context.
func (f *Agent) Follow(ctx context.Context, p *settings.Settings) {
	f.follow.Lock()
	defer f.follow.Unlock()
	f.follow.ctx, f.follow.from = ctx, p
	var addrs []string
	for _, s := range p.Seeds {
		if a := p.InternalAddrOf(s); a != "" && !slices.Contains(addrs, a) && len(addrs) < maxConfiguredSeeds {
			addrs = append(addrs, a)
		}
	}
	old := *f.sources.Load()
	var next []*source
	for _, s := range old {
		if own := slices.Contains(addrs, s.addr); own || s.learned.Load() {
			s.learned.Store(!own)
			next = append(next, s)
		} else {
			s.stop()
		}
	}
	for _, a := range addrs {
		if !slices.ContainsFunc(old, func(s *source) bool { return s.addr == a }) {
			next = append(next, f.subscribe(ctx, a, p.Node, p.Zone))
		}
	}
	f.sources.Store(&next)
}

// subscribeToVoters subscribes to the voters that a control node told of, beyond the settings' own: these may be down, or cut off from the rest,
// and each voter keeps counters. One that is no voter any more goes, if that is sure.
func (f *Agent) subscribeToVoters(told []string, sure bool) {
	now := time.Since(f.started)
	if at := f.widened.Load(); now-time.Duration(at) < subscribeInterval || !f.widened.CompareAndSwap(at, int64(now)) {
		return
	}
	f.follow.Lock()
	defer f.follow.Unlock()
	p := f.follow.from
	if p == nil || f.follow.ctx.Err() != nil {
		return
	}
	var voters []string
	for _, v := range told {
		if a := p.InternalAddrOf(v); a != "" && !slices.Contains(voters, a) {
			voters = append(voters, a)
		}
	}
	old := *f.sources.Load()
	var next []*source
	for _, s := range old {
		if sure && s.learned.Load() && !slices.Contains(voters, s.addr) {
			s.stop()
		} else {
			next = append(next, s)
		}
	}
	for _, a := range voters {
		if len(next) < maxSources && !slices.ContainsFunc(next, func(s *source) bool { return s.addr == a }) {
			f.log.Log("msg", "source told", "source", a)
			s := f.subscribe(f.follow.ctx, a, p.Node, p.Zone)
			s.learned.Store(true)
			next = append(next, s)
		}
	}
	if !slices.Equal(next, old) {
		f.sources.Store(&next)
	}
}

// subscribe starts a client of a control node.
func (f *Agent) subscribe(ctx context.Context, addr, node, zone string) *source {
	s := &source{addr: addr}
	ctx, s.stop = context.WithCancel(ctx)
	logger := log.With(f.log, "source", addr)
	s.client = &replication.Client{Addr: addr, Node: node, Zone: zone, Class: replication.ClassAgent, Incarnation: f.incarnation, Seed: f.incarnation, Store: f.store, Clock: f.clock, InitialSync: &f.initialSync,
		Ready: f.proxyReady, RepairSource: true, Dial: func(ctx context.Context) (net.Conn, error) { return f.dial(ctx, addr) },
		OnUpdate: func(news *transport.Update) {
			if news.Complete { // a chunk for newcomers may have been made some time ago
				f.linkDelay.observe(time.Now(), f.clock.Age(news.Clock))
			}
			if news.Complete && news.Ready {
				s.complete.Store(true)
			}
			f.update()
		},
		OnConnection: func(up bool, err error) {
			if up {
				logger.Log("msg", "source answers")
				f.retryOthers(s)
			} else {
				logger.Log("msg", "source lost", "err", err)
			}
		},
	}
	f.all.Go(func() { s.client.Run(ctx) })
	return s
}

// update notes, once, that what is here is enough to serve with, and takes up the voters that are told.
func (f *Agent) update() {
	o := f.view()
	if !f.ready.Load() && o.sufficient && f.ready.CompareAndSwap(false, true) {
		f.log.Log("msg", "ready", "items", f.store.Snapshot().Len(), "epoch", f.store.Epoch())
		f.store.NotifySubscribers()
	}
	if o.voters != nil {
		f.subscribeToVoters(o.voters, o.votersCurrent)
	}
}

// clusterView is what the control nodes look like together. Only those in contact with a majority of the voters have a say.
type clusterView struct {
	members       int      // the most that one of them counts; 0: none knows
	quorum        bool     // as many of them are heard as are a majority of the voters
	sufficient    bool     // what has come from them is enough to serve with
	voters        []string // the voters, by control addresses; nil: nobody has told them
	votersCurrent bool     // one in contact has
	rank          int      // of this ingress in its zone, as the one that counts most has it
	peers         int      // 0: it has none
	living        []string // those that counter calls can go to
}

// sourceStatus is what is known of one control node.
type sourceStatus struct {
	addr     string
	learned  bool
	up       bool
	complete bool
	replication.State
}

func (f *Agent) view() clusterView {
	seeds := *f.sources.Load()
	words := make([]sourceStatus, 0, maxSources)
	for _, s := range seeds {
		words = append(words, sourceStatus{s.addr, s.learned.Load(), s.client.Connected(), s.complete.Load(), s.client.State()})
	}
	return evaluate(words, time.Now(), time.Since(f.started))
}

// evaluate judges what is known of the control nodes, so long after the start. A majority of the voters has everything that was
// acknowledged, and who is in contact with one and ready has it too. Where not so many as are a majority come, one is enough after a while.
// One that is out of contact, or is known to be behind another, feeds nobody anew.
func evaluate(words []sourceStatus, now time.Time, since time.Duration) (o clusterView) {
	heard, whole, electorate, newest, knows := 0, 0, 0, uint64(0), uint64(0)
	in := func(w *sourceStatus) bool { return w.Incarnation != 0 && now.Sub(w.LastUpdateAt) <= statusTTL && w.Quorum }
	for i := range words {
		w := &words[i]
		newest = max(newest, w.Epoch)
		if !w.learned {
			electorate++
		}
		if len(w.Voters) > 0 && (o.voters == nil || in(w) && (!o.votersCurrent || w.Epoch > knows)) {
			o.voters, o.votersCurrent, knows = w.Voters, in(w), w.Epoch
		}
	}
	if o.votersCurrent {
		electorate = len(o.voters)
	}
	for i := range words {
		w := &words[i]
		if !in(w) {
			continue
		}
		heard++
		if w.ZonePeers > 0 && (w.Members > o.members || o.peers == 0) {
			o.rank, o.peers = w.Rank, w.ZonePeers
		}
		o.members = max(o.members, w.Members)
		if w.complete && w.Ready && w.Epoch >= newest {
			whole++
		}
		if w.up {
			o.living = append(o.living, w.addr)
		}
	}
	o.quorum = heard > 0 && 2*heard > electorate
	o.sufficient = whole > 0 && (2*whole > electorate || since > singleSourceAfter)
	return o
}

// Serve takes proxies until the listener is closed.
func (f *Agent) Serve(l net.Listener) {
	room := make(chan struct{}, maxProxies)
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case room <- struct{}{}:
			go func() {
				f.proxy(nc)
				<-room
			}()
		default:
			nc.Close()
		}
	}
}

// proxy serves one connection.
func (f *Agent) proxy(nc net.Conn) {
	conn := transport.NewConn(nc)
	defer conn.Close()
	first, err := conn.Receive()
	if err != nil || first.Hello == nil {
		return
	}
	switch first.Hello.Class {
	case classObserver:
		looks := &replication.Source{Store: f.store, Clock: f.clock, Ready: f.source.Ready, Members: f.source.Members, Quorum: f.source.Quorum}
		_ = looks.Serve(conn, first.Hello, nil)
	case replication.ClassProxy:
		f.proxies.Add(1)
		f.log.Log("msg", "proxy comes", "node", first.Hello.Node)
		err := f.source.Serve(conn, first.Hello, func(call *transport.Frame) *transport.Frame { return f.handleCounter(conn, call) })
		f.log.Log("msg", "proxy goes", "node", first.Hello.Node, "err", err)
		if f.proxies.Add(-1) == 0 {
			select {
			case f.gone <- struct{}{}:
			default:
			}
		}
	}
}

// handleCounter takes a counter call of a proxy; the answer goes out by itself once the keeper has given one.
func (f *Agent) handleCounter(conn *transport.Conn, call *transport.Frame) *transport.Frame {
	if call.CounterAdd == nil || call.Call == 0 {
		return nil
	}
	select {
	case f.calls <- struct{}{}:
	default:
		return &transport.Frame{CounterTotal: &transport.CounterTotal{}}
	}
	go func() {
		defer func() { <-f.calls }()
		_ = conn.Send(&transport.Frame{Call: call.Call, CounterTotal: f.callKeeper(call.CounterAdd)})
	}()
	return nil
}

// callKeeper has the keeper of a counter add, as this agent sees the living, or the next one where it does not answer for it.
func (f *Agent) callKeeper(add *transport.CounterAdd) *transport.CounterTotal {
	f.forwarded.Add(1)
	living, seeds := f.view().living, *f.sources.Load()
	for try := 0; try < 2 && len(living) > 0; try++ {
		owner := quota.Owner(add.Name, living)
		living = slices.DeleteFunc(living, func(a string) bool { return a == owner })
		at := slices.IndexFunc(seeds, func(s *source) bool { return s.addr == owner })
		if at < 0 {
			continue // the settings changed just now
		}
		answer, err := seeds[at].client.Call(counterTimeout, &transport.Frame{CounterAdd: add})
		if err == nil && answer.CounterTotal != nil && (answer.CounterTotal.OK || answer.CounterTotal.Reporters > 0) {
			return answer.CounterTotal // its keeper, be it one that is not sure yet of all holders
		}
	}
	f.unanswered.Add(1)
	return &transport.CounterTotal{}
}

// retryOthers has the other sources tried at once where one has just come: after a loss of power they come back together.
func (f *Agent) retryOthers(but *source) {
	for _, s := range *f.sources.Load() {
		if s != but {
			s.client.RetryNow()
		}
	}
}
