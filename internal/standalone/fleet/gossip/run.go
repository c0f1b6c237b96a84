package gossip

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/fleet/membership"
)

const (
	tickInterval      = 100 * time.Millisecond // between two ticks of the view
	maxTickDelay      = time.Second            // a longer time between two ticks means that the process was suspended
	bindRetryInterval = 250 * time.Millisecond // between attempts to listen, which fail while an older process listens
	minWriteInterval  = time.Second            // minimum time between two writes of the record
)

// runner is the state of the goroutine that owns the protocol's instances. It passes the protocol's updates, the
// members' messages and the ticks to the view.
type runner struct {
	fleet             *Fleet
	incarnationStored bool // the incarnation is on disk, so it may be announced
	nextBindAt        time.Time

	pendingBoot *uint64 // boot count that has to be on disk before it is announced; nil: none
	viewDirty   bool    // the membership has changed since it was last written
	writing     bool    // a record is being written
	writeFailed bool    // the last write failed
	nextWriteAt time.Time
}

func newRunner(f *Fleet) *runner { return &runner{fleet: f} }

// run passes the protocol's updates, messages and ticks to the view, and executes the view's actions, until the context
// ends.
func (r *runner) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	f := r.fleet
	defer f.stopInstance()
	if f.options.Store == nil {
		r.incarnationStored = true
	} else {
		r.storeBoot(f.Self().Boot)
	}
	for {
		var actions []membership.Action
		select {
		case <-ctx.Done():
			return
		case result := <-f.written:
			r.recordWritten(result)
		case <-f.updatesReady:
			actions = f.applyUpdates()
		case m := <-f.messages:
			actions = f.receive(m)
		case <-ticker.C:
			actions = r.tick()
		}
		for _, a := range actions {
			r.execute(a)
		}
	}
}

func (r *runner) tick() []membership.Action {
	f := r.fleet
	now := time.Since(f.startedAt)
	if delay := now - time.Duration(f.lastTick.Load()); delay > maxTickDelay {
		f.restartAfterPause(delay)
	}
	f.lastTick.Store(int64(now))
	actions := f.step(membership.Tick{})
	r.writeRecord()
	if r.incarnationStored && f.instance.Load() == nil && !f.Left() && time.Now().After(r.nextBindAt) {
		r.nextBindAt = time.Now().Add(bindRetryInterval)
		f.startInstance()
	}
	f.joinMembers()
	return actions
}

// execute executes an action of the view.
func (r *runner) execute(a membership.Action) {
	f := r.fleet
	switch a := a.(type) {
	case membership.RaiseIncarnation:
		level.Warn(f.log).Log("msg", "peers know a later incarnation under this name; the boot count is raised",
			"code", "fleet-count-raised", "boot", a.Boot,
		)
		if f.options.Store == nil {
			r.activateIncarnation(a.Boot)
		} else {
			r.storeBoot(a.Boot)
		}
	case membership.PersistView:
		r.viewDirty = true
	case membership.SendMessage:
		if i := f.instance.Load(); i != nil {
			i.send(a.To, a.Addr, newProbeMessage(a.Message))
		}
	case membership.Rejoin:
		if i := f.instance.Load(); i != nil {
			f.spawn(func() { i.memberlist.Join([]string{a.Addr}) })
		}
	case membership.NameConflict:
		level.Error(f.log).Log(
			"msg", "another process has this ingress's name; this one leaves the fleet and goes on serving",
			"code", "fleet-name-twice", "boot", a.Winner.Boot,
		)
		f.mu.Lock()
		f.left = true
		f.mu.Unlock()
		f.stopInstance()
	case membership.ViewChanged:
		f.logChange(a)
	}
}

func (f *Fleet) logChange(a membership.ViewChanged) {
	c := a.Change
	logger := log.With(f.log, "view", c.View, "member", c.Name)
	if a.Reachability {
		r := f.Reachability()
		level.Warn(logger).Log("msg", "the reachability of the fleet has changed",
			"code", "fleet-judgement", "judgement", c.What, "heard", r.Alive, "agreed", r.Agreed,
		)
		return
	}
	level.Info(logger).Log("msg", "the view of a member has changed",
		"code", "fleet-member", "change", c.What, "state", c.To.String(), "was", c.From.String(), "boot", c.Boot,
	)
}

// applyUpdates applies the protocol's pending updates to the view.
func (f *Fleet) applyUpdates() (actions []membership.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused() {
		f.pendingUpdates = nil // they result from timers that expired while this process was suspended
		return nil
	}
	for _, u := range f.pendingUpdates {
		actions = append(actions, f.view.Step(f.now(), u)...)
	}
	f.pendingUpdates = nil
	return actions
}

// receive handles a message of another member.
func (f *Fleet) receive(m *message) []membership.Action {
	switch m.Kind {
	case probeMessage:
		return f.step(m.membershipMessage())
	case linksRequest:
		f.sendLinks(m)
	case linksResponse:
		f.receiveLinks(m)
	}
	return nil
}

// paused reports whether this process was suspended and hasn't handled that yet. Until it has, results of timers that
// expired during the suspension must be ignored.
func (f *Fleet) paused() bool {
	return time.Since(f.startedAt)-time.Duration(f.lastTick.Load()) > maxTickDelay
}

// restartAfterPause discards the protocol's instance, because its timers expired while this process could not receive
// the answers of other members.
func (f *Fleet) restartAfterPause(delay time.Duration) {
	level.Warn(f.log).Log("msg", "this process was suspended; the membership protocol restarts",
		"code", "fleet-stalled", "for", delay.Seconds(),
	)
	if i := f.instance.Swap(nil); i != nil {
		i.closed.Store(true)
		// spawn would skip the shutdown while the fleet is being stopped.
		f.goroutines.Go(func() { i.memberlist.Shutdown() })
	}
	f.mu.Lock()
	f.pauses++
	f.pendingUpdates = nil
	f.mu.Unlock()
	for len(f.messages) > 0 { // drop the queued messages, which are old and whose senders have sent newer ones since
		<-f.messages
	}
	f.step(membership.Paused{Duration: delay.Seconds()})
}
