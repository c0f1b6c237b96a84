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
	// lockTimeout is how long Open waits for the file's lock. An older process of this ingress has it for as long as it
	// runs, and the voter tries again.
	lockTimeout = 20 * time.Millisecond
	// retainedEntries is how many entries before a snapshot stay.
	retainedEntries = 200
)

// Store is one file. Its zero value with a Path is closed.
type Store struct {
	Path string
	db   *bbolt.DB // nil: closed
}

// Open reads the state, and counts the start. A new file draws an id. A store that is open is closed first.
func (s *Store) Open() (d *quorum.Durable, err error) {
	// A file that was cut short is mapped beyond its end: reading there is a memory fault, not an error.
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

// start reads the state into d and counts the start.
//
// bbolt's own check, and its search for free pages where the list of these is not stored, run in goroutines of their
// own: on a corrupt file they would end the process. Reading all values finds the same here.
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
		if d.ID, err = drawID(); err != nil {
			return err
		}
		if err := putUint64(meta, keyID, d.ID); err != nil {
			return err
		}
	}
	d.Boot++
	return putUint64(meta, keyBoot, d.Boot)
}

// drawID draws a voter's id. raft reserves 0 and the highest values.
func drawID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:])>>2 + 1, nil
}

// wrap adds the path to an error, and marks a full disk and a locked file by the errors of package quorum.
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
	if len(b.Entries) > 0 { // they replace the entries from the first one's index on
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

// deleteFrom deletes the entries from an index on, up to the first that is not to be deleted.
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
