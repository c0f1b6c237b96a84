package transport

import (
	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
)

// CatchUpRequest asks for a chunk of the chosen items that are newer than an epoch, in the order of
// configuration.Key.Position.
type CatchUpRequest struct {
	Epoch         uint64 `cbor:"1,keyasint"`
	EmptyDisk     bool   `cbor:"2,keyasint,omitempty"`  // the node's disk is empty: instances are requested, no items
	FromPosition  uint64 `cbor:"8,keyasint,omitempty"`  // position of the first item
	NewestEpoch   uint64 `cbor:"9,keyasint,omitempty"`  // newest epoch of the chunks so far; older chunks are of no use
	MaxBytes      int    `cbor:"10,keyasint,omitempty"` // approximate size of the chunk, bytes; 0 means the default
	AfterInstance string `cbor:"11,keyasint,omitempty"` // only instances whose ids sort after this one are requested
}

// CatchUpChunk is the reply to CatchUpRequest: the items chosen after its epoch, as they are in the snapshot of Epoch.
type CatchUpChunk struct {
	NextPosition  uint64               `cbor:"8,keyasint,omitempty"` // position for the next request; 0 means the end
	MoreInstances bool                 `cbor:"9,keyasint,omitempty"` // there are more instances after these
	Epoch         uint64               `cbor:"1,keyasint"`           // epoch of the source's snapshot
	Items         []configuration.Item `cbor:"2,keyasint,omitempty"`
	Voters        []string             `cbor:"6,keyasint,omitempty"` // sent by older versions: the initial electorate
	Instances     []registry.Instance  `cbor:"7,keyasint,omitempty"` // departing instances on the source's disk

	Electorate consensus.Electorate `cbor:"10,keyasint,omitempty"` // electorate in the snapshot of Epoch
}

// PersistRequest asks a control node to sync instances to its disk before it replies.
type PersistRequest struct {
	Instances []registry.Instance `cbor:"1,keyasint"`
}

// PersistReply is the reply to PersistRequest.
type PersistReply struct {
	OK bool `cbor:"1,keyasint,omitempty"` // the instances are synced to the disk
}
