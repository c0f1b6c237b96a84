package storage

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
)

// Batch is a set of changes that is saved atomically. What is nil or zero stays as it is on disk.
type Batch struct {
	Acceptor        *consensus.Acceptor
	Items           []configuration.Item // each replaces the one of its key
	Instances       []registry.Instance  // each replaces the one of its id
	DeleteInstances []string             // ids
	Members         int                  // ingresses; 0: as it was
	Stage           *StageProgress
	StagedItems     []configuration.Item // each replaces the staged one of its key
	ClearStage      bool                 // nothing is staged any more; applied before Stage and StagedItems

	// NoSync means that the batch itself may be lost with the power. Batches are never on disk without those before
	// them, so a later synced batch syncs this one too.
	NoSync bool
}

// batchWriter adds the records of batches to one database batch. It belongs to the writing goroutine.
type batchWriter struct {
	pending   *consensus.Proposal // accepted proposal as it is on disk
	versioned bool                // the format version was written since the folder was opened
}

// add appends the records of a batch.
func (bw *batchWriter) add(to *pebble.Batch, b Batch) error {
	records := recordBatch{to: to}
	if b.Acceptor != nil {
		bw.addAcceptor(&records, b.Acceptor)
	}
	for _, item := range b.Items {
		records.set(itemKey(prefixItem, item.Key), item)
	}
	if b.ClearStage {
		records.delete(keyStage)
		records.deletePrefix(prefixStaged)
	}
	if b.Stage != nil {
		records.set(keyStage, b.Stage)
	}
	for _, item := range b.StagedItems {
		records.set(itemKey(prefixStaged, item.Key), item)
	}
	for _, instance := range b.Instances {
		records.set(instanceKey(instance.ID), instance)
	}
	if b.Members > 0 {
		records.set(keyMembers, b.Members)
	}
	for _, id := range b.DeleteInstances {
		records.delete(instanceKey(id))
	}
	return records.err
}

// addAcceptor appends an acceptor, and its pending proposal only where that has changed: a first configuration may be
// megabytes and must not be written again with each promise.
func (bw *batchWriter) addAcceptor(records *recordBatch, acceptor *consensus.Acceptor) {
	if !bw.versioned {
		records.set(keyVersion, formatVersion)
		bw.versioned = true
	}
	records.set(keyAcceptor, acceptor)
	switch {
	case acceptor.Pending == nil && bw.pending != nil:
		records.delete(keyPending)
	case acceptor.Pending != bw.pending:
		records.set(keyPending, acceptor.Pending)
	}
	bw.pending = acceptor.Pending
}

// recordBatch encodes records into a database batch, and keeps its errors.
type recordBatch struct {
	to  *pebble.Batch
	err error
}

func (r *recordBatch) set(key []byte, value any) {
	encoded, err := cbor.Marshal(value)
	if err == nil {
		err = r.to.Set(key, encoded, nil)
	}
	r.err = errors.CombineErrors(r.err, err)
}

func (r *recordBatch) delete(key []byte) {
	r.err = errors.CombineErrors(r.err, r.to.Delete(key, nil))
}

func (r *recordBatch) deletePrefix(prefix byte) {
	r.err = errors.CombineErrors(r.err, r.to.DeleteRange([]byte{prefix}, []byte{prefix + 1}, nil))
}
