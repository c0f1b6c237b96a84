package control

import (
	"context"
	"slices"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/instances"
)

const maxPersisted = 4096

// persistInstances takes instances that leave, and returns true once they are on this node's disk.
func (n *Node) persistInstances(ls []registry.Instance) bool {
	disk := n.storage.Load()
	if len(ls) > maxPersisted || disk == nil {
		return false
	}
	n.instances.Merge(ls)
	return synced(n.instances.PersistDepartures(disk, instances.IDs(ls)...), 0)
}

// replicateDeparture has an instance that leaves put on enough disks: those of one control node more than may be lost, or of all there are.
func (n *Node) replicateDeparture(ctx context.Context, l registry.Instance) bool {
	voters, _ := n.replica.electorate()
	others := 0
	results := make(chan bool, maxPeers+1)
	n.eachPeer(func(x *peer) {
		if slices.Contains(voters, x.addr) || voters == nil {
			others++
			go func() {
				r, err := x.client.Call(persistTimeout, &transport.Frame{PersistRequest: &transport.PersistRequest{Instances: []registry.Instance{l}}})
				results <- err == nil && r.PersistReply != nil && r.PersistReply.OK
			}()
		}
	})
	if disk := n.storage.Load(); disk != nil {
		others++
		if t := n.instances.PersistDepartures(disk, l.ID); t != nil {
			go func() { results <- t.Wait(ctx) == nil }()
		} else {
			results <- true
		}
	}
	need := n.settings.Tolerance.Machines + 1 // as many disks as may be lost, and one more
	if need = max(2, need); voters != nil {
		need = min(need, len(voters))
	}
	for got := 0; others > 0; others-- {
		select {
		case ok := <-results:
			if ok {
				got++
			}
		case <-ctx.Done():
			return false
		}
		if got >= need {
			n.instances.Acknowledge(l)
			return true
		}
	}
	return false
}
