package boltstore

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/standalone/fleet/quorum"
)

const (
	// lockTimeout is how long Open waits for the file's lock. It is short, because an older process of this ingress
	// holds the lock for as long as it runs, and the voter retries Open.
	lockTimeout = 20 * time.Millisecond
	// retainedEntries is the number of entries up to a snapshot that stay in the file. Open checks them but returns
	// only the entries after the snapshot.
	retainedEntries = 200
)

// Store is a quorum.Store in one file. A Store with only a Path is closed.
type Store struct {
	Path string
	db   *bbolt.DB // nil: closed
}

// Open reads the state, and increases the boot count. For a new file it generates an id. A store that is open is closed
// first.
func (s *Store) Open() (d *quorum.Durable, err error) {
	// bbolt maps a truncated file beyond its end. Reading there is a memory fault, not an error. SetPanicOnFault
	// turns the fault into a panic, which is reported as ErrCorrupt.
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
	if err := s.db.Update(func(tx *bbolt.Tx) error { return start(tx, d) }); err != nil {
		return nil, s.wrap("read", err)
	}
	return d, nil
}

// start reads the state into d and increases the boot count.
//
// It does not use bbolt's check of a file, nor its search for free pages, which bbolt needs only if their list is not
// stored. Both run in separate goroutines, where a panic on a corrupt file would end the process. Reading all values,
// which have checksums, detects corruption too.
func start(tx *bbolt.Tx, d *quorum.Durable) error {
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
		if d.ID, err = newVoterID(); err != nil {
			return err
		}
		if err := putUint64(meta, keyID, d.ID); err != nil {
			return err
		}
	}
	d.Boot++
	return putUint64(meta, keyBoot, d.Boot)
}

// newVoterID returns a random id for a voter, from 1 to 1<<62, because raft reserves 0 and the highest values.
func newVoterID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:])>>2 + 1, nil
}

// wrap adds the path to an error, and wraps ErrNoSpace or ErrLocked of package quorum for a full disk or a locked file.
// A disk quota or file size limit that is reached counts as a full disk.
func (s *Store) wrap(operation string, err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return fmt.Errorf("%s: %s: %w: %w", s.Path, operation, quorum.ErrNoSpace, err)
	}
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return fmt.Errorf("%s: %w", s.Path, quorum.ErrLocked)
	}
	return fmt.Errorf("%s: %s: %w", s.Path, operation, err)
}

// Save stores a batch in one transaction.
func (s *Store) Save(b quorum.Batch) error {
	if err := s.db.Update(func(tx *bbolt.Tx) error { return saveBatch(tx, b) }); err != nil {
		return s.wrap("save", err)
	}
	return nil
}

func saveBatch(tx *bbolt.Tx, b quorum.Batch) error {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if b.Snapshot != nil {
		if err := putProto(meta, keySnapshot, b.Snapshot); err != nil {
			return err
		}
		last := b.Snapshot.GetMetadata().GetIndex()
		err := deleteFrom(log, 0, func(index uint64) bool { return b.Replace || index+retainedEntries <= last })
		if err != nil {
			return err
		}
	}
	if len(b.Entries) > 0 { // replace all entries from the first one's index on
		err := deleteFrom(log, b.Entries[0].GetIndex(), func(uint64) bool { return true })
		if err != nil {
			return err
		}
	}
	for _, entry := range b.Entries {
		if err := putProto(log, logKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	if b.HardState != nil {
		if err := putProto(meta, keyHardState, b.HardState); err != nil {
			return err
		}
	}
	if b.VoterNames != nil {
		if err := putCBOR(meta, keyVoterNames, b.VoterNames); err != nil {
			return err
		}
	}
	return putCBOR(meta, keyPeers, b.Peers)
}

// deleteFrom deletes the entries from an index on, as long as del returns true.
func deleteFrom(log *bbolt.Bucket, first uint64, del func(index uint64) bool) error {
	cursor := log.Cursor()
	start := logKey(first)
	for k, _ := cursor.Seek(start); k != nil && del(binary.BigEndian.Uint64(k)); k, _ = cursor.Seek(start) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file, if it is open.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	db := s.db
	s.db = nil
	return db.Close()
}

// Size returns the size of the file in bytes; 0 if there is none.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.Path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// putProto stores a protobuf message.
func putProto(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(b, key, data)
}
