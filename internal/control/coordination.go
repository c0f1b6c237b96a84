package control

import (
	"time"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/control/shards"
	"mulleinrouter/internal/control/storage"
)

// coordinationClause is the clause of the operators' rules with which applications coordinate through this system.
const coordinationClause = "coord"

// makeShards makes the shards, if applications use them.
func (n *Node) makeShards() {
	if !n.settings.Clauses[coordinationClause] {
		return
	}
	n.shards = shards.New(shards.Options{
		Self:    n.self,
		Seed:    n.incarnation,
		History: n.settings.Bounds.History,
		Peers:   n.peers,
		Electorate: func() consensus.Electorate {
			base, _ := n.replica.Base()
			return base.Electorate
		},
		Clock: func() time.Duration { return time.Since(n.started) },
		Log:   n.config.Log,
	})
}

// openShards hands the shards what was found on disk.
func (n *Node) openShards(disk *storage.Store, state storage.State) {
	if n.shards == nil {
		return
	}
	n.shards.Open(disk, state.Shards, n.replica.AsVoter(), n.shardFounders())
}

// shardFounders is the first voters, where this disk is of the first start of the system: it may begin shards that it
// does not have, for it can't have forgotten them. Any other disk receives them from their leaseholders.
func (n *Node) shardFounders() []consensus.Voter {
	base, _ := n.replica.Base()
	foundingDisk := n.replica.AsVoter().Disk == 0
	if !foundingDisk || !base.Electorate.Known() || base.Electorate.Since != 0 {
		return nil
	}
	return base.Electorate.Voters
}

// handOverShards hands the shards that this node leads to others, before it ends.
func (n *Node) handOverShards() {
	if n.shards != nil {
		n.shards.TransferLeases()
	}
}
