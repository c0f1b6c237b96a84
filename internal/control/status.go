package control

import (
	"encoding/json"
	"net/http"
	"time"

	"mulleinrouter/internal/cluster/consensus"
)

// Status is what GET /view tells an operator of a control node.
type Status struct {
	Node            string           `json:"node"`
	Control         string           `json:"control"` // its control address
	Incarnation     string           `json:"incarnation"`
	UptimeSeconds   float64          `json:"upSeconds"`
	Ready           bool             `json:"ready"` // a newcomer may serve with what it gets here
	Why             string           `json:"why"`   // it is ready, or is not
	Epoch           uint64           `json:"epoch"` // of the configuration held
	Items           int              `json:"items"` // of the configuration, deleted ones included
	Promised        consensus.Ballot `json:"promised"`
	PendingEpoch    uint64           `json:"pendingEpoch"` // of a change that was accepted here and is not known to be chosen; 0: none
	Voters          []string         `json:"voters"`       // control addresses
	Votes           bool             `json:"votes"`        // this node is a voter
	Sources         []SourceStatus   `json:"sources"`      // the other control nodes
	Ingresses       int64            `json:"members"`      // that hold a lease
	Instances       ServiceInstances `json:"instances"`
	QuotaCounters   int              `json:"countersKept"` // kept by this node
	InContact       bool             `json:"contact"`      // with a majority of the voters
	EpochsBehind    uint64           `json:"epochsBehind"` // changes that another node is known to have
	DiskStalled     bool             `json:"diskStalled"`
	ConnectionsUsed int              `json:"connections"` // of the limit below
	ConnectionLimit int              `json:"connectionLimit"`
}

// ServiceInstances counts server instances by service and phase.
type ServiceInstances map[string]map[string]int

// SourceStatus is another control node as this one sees it.
type SourceStatus struct {
	ControlAddr        string  `json:"at"`
	HeardSecondsAgo    float64 `json:"heardSecondsAgo"`    // -1: never
	AnsweredSecondsAgo float64 `json:"answeredSecondsAgo"` // by when it was asked; -1: never
	Epoch              uint64  `json:"epoch"`
	Ready              bool    `json:"ready"`
	Quorum             bool    `json:"quorum"`
}

// getView tells an operator what this node knows.
func (n *Node) getView(*http.Request, []byte) reply {
	b, err := json.MarshalIndent(n.status(), "", "  ")
	if err != nil {
		return errorReply(http.StatusInternalServerError, err.Error())
	}
	return reply{http.StatusOK, b}
}

func (n *Node) status() Status {
	epoch, snapshot := n.replica.snapshot()
	voters, votes := n.replica.electorate()
	promised, pending := n.replica.state()
	disk := n.storage.Load()
	s := Status{
		Node: n.settings.Node, Control: n.self, Incarnation: incarnationName(n.incarnation), UptimeSeconds: n.uptime(),
		Ready: n.ready(), Why: n.readiness(), Epoch: epoch, Items: snapshot.Len(), Promised: promised, PendingEpoch: pending,
		Voters: voters, Votes: votes, Sources: n.sourceStatus(), Ingresses: n.ingresses.Published(), Instances: ServiceInstances{},
		InContact: n.inContact(), EpochsBehind: n.epochsBehind(), DiskStalled: disk != nil && disk.Stalled(syncTimeout),
	}
	for _, instance := range n.store.Instances() {
		if s.Instances[instance.Service] == nil {
			s.Instances[instance.Service] = map[string]int{}
		}
		s.Instances[instance.Service][instance.Phase.String()]++
	}
	n.keeper.Lock()
	s.QuotaCounters = n.keeper.Len()
	n.keeper.Unlock()
	connections := n.connections.Stats()
	s.ConnectionsUsed, s.ConnectionLimit = connections.Total(), connections.Limit
	return s
}

func (n *Node) sourceStatus() (all []SourceStatus) {
	n.eachPeer(func(x *peer) {
		state := x.client.State()
		heard := -1.0
		if state.Incarnation != 0 {
			heard = time.Since(state.LastHeard).Seconds()
		}
		all = append(all, SourceStatus{ControlAddr: x.addr, HeardSecondsAgo: heard, AnsweredSecondsAgo: max(-1, n.majority.Age(x.addr).Seconds()),
			Epoch: state.Epoch, Ready: state.Ready, Quorum: state.Quorum})
	})
	return all
}

// readiness says why this node is ready, or what it waits for.
func (n *Node) readiness() string {
	voters, _ := n.replica.electorate()
	term, held := n.majority.Current()
	switch {
	case n.ready():
		return "it has all"
	case n.storage.Load() == nil:
		return "the disk has not been read yet"
	case voters == nil:
		return "the disk was lost, and nobody has told who votes"
	case !held:
		return "it does not hear more than half of the voters"
	case n.confirmed.Load() != term:
		return "the configuration here is not known to be the newest"
	case n.store.Snapshot().Len() == 0:
		return "there is no configuration yet"
	}
	return "servers have not had the time to call"
}
