package agent

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
)

const (
	maxConfiguredSources = 5                      // from the settings
	maxSources           = 9                      // with those from the electorate
	votersCheckInterval  = 250 * time.Millisecond // least time between two comparisons of electorate and sources
)

// source is a control node that is subscribed to.
type source struct {
	addr         string
	fromVoters   atomic.Bool // it is a source as a voter, and not by the settings
	client       *replication.Client
	stop         context.CancelFunc
	syncComplete atomic.Bool // all that it knows has come, while it was ready itself
}

// Follow subscribes to the control nodes of these settings, and no longer to those of the settings before. The
// subscriptions end with the context.
func (a *Agent) Follow(ctx context.Context, s *settings.Settings) {
	a.subscriptions.mu.Lock()
	defer a.subscriptions.mu.Unlock()
	a.subscriptions.ctx, a.subscriptions.settings = ctx, s
	addrs := internalAddrs(s, s.Seeds)
	addrs = addrs[:min(len(addrs), maxConfiguredSources)]
	old := *a.sources.Load()
	var next []*source
	for _, src := range old {
		if configured := slices.Contains(addrs, src.addr); configured || src.fromVoters.Load() {
			src.fromVoters.Store(!configured)
			next = append(next, src)
		} else {
			src.stop()
		}
	}
	for _, addr := range addrs {
		if !containsSource(old, addr) {
			next = append(next, a.subscribe(ctx, addr, s))
		}
	}
	a.sources.Store(&next)
}

// subscribeToVoters subscribes to the voters that a control node reported, beyond the configured seeds: these may be
// down or partitioned, and each voter owns counters. A source that is no longer a voter is removed if the electorate is
// current.
func (a *Agent) subscribeToVoters(electorate []string, current bool) {
	now := time.Since(a.startedAt)
	checkedAt := a.votersCheckedAt.Load()
	if now-time.Duration(checkedAt) < votersCheckInterval || !a.votersCheckedAt.CompareAndSwap(checkedAt, int64(now)) {
		return
	}
	a.subscriptions.mu.Lock()
	defer a.subscriptions.mu.Unlock()
	s := a.subscriptions.settings
	if s == nil || a.subscriptions.ctx.Err() != nil {
		return
	}
	voters := internalAddrs(s, electorate)
	old := *a.sources.Load()
	var next []*source
	for _, src := range old {
		if current && src.fromVoters.Load() && !slices.Contains(voters, src.addr) {
			src.stop()
		} else {
			next = append(next, src)
		}
	}
	for _, addr := range voters {
		if len(next) < maxSources && !containsSource(next, addr) {
			level.Info(a.log).Log("msg", "voter discovered", "source", addr)
			src := a.subscribe(a.subscriptions.ctx, addr, s)
			src.fromVoters.Store(true)
			next = append(next, src)
		}
	}
	if !slices.Equal(next, old) {
		a.sources.Store(&next)
	}
}

// internalAddrs returns the internal addresses of control addresses, each once.
func internalAddrs(s *settings.Settings, controlAddrs []string) (addrs []string) {
	for _, controlAddr := range controlAddrs {
		if addr := s.InternalAddrOf(controlAddr); addr != "" && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func containsSource(sources []*source, addr string) bool {
	return slices.ContainsFunc(sources, func(src *source) bool { return src.addr == addr })
}

// subscribe starts a client of a control node.
func (a *Agent) subscribe(ctx context.Context, addr string, s *settings.Settings) *source {
	src := &source{addr: addr}
	ctx, src.stop = context.WithCancel(ctx)
	logger := log.With(a.log, "source", addr)
	src.client = &replication.Client{
		Addr:         addr,
		Node:         s.Node,
		Zone:         s.Zone,
		Class:        replication.ClassAgent,
		Incarnation:  a.incarnation,
		Seed:         a.incarnation,
		Store:        a.store,
		Clock:        a.clock,
		InitialSync:  &a.initialSync,
		Ready:        a.proxyReady,
		RepairSource: true,
		Dial:         func(ctx context.Context) (net.Conn, error) { return a.dial(ctx, addr) },
		OnUpdate:     func(update *transport.Update) { a.observeUpdate(src, update) },
		OnConnection: func(up bool, err error) {
			if up {
				level.Info(logger).Log("msg", "source connected")
				a.retryOthers(src)
			} else {
				level.Warn(logger).Log("msg", "source disconnected", "err", err)
			}
		},
	}
	a.tasks.Go(func() { src.client.Run(ctx) })
	return src
}

// observeUpdate draws the conclusions from an update of a source, which is merged already.
func (a *Agent) observeUpdate(src *source, update *transport.Update) {
	if update.Complete { // a chunk for new subscribers may have been encoded some time ago
		a.linkDelay.observe(time.Now(), a.clock.Age(update.Clock))
	}
	if update.Complete && update.Ready {
		src.syncComplete.Store(true)
	}
	view := a.view()
	if !a.ready.Load() && view.sufficient && a.ready.CompareAndSwap(false, true) {
		level.Info(a.log).Log("msg", "ready", "items", a.store.Snapshot().Len(), "epoch", a.store.Epoch())
		a.store.NotifySubscribers()
	}
	if view.voters != nil {
		a.subscribeToVoters(view.voters, view.votersCurrent)
	}
}

// retryOthers has the other sources tried at once where one has just connected: after a loss of power they come back
// together.
func (a *Agent) retryOthers(connected *source) {
	for _, src := range *a.sources.Load() {
		if src != connected {
			src.client.RetryNow()
		}
	}
}
