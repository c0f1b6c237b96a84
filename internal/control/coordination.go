package control

import (
	"time"

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

// handOverShards transfers the leases of the shards that this node leads to other voters before a shutdown.
func (n *Node) handOverShards() {
	if n.shards != nil {
		n.shards.TransferLeases()
	}
}
