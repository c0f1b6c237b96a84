// Package boltstore keeps a voter's promises in bbolt: each batch in one transaction, synced before it returns. Values carry
// checksums, for bbolt has none of its own below its meta pages; a store that says anything else than what was written is
// damaged, and its voter does not vote under its id again.
package boltstore

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/standalone/fleet/quorum"
)

const (
	lockTimeout = 20 * time.Millisecond // an older process of this ingress has it for as long as it runs: it is tried again
	retainedEntries     = 200                   // entries before a snapshot that stay
)

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")
	keyID      = []byte("id")
	keyBoot    = []byte("boot")
	keyNames   = []byte("names")
	keyHardState    = []byte("hard")
	keySnapshot    = []byte("snapshot")
	keyPeers = []byte("witness")
	castagnoli      = crc32.MakeTable(crc32.Castagnoli)
)

// Store is one file.
type Store struct {
	Path string
	db   *bbolt.DB
}

// Open reads what is kept, and counts the start. A new file draws an id.
func (s *Store) Open() (d *quorum.Durable, err error) {
	// A file cut short is mapped beyond its end: reading there is a fault, not an error.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			d, err = nil, fmt.Errorf("%s: %w: %v", s.Path, quorum.ErrCorrupt, r)
		}
	}()
	s.Close()
	if s.db, err = bbolt.Open(s.Path, 0o600, &bbolt.Options{Timeout: lockTimeout}); err != nil {
		return nil, s.wrap("open", err)
	}
	d = &quorum.Durable{}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		// Its own check, and its search for free pages where the list of these is not kept, run in goroutines of their own: on a
		// damaged file they would end the process. Reading all that is kept finds the same here.
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		if err := load(tx, d); err != nil {
			return err
		}
		if d.ID == 0 {
			if d.ID, err = drawID(); err != nil {
				return err
			}
			if err := put(meta, keyID, binary.BigEndian.AppendUint64(nil, d.ID)); err != nil {
				return err
			}
		}
		d.Boot++
		return put(meta, keyBoot, binary.BigEndian.AppendUint64(nil, d.Boot))
	})
	if err != nil {
		return nil, s.wrap("read", err)
	}
	return d, nil
}

func drawID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:])>>2 + 1, nil // raft keeps the highest for itself
}

// wrap tells a disk without room from other trouble.
func (s *Store) wrap(what string, err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return fmt.Errorf("%s: %s: %w: %w", s.Path, what, quorum.ErrNoSpace, err)
	}
	if errors.Is(err, berrors.ErrTimeout) {
		return fmt.Errorf("%s: %w", s.Path, quorum.ErrLocked)
	}
	return fmt.Errorf("%s: %s: %w", s.Path, what, err)
}

// put keeps a value with its checksum, which covers the key as well.
func put(b *bbolt.Bucket, key, value []byte) error {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
	return b.Put(key, append(binary.BigEndian.AppendUint32(nil, sum), value...))
}

func get(b *bbolt.Bucket, key []byte) ([]byte, error) {
	v := b.Get(key)
	if v == nil {
		return nil, nil
	}
	return verifyChecksum(key, v)
}

func verifyChecksum(key, v []byte) ([]byte, error) {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, v[4:]) {
		return nil, fmt.Errorf("%w: %q", quorum.ErrCorrupt, key)
	}
	return append([]byte{}, v[4:]...), nil
}

// load reads all. What does not fit together is damaged.
func load(tx *bbolt.Tx, d *quorum.Durable) error {
	meta := tx.Bucket(bucketMeta)
	for _, v := range []struct {
		key  []byte
		read func([]byte) error
	}{
		{keyID, func(b []byte) error { return readUint64(b, &d.ID) }},
		{keyBoot, func(b []byte) error { return readUint64(b, &d.Boot) }},
		{keyNames, func(b []byte) error { return cbor.Unmarshal(b, &d.Names) }},
		{keyPeers, func(b []byte) error { return cbor.Unmarshal(b, &d.Peers) }},
		{keyHardState, func(b []byte) error { d.HardState = &pb.HardState{}; return proto.Unmarshal(b, d.HardState) }},
		{keySnapshot, func(b []byte) error { d.Snapshot = &pb.Snapshot{}; return proto.Unmarshal(b, d.Snapshot) }},
	} {
		b, err := get(meta, v.key)
		if err != nil {
			return err
		}
		if b == nil {
			continue
		}
		if err := v.read(b); err != nil {
			return fmt.Errorf("%w: %q: %w", quorum.ErrCorrupt, v.key, err)
		}
	}
	first := d.Snapshot.GetMetadata().GetIndex()
	cursor := tx.Bucket(bucketLog).Cursor()
	next := uint64(0)
	for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
		b, err := verifyChecksum(k, v)
		if err != nil {
			return err
		}
		e := &pb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil || e.GetIndex() != binary.BigEndian.Uint64(k) || next != 0 && e.GetIndex() != next {
			return fmt.Errorf("%w: entry %d: %v", quorum.ErrCorrupt, binary.BigEndian.Uint64(k), err)
		}
		if next = e.GetIndex() + 1; e.GetIndex() > first {
			d.Entries = append(d.Entries, e)
		}
	}
	if n := len(d.Entries); n > 0 && d.Entries[0].GetIndex() != first+1 || d.HardState.GetCommit() > max(first, next-min(next, 1)) {
		return fmt.Errorf("%w: a gap in the log", quorum.ErrCorrupt)
	}
	return nil
}

func readUint64(b []byte, into *uint64) error {
	if len(b) != 8 {
		return quorum.ErrCorrupt
	}
	*into = binary.BigEndian.Uint64(b)
	return nil
}

// Save keeps a batch in one transaction.
func (s *Store) Save(b quorum.Batch) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if b.Snapshot != nil {
			data, err := proto.Marshal(b.Snapshot)
			if err != nil {
				return err
			}
			if err := put(meta, keySnapshot, data); err != nil {
				return err
			}
			at := b.Snapshot.GetMetadata().GetIndex()
			c := log.Cursor()
			for k, _ := c.First(); k != nil && (b.Replace || binary.BigEndian.Uint64(k)+retainedEntries <= at); k, _ = c.First() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		if len(b.Entries) > 0 { // they replace what stood at their places and behind
			c := log.Cursor()
			for k, _ := c.Seek(logKey(b.Entries[0].GetIndex())); k != nil; k, _ = c.Seek(logKey(b.Entries[0].GetIndex())) {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, e := range b.Entries {
			data, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := put(log, logKey(e.GetIndex()), data); err != nil {
				return err
			}
		}
		if b.HardState != nil {
			data, err := proto.Marshal(b.HardState)
			if err != nil {
				return err
			}
			if err := put(meta, keyHardState, data); err != nil {
				return err
			}
		}
		if b.Names != nil {
			if err := putCBOR(meta, keyNames, b.Names); err != nil {
				return err
			}
		}
		return putCBOR(meta, keyPeers, b.Peers)
	})
	if err != nil {
		return s.wrap("save", err)
	}
	return nil
}

func putCBOR(b *bbolt.Bucket, key []byte, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return put(b, key, data)
}

func logKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Close lets go of the file.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	db := s.db
	s.db = nil
	return db.Close()
}

// Size is the file's, in bytes.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.Path)
	if err != nil {
		return 0
	}
	return info.Size()
}
