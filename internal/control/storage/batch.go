package storage

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/shard"
)

// Batch is a set of changes that is saved atomically. For a field that is nil or zero, nothing changes on disk.
type Batch struct {
	Acceptor        *consensus.Acceptor
	Items           []configuration.Item // each replaces the item with its key
	Instances       []registry.Instance  // each replaces the instance with its id
	DeleteInstances []string             // ids of the instances to delete
	IngressCount    int                  // recent number of ingresses; 0 means unchanged
	Stage           *StageProgress
	StagedItems     []configuration.Item // each replaces the staged item with its key
	ClearStage      bool                 // deletes all that is staged, before Stage and StagedItems are written
	Shard           *ShardSave

	// NoSync means that the batch may be lost in a power loss. The sync of a later batch syncs this one too, because a
	// batch is never on disk without those before it.
	NoSync bool
}

// ShardSave is a change of a shard's state.
type ShardSave struct {
	Shard uint32
	shard.Save
}

// batchWriter adds the records of batches to one database batch. Only the writing goroutine uses it.
type batchWriter struct {
	pending        *consensus.Proposal // accepted proposal that is on disk
	version        int                 // version of the records on disk
	versionWritten bool                // whether the version has been written since the folder was opened
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
	if b.IngressCount > 0 {
		records.set(keyIngressCount, b.IngressCount)
	}
	for _, id := range b.DeleteInstances {
		records.delete(instanceKey(id))
	}
	if b.Shard != nil {
		bw.addShard(&records, b.Shard)
	}
	return records.err
}

// addAcceptor appends an acceptor. It appends the pending proposal only if that has changed, because the first
// configuration may have megabytes, which must not be written again with each promise.
func (bw *batchWriter) addAcceptor(records *recordBatch, acceptor *consensus.Acceptor) {
	bw.addVersion(records, baseVersion)
	records.set(keyAcceptor, acceptor)
	switch {
	case acceptor.Pending == nil && bw.pending != nil:
		records.delete(keyPending)
	case acceptor.Pending != bw.pending:
		records.set(keyPending, acceptor.Pending)
	}
	bw.pending = acceptor.Pending
}

// addVersion appends the version of the records if that on disk is older, or has not been written since the folder was
// opened.
func (bw *batchWriter) addVersion(records *recordBatch, version int) {
	if bw.versionWritten && bw.version >= version {
		return
	}
	bw.version, bw.versionWritten = max(bw.version, version), true
	records.set(keyVersion, bw.version)
}

// addShard appends the change of a shard.
func (bw *batchWriter) addShard(records *recordBatch, save *ShardSave) {
	bw.addVersion(records, shardVersion)
	if save.Replace {
		records.deleteRange(shardRecordKey(save.Shard, ""), shardRecordKey(save.Shard+1, ""))
	}
	records.set(shardKey(save.Shard), save.Header)
	for _, write := range save.Writes {
		key := shardRecordKey(save.Shard, write.Key)
		if write.Value == nil {
			records.delete(key)
		} else {
			records.setBytes(key, write.Value)
		}
	}
}

// recordBatch encodes records into a database batch, and combines the errors.
type recordBatch struct {
	to  *pebble.Batch
	err error
}

func (r *recordBatch) set(key []byte, value any) {
	encoded, err := cbor.Marshal(value)
	r.err = errors.CombineErrors(r.err, err)
	if err == nil {
		r.setBytes(key, encoded)
	}
}

func (r *recordBatch) setBytes(key, value []byte) {
	r.err = errors.CombineErrors(r.err, r.to.Set(key, value, nil))
}

func (r *recordBatch) delete(key []byte) {
	r.err = errors.CombineErrors(r.err, r.to.Delete(key, nil))
}

func (r *recordBatch) deletePrefix(prefix byte) { r.deleteRange([]byte{prefix}, []byte{prefix + 1}) }

// deleteRange deletes the keys from one key up to another, which is not deleted itself.
func (r *recordBatch) deleteRange(from, to []byte) {
	r.err = errors.CombineErrors(r.err, r.to.DeleteRange(from, to, nil))
}
