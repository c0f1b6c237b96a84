package httpapi

import (
	"net/http"

	"mulleinrouter/internal/cluster/consensus"
)

// View is the body of GET /view: the state of a control node, and that of the others as known to it.
type View struct {
	Node          string           `json:"node"`
	Control       string           `json:"control"` // its control address
	Incarnation   string           `json:"incarnation"`
	UptimeSeconds float64          `json:"upSeconds"`
	Ready         bool             `json:"ready"` // an agent may serve with the data from this node
	Reason        string           `json:"why"`   // reason why it is ready or not
	Epoch         uint64           `json:"epoch"` // of this node's configuration
	Items         int              `json:"items"` // in that configuration, including deleted ones
	Promised      consensus.Ballot `json:"promised"`
	// PendingEpoch is the epoch of a change that is accepted here and not known to be chosen; 0 means none.
	PendingEpoch    uint64         `json:"pendingEpoch"`
	Voters          []string       `json:"voters"`  // control addresses
	Votes           bool           `json:"votes"`   // whether this node is a voter
	Sources         []PeerView     `json:"sources"` // the other control nodes
	Ingresses       int64          `json:"members"` // number of ready ingresses that hold a lease
	Instances       InstanceCounts `json:"instances"`
	QuotaCounters   int            `json:"countersKept"` // number of quota counters that this node owns
	InContact       bool           `json:"contact"`      // whether it is in contact with a majority of voters
	EpochsBehind    uint64         `json:"epochsBehind"` // epochs that another node is known to be ahead
	DiskStalled     bool           `json:"diskStalled"`
	ConnectionsUsed int            `json:"connections"` // open connections
	ConnectionLimit int            `json:"connectionLimit"`
}

// InstanceCounts counts server instances by service and phase.
type InstanceCounts map[string]map[string]int

// PeerView is the state of another control node as known to this node.
type PeerView struct {
	ControlAddr        string  `json:"at"`
	LastContactSeconds float64 `json:"heardSecondsAgo"` // seconds since its last update; -1 means none yet
	// AnsweredSecondsAgo is the time since the newest request that it answered was sent, in seconds; -1 means none.
	AnsweredSecondsAgo float64 `json:"answeredSecondsAgo"`
	Epoch              uint64  `json:"epoch"`
	Ready              bool    `json:"ready"`
	Quorum             bool    `json:"quorum"`
}

// getView returns the view of this node.
func (s *Server) getView(*http.Request, []byte) (reply, error) {
	return jsonReply(s.options.View())
}
