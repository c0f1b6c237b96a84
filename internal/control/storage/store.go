package storage

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	closeTimeout  = 2 * time.Second        // time that Close gives the disk for the pending batches
	retryInterval = 100 * time.Millisecond // interval between attempts at an operation that the disk rejects
)

// Store is an open folder. Its methods may be called from any goroutine.
type Store struct {
	db  *pebble.DB
	fs  *retryingFS
	log log.Logger

	writer batchWriter   // used only by the writing goroutine
	wake   chan struct{} // capacity 1; signals that batches are queued; closed by Close
	done   chan struct{} // closed when the writing goroutine has ended

	mu          sync.Mutex // guards the fields below
	queued      *Future    // future of the batches that the next commit writes
	commitStart time.Time  // start of the commit in progress; zero means none
	closed      bool
}

// Open opens a folder, creating it if there is none, and reads its state. It has no timeout, and waits also while the
// disk rejects operations. A nil fs is the file system of the operating system. Its errors wrap
// ErrManifestMarkerMissing, ErrNewerFormat or ErrUnknownKey, or are those of the database.
func Open(fs vfs.FS, dir string, logger log.Logger) (*Store, State, error) {
	return open(fs, dir, logger, retryInterval)
}

func open(fs vfs.FS, dir string, logger log.Logger, retryEvery time.Duration) (*Store, State, error) {
	if fs == nil {
		fs = vfs.Default
	}
	s := &Store{log: logger, queued: newFuture(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.fs = &retryingFS{FS: fs, retryEvery: retryEvery, stop: make(chan struct{}), onStateChange: s.logDiskState}
	cache := pebble.NewCache(cacheBytes)
	defer cache.Unref()
	if err := checkManifestMarker(fs, dir); err != nil {
		return nil, State{}, err
	}
	db, err := pebble.Open(dir, databaseOptions(s.fs, cache, logger))
	if err != nil {
		return nil, State{}, errors.Wrapf(err, "open %s", dir)
	}
	state, err := readState(db)
	if err != nil {
		return nil, State{}, errors.CombineErrors(errors.Wrapf(err, "read %s", dir), db.Close())
	}
	s.db = db
	s.writer.pending, s.writer.version = state.Acceptor.Pending, state.version
	go s.write()
	return s, state, nil
}

// checkManifestMarker rejects a folder that holds data, but no marker of the current manifest, because the database
// would treat it as a new one.
func checkManifestMarker(fs vfs.FS, dir string) error {
	names, err := fs.List(dir)
	if err != nil {
		return nil // normally because the folder does not exist yet; other errors skip the check too
	}
	dataFile := ""
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, "marker.manifest."):
			return nil
		case strings.HasSuffix(name, ".sst"):
			dataFile = name
		case strings.HasSuffix(name, ".log"):
			if info, err := fs.Stat(fs.PathJoin(dir, name)); err != nil || info.Size() > 0 {
				dataFile = name
			}
		}
	}
	if dataFile != "" {
		return errors.Wrapf(ErrManifestMarkerMissing, "open %s: %s is there", dir, dataFile)
	}
	return nil
}

// Put queues a batch after all earlier ones, and returns the future of its commit. It does not block. After Close the
// future's error is ErrClosed.
func (s *Store) Put(b Batch) *Future {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return closedFuture()
	}
	future := s.queued
	if b.Acceptor != nil {
		acceptor := *b.Acceptor // the caller may change the original afterwards
		b.Acceptor = &acceptor
	}
	future.batches = append(future.batches, b)
	future.sync = future.sync || !b.NoSync
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return future
}

// Save puts a batch and waits for its commit.
func (s *Store) Save(ctx context.Context, b Batch) error { return s.Put(b).Wait(ctx) }

// Stalled reports whether a single commit has been in progress for longer than a limit.
func (s *Store) Stalled(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.commitStart.IsZero() && time.Since(s.commitStart) > limit
}

// write commits the queued batches until the store is closed and none is left.
func (s *Store) write() {
	defer close(s.done)
	for {
		future, closed := s.nextCommit()
		if future == nil {
			if closed {
				return
			}
			<-s.wake
			continue
		}
		err := s.commit(future)
		if err != nil {
			level.Error(s.log).Log("msg", "batch not saved", "err", err)
		}
		future.resolve(err)
	}
}

// nextCommit removes and returns the queued batches, or nil if there are none, and whether the store is closed.
func (s *Store) nextCommit() (future *Future, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitStart = time.Time{}
	if len(s.queued.batches) == 0 {
		return nil, s.closed
	}
	future = s.queued
	s.queued, s.commitStart = newFuture(), time.Now()
	return future, s.closed
}

func (s *Store) commit(f *Future) error {
	records := s.db.NewBatch()
	for _, b := range f.batches {
		if err := s.writer.add(records, b); err != nil {
			return errors.CombineErrors(err, records.Close())
		}
	}
	if err := s.db.Apply(records, &pebble.WriteOptions{Sync: f.sync}); err != nil {
		return err
	}
	return records.Close()
}

// Close ends the store. It waits at most closeTimeout until the disk has written all batches that were put before, and
// returns ErrCloseTimeout if it has not. Closing again does nothing.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.wake)
	closed := make(chan error, 1)
	go func() { // outlives Close only if the disk does not respond
		<-s.done
		closed <- s.db.Close()
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-closed:
		return err
	case <-timer.C:
		close(s.fs.stop)
		return ErrCloseTimeout
	}
}

// logDiskState logs that the disk rejects operations, or, if err is nil, that it works again.
func (s *Store) logDiskState(err error) {
	if err != nil {
		level.Error(s.log).Log("msg", "disk failing, retrying", "err", err)
	} else {
		level.Info(s.log).Log("msg", "disk recovered")
	}
}
