package control

import (
	"strings"
	"time"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/catchup"
	"mulleinrouter/internal/control/electorate"
	"mulleinrouter/internal/control/httpapi"
	"mulleinrouter/internal/control/instances"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/peers"
	"mulleinrouter/internal/control/proposals"
	"mulleinrouter/internal/control/replica"
)

func (n *Node) makeReplica() {
	n.replica = replica.New(replica.Options{
		Self:              n.self,
		Store:             n.store,
		IsOwnBallot:       func(b consensus.Ballot) bool { return strings.HasPrefix(b.Node, n.name+"/") },
		NewDiskID:         func() uint64 { return n.incarnation },
		ElectorateChanged: n.notifyWatch,
	})
	n.majority = majority.NewLease(n.self, func() time.Duration { return n.leaseClock() }, n.replica.VotersForLease)
}

func (n *Node) makePeers() {
	n.peers = peers.NewSet(peers.Options{
		Self:           n.self,
		Node:           n.settings.Node,
		Zone:           n.settings.Zone,
		Incarnation:    n.incarnation,
		Store:          n.store,
		Clock:          n.clock,
		Lease:          n.majority,
		Ready:          n.ready,
		Voters:         n.voters,
		InternalAddrOf: n.config.InternalAddrOf,
		Dial:           n.config.Dial,
		OnUpdate:       n.mergeUpdate,
		OnConnected:    n.notifyWatch,
		Log:            n.log,
	})
	n.fetcher = catchup.NewFetcher(n.replica, n.peers)
}

func (n *Node) makeInstances() {
	n.instances = instances.New(n.store, n.settings.HeartbeatInterval, n.uptime)
	n.departures = &instances.Departures{
		Registry: n.instances,
		Settings: n.settings,
		Replica:  n.replica,
		Peers:    n.peers,
		Disk:     n.disk.Load,
	}
}

func (n *Node) makeProposals() {
	n.proposals = proposals.New(proposals.Options{
		Self:        n.self,
		Name:        n.name,
		Incarnation: n.incarnation,
		Replica:     n.replica,
		Peers:       n.peers,
		Fetcher:     n.fetcher,
		Lease:       n.majority,
		OnConfirmed: func(term uint64) {
			n.confirmedTerm.Store(term)
			n.store.NotifySubscribers()
		},
		Closed: n.ended,
		Log:    n.log,
	})
	n.electorate = electorate.New(electorate.Options{
		Settings:       n.settings,
		Replica:        n.replica,
		Peers:          n.peers,
		Proposals:      n.proposals,
		Lease:          n.majority,
		Started:        n.started,
		ConfirmedTerm:  n.confirmedTerm.Load,
		FetchInventory: n.fetchInventory,
		DiskRead:       func() bool { return n.disk.Load() != nil },
		Log:            n.log,
	})
}

func (n *Node) makeServers() {
	n.counters = newCounterService(
		func() string { return n.config.InternalAddrOf(n.self) }, n.majority, n.uptime)
	n.source = &replication.Source{
		Store:         n.store,
		Clock:         n.clock,
		Ready:         n.ready,
		Quorum:        n.majority.Held,
		OnInstances:   n.instances.Merge,
		OnRenewal:     n.ingresses.Renew,
		Heartbeats:    n.instances.HeartbeatsSince,
		Rank:          n.zoneRank,
		Members:       n.ingressCount,
		RecentMembers: n.recentIngressCount,
		Voters:        n.voters,
		OnItemLeftOut: replication.LogItemLeftOut(n.config.Log),
	}
	options := httpapi.Options{
		Self:        n.self,
		Instances:   n.instances,
		Departures:  n.departures,
		Proposals:   n.proposals,
		Replica:     n.replica,
		Electorate:  n.electorate,
		Lease:       n.majority,
		Connections: n.connections,
		Clock:       n.clock,
		Started:     n.started,
		View:        n.view,
		Member:      n.member,
		Log:         n.log,
	}
	if n.shards != nil {
		options.Coordination = n.shards
	}
	n.api = httpapi.New(options)
}

// voters returns the control addresses of the electorate.
func (n *Node) voters() []string {
	voters, _ := n.replica.Voters()
	return voters
}

// mergeUpdate merges the instances and heartbeats in an update of a peer.
func (n *Node) mergeUpdate(update *transport.Update) {
	n.instances.Merge(update.Instances)
	n.instances.MergeRemoteHeartbeats(update.Heartbeats)
	if update.Complete && update.Ready {
		n.warm.Store(true)
	}
}

// fetchInventory requests the electorate and the departing instances on a peer's disk, and stores these instances on
// this node's disk too.
func (n *Node) fetchInventory(p *peers.Peer) *transport.CatchUpChunk {
	return n.fetcher.FetchInventory(p, func(page []registry.Instance) {
		n.instances.Merge(page)
		n.instances.PersistDepartures(n.disk.Load(), instances.IDs(page)...)
	})
}
