package transport

import (
	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/registry"
)

// Frame is one message. At most one of the pointers is set. Call is the number of a call and of its reply; 0 means that
// the message is one-way.
type Frame struct {
	Call uint64 `cbor:"1,keyasint,omitempty"`

	Hello        *Hello        `cbor:"2,keyasint,omitempty"` // first frame of a subscription; see Hello for later ones
	Update       *Update       `cbor:"3,keyasint,omitempty"` // from a source to a subscriber
	Renewal      *Renewal      `cbor:"4,keyasint,omitempty"` // from a subscriber, to renew its lease
	CounterAdd   *CounterAdd   `cbor:"5,keyasint,omitempty"` // to the owner of a counter
	CounterTotal *CounterTotal `cbor:"6,keyasint,omitempty"` // reply to CounterAdd

	Prepare        *Prepare        `cbor:"7,keyasint,omitempty"` // this and all below: between control nodes
	Promise        *Promise        `cbor:"8,keyasint,omitempty"`
	Accept         *Accept         `cbor:"9,keyasint,omitempty"`
	Accepted       *Accepted       `cbor:"10,keyasint,omitempty"`
	Chosen         *Chosen         `cbor:"11,keyasint,omitempty"`
	CatchUpRequest *CatchUpRequest `cbor:"12,keyasint,omitempty"`
	CatchUpChunk   *CatchUpChunk   `cbor:"13,keyasint,omitempty"`
	PersistRequest *PersistRequest `cbor:"14,keyasint,omitempty"`
	PersistReply   *PersistReply   `cbor:"15,keyasint,omitempty"`
	Ping           *Ping           `cbor:"16,keyasint,omitempty"`
	Coordination   *Coordination   `cbor:"17,keyasint,omitempty"` // one-way
	Pong           *Pong           `cbor:"18,keyasint,omitempty"`
}

// Hello subscribes to a source. Further ones on the same connection only carry Instances, for read repair.
type Hello struct {
	Node        string `cbor:"1,keyasint"` // name of the subscriber
	Class       string `cbor:"2,keyasint"` // of the subscriber: "agent", "proxy" or "control"
	Incarnation uint64 `cbor:"3,keyasint"` // incarnation of the subscribing process, drawn at its start

	// SourceIncarnation is the incarnation of the source to which Seq belongs.
	SourceIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	// Seq is the last change of that incarnation that the subscriber has. Only later changes are sent.
	Seq uint64 `cbor:"5,keyasint,omitempty"`
	// Instances are instances that the subscriber knows and the source may have lost. The source merges them (read
	// repair).
	Instances []registry.Instance `cbor:"6,keyasint,omitempty"`

	Epoch       uint64 `cbor:"7,keyasint,omitempty"` // newest epoch for which the subscriber has the complete snapshot
	Zone        string `cbor:"9,keyasint,omitempty"` // zone of an ingress or a control node
	ControlAddr string `cbor:"8,keyasint,omitempty"` // own address of a control node that subscribes, host:port

	// Digests are the digests of the subscriber's store (replication.Store.Digests). A source of another incarnation
	// than SourceIncarnation leaves out the buckets that are the same.
	Digests []byte `cbor:"20,keyasint,omitempty"`
	// AcceptsParts means that the subscriber accepts Update.Part.
	AcceptsParts bool `cbor:"21,keyasint,omitempty"`
}

// Update contains changes of a source. Without changes, it keeps the connection alive.
type Update struct {
	Incarnation uint64               `cbor:"1,keyasint"`           // incarnation of the source
	Seq         uint64               `cbor:"2,keyasint"`           // sequence number up to which it has the changes
	Complete    bool                 `cbor:"3,keyasint,omitempty"` // the source has no later changes now
	Items       []configuration.Item `cbor:"4,keyasint,omitempty"`
	Instances   []registry.Instance  `cbor:"5,keyasint,omitempty"`
	Heartbeats  []Heartbeat          `cbor:"6,keyasint,omitempty"`  // sent only to control nodes
	Members     int                  `cbor:"7,keyasint,omitempty"`  // number of ingresses with a lease; 0 means unknown
	Clock       float64              `cbor:"8,keyasint,omitempty"`  // common clock at the sending, seconds
	Epoch       uint64               `cbor:"9,keyasint,omitempty"`  // epoch of the source's newest complete snapshot
	Ready       bool                 `cbor:"10,keyasint,omitempty"` // the source has all that a new ingress needs
	Quorum      bool                 `cbor:"11,keyasint,omitempty"` // the source reaches a majority of the voters

	// Rank is the rank of the subscriber among the ingresses of its zone, from 0.
	Rank int `cbor:"12,keyasint,omitempty"`
	// ZonePeers is the number of ingresses in the subscriber's zone, including itself. 0 means that it has no rank.
	ZonePeers int `cbor:"13,keyasint,omitempty"`
	// LinkDelay is how long packets queue at the link of the source's machine, in seconds; 0 means unknown. It is sent
	// only to a proxy.
	LinkDelay float64 `cbor:"15,keyasint,omitempty"`
	// Voters are the control addresses of the electorate that the source knows; empty means unchanged.
	Voters []string `cbor:"14,keyasint,omitempty"`
	// MatchingBuckets has a bit for each bucket of Hello.Digests that is the same and is left out. It is sent only with
	// the first update.
	MatchingBuckets []byte `cbor:"20,keyasint,omitempty"`
	// RecentMembers is the highest number of ingresses that had a lease lately, ready or not; 0 means unknown. A
	// process that has just started divides quotas by it, because Members does not include those that are starting too.
	RecentMembers int `cbor:"22,keyasint,omitempty"`
	// Part is a part of the body of a long item. The parts are sent in order, in successive updates. The last one is
	// sent with the item itself, as the only entry in Items and without its body.
	Part *ItemPart `cbor:"21,keyasint,omitempty"`
}

// ItemPart is a part of the body of an item that is sent in several updates, so that no frame is as long as an item may
// be and the connection stays alive on a slow link.
type ItemPart struct {
	Key     configuration.Key `cbor:"1,keyasint"`
	Version uint64            `cbor:"2,keyasint"`
	Offset  int               `cbor:"3,keyasint,omitempty"` // of the part in the body
	Length  int               `cbor:"4,keyasint"`           // of the complete body
	Data    []byte            `cbor:"5,keyasint"`
}

// Last reports whether the part ends the body.
func (p *ItemPart) Last() bool { return p.Offset+len(p.Data) == p.Length }

// Heartbeat is a heartbeat of a server, forwarded among control nodes.
type Heartbeat = registry.Heartbeat

// Renewal renews a lease.
type Renewal struct {
	Clock float64 `cbor:"1,keyasint,omitempty"` // common clock at the sending, seconds
	Ready bool    `cbor:"2,keyasint,omitempty"` // the subscriber accepts requests, and counts as an ingress
}

// CounterAdd is a call to the owner of a counter.
type CounterAdd = quota.Report

// CounterTotal is the owner's reply to CounterAdd.
type CounterTotal = quota.Total
