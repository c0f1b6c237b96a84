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
	EmptyDisk     bool   `cbor:"2,keyasint,omitempty"`  // the node's disk is empty: it also needs the stored instances
	FromPosition  uint64 `cbor:"8,keyasint,omitempty"`  // of the first item
	NewestEpoch   uint64 `cbor:"9,keyasint,omitempty"`  // of all chunks so far: an older snapshot is of no use
	MaxBytes      int    `cbor:"10,keyasint,omitempty"` // about how long the chunk may be; 0: the source's default
	AfterInstance string `cbor:"11,keyasint,omitempty"` // only instances whose ids sort after this one
}

// CatchUpChunk is the reply to CatchUpRequest: items chosen after its epoch, as they stand in the snapshot of Epoch.
type CatchUpChunk struct {
	NextPosition  uint64               `cbor:"8,keyasint,omitempty"` // to go on from; 0: there are no more items
	MoreInstances bool                 `cbor:"9,keyasint,omitempty"` // there are instances after these
	Epoch         uint64               `cbor:"1,keyasint"`
	Items         []configuration.Item `cbor:"2,keyasint,omitempty"`
	Voters        []string             `cbor:"6,keyasint,omitempty"` // from older versions: the initial electorate
	Instances     []registry.Instance  `cbor:"7,keyasint,omitempty"` // on the source's disk

	Electorate consensus.Electorate `cbor:"10,keyasint,omitempty"` // that stands in the snapshot of Epoch
}

// PersistRequest asks a control node to have instances on its disk, synced, before it replies.
type PersistRequest struct {
	Instances []registry.Instance `cbor:"1,keyasint"`
}

// PersistReply is the reply to PersistRequest.
type PersistReply struct {
	OK bool `cbor:"1,keyasint,omitempty"`
}
