package boltstore

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/standalone/fleet/quorum"
)

// load reads the state into d. If parts of the state contradict each other, the error wraps quorum.ErrCorrupt.
func load(tx *bbolt.Tx, d *quorum.Durable) error {
	if err := loadMeta(tx.Bucket(bucketMeta), d); err != nil {
		return err
	}
	return loadEntries(tx.Bucket(bucketLog), d)
}

func loadMeta(meta *bbolt.Bucket, d *quorum.Durable) error {
	values := []struct {
		key  []byte
		read func([]byte) error
	}{
		{keyID, func(b []byte) error { return readUint64(b, &d.ID) }},
		{keyBoot, func(b []byte) error { return readUint64(b, &d.Boot) }},
		{keyVoterNames, func(b []byte) error { return cbor.Unmarshal(b, &d.VoterNames) }},
		{keyPeers, func(b []byte) error { return cbor.Unmarshal(b, &d.Peers) }},
		{keyHardState, func(b []byte) error {
			d.HardState = &pb.HardState{}
			return proto.Unmarshal(b, d.HardState)
		}},
		{keySnapshot, func(b []byte) error {
			d.Snapshot = &pb.Snapshot{}
			return proto.Unmarshal(b, d.Snapshot)
		}},
	}
	for _, value := range values {
		data, err := get(meta, value.key)
		if err != nil {
			return err
		}
		if data == nil {
			continue
		}
		if err := value.read(data); err != nil {
			return fmt.Errorf("%w: %q: %w", quorum.ErrCorrupt, value.key, err)
		}
	}
	return nil
}

// loadEntries reads the entries after the snapshot. It returns an error if the stored entries, including those up to
// the snapshot, have gaps, if those after the snapshot don't begin right after it, or if entries that are committed by
// the hard state are missing.
func loadEntries(log *bbolt.Bucket, d *quorum.Durable) error {
	snapshotIndex := d.Snapshot.GetMetadata().GetIndex()
	last := uint64(0) // 0: none
	cursor := log.Cursor()
	for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
		entry, err := readEntry(k, v)
		if err != nil {
			return err
		}
		if last != 0 && entry.GetIndex() != last+1 {
			return fmt.Errorf("%w: entry %d follows entry %d", quorum.ErrCorrupt, entry.GetIndex(), last)
		}
		last = entry.GetIndex()
		if last > snapshotIndex {
			d.Entries = append(d.Entries, entry)
		}
	}
	if len(d.Entries) > 0 && d.Entries[0].GetIndex() != snapshotIndex+1 {
		return fmt.Errorf("%w: a gap between the snapshot and the entries", quorum.ErrCorrupt)
	}
	if d.HardState.GetCommit() > max(snapshotIndex, last) {
		return fmt.Errorf("%w: committed entries are missing", quorum.ErrCorrupt)
	}
	return nil
}

func readEntry(key, value []byte) (*pb.Entry, error) {
	data, err := verifyChecksum(key, value)
	if err != nil {
		return nil, err
	}
	index := binary.BigEndian.Uint64(key)
	entry := &pb.Entry{}
	if err := proto.Unmarshal(data, entry); err != nil {
		return nil, fmt.Errorf("%w: entry %d: %w", quorum.ErrCorrupt, index, err)
	}
	if entry.GetIndex() != index {
		return nil, fmt.Errorf("%w: entry %d is stored as %d", quorum.ErrCorrupt, entry.GetIndex(), index)
	}
	return entry, nil
}
