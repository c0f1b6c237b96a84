package httpapi

import (
	"net/http"

	"mulleinrouter/internal/cluster/consensus"
)

// View is the body of GET /view: a control node as it sees itself and the others.
type View struct {
	Node            string           `json:"node"`
	Control         string           `json:"control"` // its control address
	Incarnation     string           `json:"incarnation"`
	UptimeSeconds   float64          `json:"upSeconds"`
	Ready           bool             `json:"ready"` // an agent may serve with what it gets here
	Reason          string           `json:"why"`   // it is ready, or is not
	Epoch           uint64           `json:"epoch"` // of the configuration here
	Items           int              `json:"items"` // of the configuration, deleted ones included
	Promised        consensus.Ballot `json:"promised"`
	PendingEpoch    uint64           `json:"pendingEpoch"` // accepted here, not known to be chosen; 0: none
	Voters          []string         `json:"voters"`       // control addresses
	Votes           bool             `json:"votes"`        // this node is a voter
	Sources         []PeerView       `json:"sources"`      // the other control nodes
	Ingresses       int64            `json:"members"`      // that hold a lease
	Instances       InstanceCounts   `json:"instances"`
	QuotaCounters   int              `json:"countersKept"` // owned by this node
	InContact       bool             `json:"contact"`      // with a majority of the voters
	EpochsBehind    uint64           `json:"epochsBehind"` // changes that another node is known to have
	DiskStalled     bool             `json:"diskStalled"`
	ConnectionsUsed int              `json:"connections"` // of the limit below
	ConnectionLimit int              `json:"connectionLimit"`
}

// InstanceCounts counts server instances by service and phase.
type InstanceCounts map[string]map[string]int

// PeerView is another control node as this one sees it.
type PeerView struct {
	ControlAddr        string  `json:"at"`
	LastContactSeconds float64 `json:"heardSecondsAgo"`    // since its last update; -1: never
	AnsweredSecondsAgo float64 `json:"answeredSecondsAgo"` // by when it was sent; -1: no request was
	Epoch              uint64  `json:"epoch"`
	Ready              bool    `json:"ready"`
	Quorum             bool    `json:"quorum"`
}

// getView returns what this node knows.
func (s *Server) getView(*http.Request, []byte) (reply, error) {
	return jsonReply(s.options.View())
}
