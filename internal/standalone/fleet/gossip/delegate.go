package gossip

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// maxPendingUpdates bounds the protocol's updates that wait to be applied. Those beyond are reported again by the next
// exchange of the complete state.
const maxPendingUpdates = 4 * membership.MaxMembers

// NodeMeta implements memberlist.Delegate: it returns what this member says of itself.
func (i *instance) NodeMeta(limit int) []byte {
	if b := *i.fleet.metadata.Load(); len(b) <= limit {
		return b
	}
	return nil
}

// NotifyMsg implements memberlist.Delegate: it takes a message. The protocol waits meanwhile, so the message
// is only queued.
func (i *instance) NotifyMsg(b []byte) {
	f := i.fleet
	m := &message{}
	if err := decode(b, m); err != nil || m.From == "" || len(m.From) > maxNameBytes {
		f.meter.rejected.Add(1)
		return
	}
	if i.closed.Load() {
		return
	}
	if m.Kind == payload {
		f.handle(m)
		return
	}
	select {
	case f.messages <- m:
	default:
		f.mu.Lock()
		f.dropped++
		f.mu.Unlock()
	}
}

// GetBroadcasts implements memberlist.Delegate. Nothing is broadcast beside the protocol's own messages.
func (i *instance) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate. The exchange of the complete state carries nothing beside the
// protocol's own.
func (i *instance) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (i *instance) MergeRemoteState(_ []byte, _ bool) {}

// NotifyJoin implements memberlist.EventDelegate. The protocol's mutex is held, so the event is only queued,
// as those of NotifyUpdate and NotifyLeave are.
func (i *instance) NotifyJoin(n *memberlist.Node) { i.queueUpdate(n, membership.Alive) }

// NotifyUpdate implements memberlist.EventDelegate.
func (i *instance) NotifyUpdate(n *memberlist.Node) { i.queueUpdate(n, membership.Alive) }

// NotifyLeave implements memberlist.EventDelegate. The protocol reports deaths and departures alike.
func (i *instance) NotifyLeave(n *memberlist.Node) { i.queueUpdate(n, membership.Dead) }

func (i *instance) queueUpdate(n *memberlist.Node, s membership.State) {
	f := i.fleet
	if i.closed.Load() || n.Name == f.options.Name {
		return
	}
	var meta metadata
	if err := decode(n.Meta, &meta); err != nil && s == membership.Alive {
		f.meter.rejected.Add(1)
		return
	}
	if s == membership.Dead && meta.Phase == membership.Leaving {
		s = membership.Left // it announced it before
	}
	update := membership.Update{
		State: s,
		Member: membership.Member{
			Name:        n.Name,
			Addr:        net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port))),
			Zone:        meta.Zone,
			Version:     meta.Version,
			Incarnation: membership.IncarnationFromPair(meta.Incarnation),
			Phase:       meta.Phase,
			Number:      meta.Number,
		},
	}
	f.mu.Lock()
	if len(f.pendingUpdates) < maxPendingUpdates {
		f.pendingUpdates = append(f.pendingUpdates, update)
	}
	f.mu.Unlock()
	select {
	case f.updatesReady <- struct{}{}:
	default:
	}
}
