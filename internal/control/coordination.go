package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/control/shards"
	"mulleinrouter/internal/control/storage"
)

// coordinationClause is the clause of the operators' rules that enables coordination of applications through this
// system: locks, numbers, cells and watches.
const coordinationClause = "coord"

// makeShards makes the shard service if coordinationClause is in force. n.shards stays nil otherwise.
func (n *Node) makeShards() {
	if !n.settings.Clauses[coordinationClause] {
		return
	}
	n.shards = shards.New(shards.Options{
		Self:        n.self,
		Incarnation: n.incarnation,
		History:     n.settings.Bounds.History,
		Peers:       n.peers,
		Electorate: func() consensus.Electorate {
			base, _ := n.replica.Base()
			return base.Electorate
		},
		Clock: func() time.Duration { return time.Since(n.started) },
		Log:   n.config.Log,
	})
}

// openShards starts the shards from the state that was read from disk.
func (n *Node) openShards(disk *storage.Store, state storage.State) {
	if n.shards == nil {
		return
	}
	n.shards.Open(disk, state.Shards, n.replica.AsVoter(), n.shardFounders())
}

// shardFounders returns the first voters if this node's disk dates from the first start of the system, and nil
// otherwise. Only on such a disk may the node create shards that the disk does not contain, because the disk can't have
// lost them. On any other disk, the node receives the shards from their leaseholders.
func (n *Node) shardFounders() []consensus.Voter {
	base, _ := n.replica.Base()
	foundingDisk := n.replica.AsVoter().Disk == 0
	if !foundingDisk || !base.Electorate.Known() || base.Electorate.Since != 0 {
		return nil
	}
	return base.Electorate.Voters
}

// shardRemovalLimit is how long a shutdown waits until the shards have followed the handover of the vote. The
// leaseholders look at the electorate every 50 ms, and the change takes a few syncs and a transfer of the state.
const shardRemovalLimit = 1500 * time.Millisecond

// transferShardLeases transfers the leases of the shards that this node leads to other voters before a shutdown.
func (n *Node) transferShardLeases() {
	if n.shards != nil {
		n.shards.TransferLeases()
	}
}

// awaitShardRemoval waits until the shards have replaced this node as a voter too, if its vote was handed over.
func (n *Node) awaitShardRemoval(ctx context.Context) {
	base, _ := n.replica.Base()
	if n.shards == nil || base.Electorate.Contains(n.replica.AsVoter()) {
		return
	}
	if !n.shards.AwaitRemoval(ctx, shardRemovalLimit) {
		level.Warn(n.log).Log("msg", "still a voter of shards", "reason", "no leaseholder has replaced it in time")
	}
}
