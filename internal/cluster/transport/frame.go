package transport

import (
	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/registry"
)

// Frame is one message. At most one of the pointers is set; Call names a call, and its answer bears the same number.
type Frame struct {
	Call uint64 `cbor:"1,keyasint,omitempty"`

	Hello        *Hello        `cbor:"2,keyasint,omitempty"` // first on a connection that subscribes
	Update       *Update       `cbor:"3,keyasint,omitempty"` // from a source to who subscribes
	Renewal      *Renewal      `cbor:"4,keyasint,omitempty"` // back to the source: the lease is renewed
	CounterAdd   *CounterAdd   `cbor:"5,keyasint,omitempty"` // a call of the keeper of counters
	CounterTotal *CounterTotal `cbor:"6,keyasint,omitempty"`

	Prepare        *Prepare        `cbor:"7,keyasint,omitempty"` // of one control node to another: see control/ballot
	Promise        *Promise        `cbor:"8,keyasint,omitempty"`
	Accept         *Accept         `cbor:"9,keyasint,omitempty"`
	Accepted       *Accepted       `cbor:"10,keyasint,omitempty"`
	Chosen         *Chosen         `cbor:"11,keyasint,omitempty"`
	CatchUpRequest *CatchUpRequest `cbor:"12,keyasint,omitempty"`
	CatchUpChunk   *CatchUpChunk   `cbor:"13,keyasint,omitempty"`
	PersistRequest *PersistRequest `cbor:"14,keyasint,omitempty"` // keep these lines on disk before you answer
	PersistReply   *PersistReply   `cbor:"15,keyasint,omitempty"`
	Ping           *Ping           `cbor:"16,keyasint,omitempty"` // of one control node to another: an empty answer shows that each hears the other
}

// Ping is a call that only wants an answer.
type Ping struct{}

// Hello subscribes to a source.
type Hello struct {
	Node              string              `cbor:"1,keyasint"`            // whose
	Class             string              `cbor:"2,keyasint"`            // "agent", "proxy" or "control"
	Incarnation       uint64              `cbor:"3,keyasint"`            // of the process that subscribes, drawn at its start
	SourceIncarnation uint64              `cbor:"4,keyasint,omitempty"`  // incarnation of the source that Seq belongs to
	Seq               uint64              `cbor:"5,keyasint,omitempty"`  // had from that life already: only what is behind it is sent
	Instances         []registry.Instance `cbor:"6,keyasint,omitempty"`  // known here; a source that lost its own learns them (read repair)
	Epoch             uint64              `cbor:"7,keyasint,omitempty"`  // of the newest snapshot that is complete here
	Zone              string              `cbor:"9,keyasint,omitempty"`  // of an ingress or a control node
	ControlAddr       string              `cbor:"8,keyasint,omitempty"`  // where a control node that subscribes is itself reached, host:port
	Digests           []byte              `cbor:"20,keyasint,omitempty"` // of what is known here (replication.Store.Digests): a source of another life than Of leaves out what is the same
}

// Update is news from a source: a heartbeat where it has nothing else. Seq is that of the last of its changes that is
// in it.
type Update struct {
	Incarnation     uint64               `cbor:"1,keyasint"`
	Seq             uint64               `cbor:"2,keyasint"`
	Complete        bool                 `cbor:"3,keyasint,omitempty"` // nothing more is behind this now
	Items           []configuration.Item `cbor:"4,keyasint,omitempty"`
	Instances       []registry.Instance  `cbor:"5,keyasint,omitempty"`
	Heartbeats      []Heartbeat          `cbor:"6,keyasint,omitempty"`  // heartbeats, for control nodes alone
	Members         int                  `cbor:"7,keyasint,omitempty"`  // ingresses whose lease runs, as the source counts them; 0: it does not know
	Clock           float64              `cbor:"8,keyasint,omitempty"`  // common clock as this was sent, in seconds
	Epoch           uint64               `cbor:"9,keyasint,omitempty"`  // the whole of the configuration that the source has
	Ready           bool                 `cbor:"10,keyasint,omitempty"` // the source has what a newcomer needs before it serves
	Quorum          bool                 `cbor:"11,keyasint,omitempty"` // the source hears more than half of the core
	Rank            int                  `cbor:"12,keyasint,omitempty"` // of the subscriber among the ingresses of its zone, from 0
	ZonePeers       int                  `cbor:"13,keyasint,omitempty"` // ingresses in its zone, with it; 0: it has no rank
	LinkDelay       float64              `cbor:"15,keyasint,omitempty"` // seconds for which packets wait at the link of the source's machine; told to a proxy alone; 0: not known
	Voters          []string             `cbor:"14,keyasint,omitempty"` // control addresses of the electorate, as the source knows it; none: as told before
	MatchingBuckets []byte               `cbor:"20,keyasint,omitempty"` // bits, of the buckets that were found the same and are left out; in the first feed alone
}

// Heartbeat is a heartbeat of a server, told among control nodes.
type Heartbeat = registry.Heartbeat

// Renewal renews a lease.
type Renewal struct {
	Clock float64 `cbor:"1,keyasint,omitempty"`
	Ready bool    `cbor:"2,keyasint,omitempty"` // it takes requests: it counts as an ingress
}

// CounterAdd is a call of the keeper of a counter.
type CounterAdd = quota.Report

// CounterTotal is the keeper's answer.
type CounterTotal = quota.Total

// Prepare asks a control node to promise to a ballot. Read: it only wants to know, and no promise is made.
type Prepare struct {
	Ballot   consensus.Ballot `cbor:"1,keyasint"`
	ReadOnly bool             `cbor:"2,keyasint,omitempty"`
	Synced   bool             `cbor:"3,keyasint,omitempty"` // with Read: answered once all that it tells of is on disk
}

// Promise is the answer to Prepare.
type Promise struct{ consensus.Promise }

// Accept asks a control node to accept a change.
type Accept struct{ consensus.Proposal }

// Accepted is the answer to Accept.
type Accepted struct{ consensus.Accepted }

// Chosen tells that a change has been chosen.
type Chosen struct{ consensus.Proposal }

// CatchUpRequest asks for the chosen items that are newer than an epoch, a piece at a time, in the order of
// configuration.Key.Position; with Blank, by a node whose disk is empty, for the lines kept on disk too.
type CatchUpRequest struct {
	Epoch         uint64 `cbor:"1,keyasint"`
	EmptyDisk     bool   `cbor:"2,keyasint,omitempty"`
	FromPosition  uint64 `cbor:"8,keyasint,omitempty"`  // the items at this position and behind it
	NewestEpoch   uint64 `cbor:"9,keyasint,omitempty"`  // of the newest epoch that a piece came from: an older snapshot is of no use
	MaxBytes      int    `cbor:"10,keyasint,omitempty"` // bytes of the piece, about; 0: as the source likes
	AfterInstance string `cbor:"11,keyasint,omitempty"` // the lines whose ids are behind this one
}

// CatchUpChunk answers Since: items chosen behind that epoch, as they stand in the snapshot of Epoch.
type CatchUpChunk struct {
	NextPosition  uint64               `cbor:"8,keyasint,omitempty"` // the position to go on from; 0: nothing more is behind it
	MoreInstances bool                 `cbor:"9,keyasint,omitempty"` // lines are behind these
	Epoch         uint64               `cbor:"1,keyasint"`
	Items         []configuration.Item `cbor:"2,keyasint,omitempty"`
	Voters        []string             `cbor:"6,keyasint,omitempty"` // told by a node of an older version: the electorate of the first start
	Instances     []registry.Instance  `cbor:"7,keyasint,omitempty"` // kept on its disk

	Electorate consensus.Electorate `cbor:"10,keyasint,omitempty"` // that stands in the snapshot of Epoch
}

// PersistRequest asks a control node to keep lines on its disk, synced, before it answers.
type PersistRequest struct {
	Instances []registry.Instance `cbor:"1,keyasint"`
}

// PersistReply answers Hold.
type PersistReply struct {
	OK bool `cbor:"1,keyasint,omitempty"`
}
