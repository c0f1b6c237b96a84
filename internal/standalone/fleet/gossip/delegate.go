package gossip

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// maxPendingUpdates is the maximum number of the protocol's updates that are queued and not applied yet, so that the
// queue can't grow without limit. Further updates are dropped. memberlist doesn't repeat a dropped one, because it only
// reports changes, so the view keeps the old state until the member's next change or until the protocol is restarted.
const maxPendingUpdates = 4 * membership.MaxMembers

// NodeMeta implements memberlist.Delegate. It returns the encoded metadata of this member, or none if that is longer
// than limit bytes. Other members reject reports that a member without metadata is alive.
func (i *instance) NodeMeta(limit int) []byte {
	if b := *i.fleet.metadata.Load(); len(b) <= limit {
		return b
	}
	return nil
}

// NotifyMsg implements memberlist.Delegate. The protocol blocks until it returns, so it only queues the message, or
// passes a payload to its handler.
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
		f.dispatchPayload(m)
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

// GetBroadcasts implements memberlist.Delegate. This package adds no broadcasts to those of the protocol.
func (i *instance) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate. This package adds nothing to the protocol's exchange of the complete
// state.
func (i *instance) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (i *instance) MergeRemoteState(_ []byte, _ bool) {}

// NotifyJoin implements memberlist.EventDelegate. The protocol calls it with its mutex held, so it only queues the
// event, as NotifyUpdate and NotifyLeave do.
func (i *instance) NotifyJoin(n *memberlist.Node) { i.queueUpdate(n, membership.Alive) }

// NotifyUpdate implements memberlist.EventDelegate.
func (i *instance) NotifyUpdate(n *memberlist.Node) { i.queueUpdate(n, membership.Alive) }

// NotifyLeave implements memberlist.EventDelegate. The protocol reports deaths and departures with the same event.
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
		s = membership.Left // the member announced its departure before
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
