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
	maxConfiguredSources = 5                      // sources from the settings; further ones are ignored
	maxSources           = 9                      // sources in total; further voters are not subscribed to
	votersCheckInterval  = 250 * time.Millisecond // minimum time between two comparisons of voters and sources
)

// source is a control node that the agent subscribes to.
type source struct {
	addr         string
	fromVoters   atomic.Bool // subscribed to because it is a voter, not configured in the settings
	client       *replication.Client
	stop         context.CancelFunc
	syncComplete atomic.Bool // its complete state was received while it was ready
}

// Follow subscribes to the control nodes of the settings s and ends the subscriptions to those that only the previous
// settings contained. The subscriptions end with the context.
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

// subscribeToVoters subscribes to the voters that a control node reported, in addition to the configured seeds, because
// the seeds may be down or partitioned and each voter owns counters. If the list of voters is current, it removes
// sources that were subscribed to as voters and are no longer voters.
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

// internalAddrs returns the internal addresses for a list of control addresses, without duplicates.
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

// subscribe starts a replication client for a control node.
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
				a.retryOtherSources(src)
			} else {
				level.Warn(logger).Log("msg", "source disconnected", "err", err)
			}
		},
	}
	a.tasks.Go(func() { src.client.Run(ctx) })
	return src
}

// observeUpdate handles an update of a source that is already merged into the store: it updates the link delay, the
// readiness and the subscriptions to voters.
func (a *Agent) observeUpdate(src *source, update *transport.Update) {
	if update.Complete { // a chunk for new subscribers may have been encoded earlier, so its age is not a delay
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

// retryOtherSources makes the clients of all other sources retry at once when one source has connected, because after a
// power failure the control nodes come back at about the same time.
func (a *Agent) retryOtherSources(connected *source) {
	for _, src := range *a.sources.Load() {
		if src != connected {
			src.client.RetryNow()
		}
	}
}
