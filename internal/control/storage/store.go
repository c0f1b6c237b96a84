package storage

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/sstable"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
)

// version of what is on disk. A folder of a later one is not opened.
const version = 3

// Keys: one letter, then the name of what there are many of.
var (
	keyVersion  = []byte("v")
	keyVoters   = []byte("m") // up to version 2: addresses of the voters of the first start
	keyAcceptor = []byte("a")
	keyPending  = []byte("p")
	keyMembers  = []byte("n")
	keyStage    = []byte("t")
)

const (
	keyItem     = 'i' // then the kind and the name
	keyInstance = 'l' // then the id
	keyStaged   = 's' // an item of a transfer that has not all come; then the kind and the name
)

// Sizes: small, because all that is kept is in memory too and is read at the start alone.
const (
	memTable      = 512 << 10 // bytes
	cacheSize     = 1 << 20   // bytes
	openFiles     = 40
	closeTimeout  = 2 * time.Second
	retryInterval = 100 * time.Millisecond // after the disk refused
)

// decoding takes arrays as long as the bytes that a proposal may have on its way here allow.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 21}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// ErrClosed is that of what was not on disk when the store was closed.
var ErrClosed = errors.New("the store is closed")

// State is what was found on disk.
type State struct {
	Empty     bool // no electorate was ever known here: nobody may count on this node until it is in one again
	Acceptor  consensus.Acceptor
	Items     []configuration.Item // in order of their keys
	Instances []registry.Instance
	Members   int // ingresses, as last counted; 0: never
	Stage     *StageProgress
	StagedItems    []configuration.Item
}

// StageProgress is how far a transfer of the snapshot has come whose items are staged: kept, and not yet part of what is here.
type StageProgress struct {
	BaseEpoch  uint64 `cbor:"1,keyasint"` // all up to this epoch is here or staged
	FirstEpoch uint64 `cbor:"2,keyasint"` // epoch of the first piece of this pass
	LastEpoch   uint64 `cbor:"3,keyasint"` // and of the last
	NextPosition  uint64 `cbor:"4,keyasint"` // position that the pass goes on from
}

// Batch is what is saved at once: whole or not at all. What is nil stays as it was.
type Batch struct {
	Acceptor        *consensus.Acceptor
	Items           []configuration.Item // each in the place of another of its key
	Instances       []registry.Instance
	DeleteInstances []string // ids of instances
	Members         int      // 0: as it was
	NoSync          bool     // it may go without a sync: whatever is saved after it is never on disk without it
	Stage           *StageProgress
	StagedItems          []configuration.Item // each in the place of another of its key that is staged
	ClearStage      bool                 // the transfer is over: nothing is staged any more
}

// Store is an open folder.
type Store struct {
	db  *pebble.DB
	fs  *retryingFS
	log log.Logger

	mu     sync.Mutex
	open   *Future   // what the next commit takes
	began  time.Time // of the commit under way; zero: none is
	closed bool
	wake   chan struct{}
	done   chan struct{}

	pending   *consensus.Proposal // as it is on disk; the writing goroutine's
	versioned bool                // so is the version; its too
}

// Future is a commit that is yet to come.
type Future struct {
	batches []Batch
	sync    bool
	done    chan struct{}
	err     error
}

// Wait waits until what the ticket was given for is on disk, synced. When the context ends first the write may still happen.
func (t *Future) Wait(ctx context.Context) error {
	select {
	case <-t.done:
		return t.err
	default:
	}
	select {
	case <-t.done:
		return t.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "the disk is late")
	}
}

// Done is closed when the commit has ended; Wait does not wait then.
func (t *Future) Done() <-chan struct{} { return t.done }

// Open opens a folder, or makes it. It waits as long as the disk does. No fs: the machine's own.
func Open(fs vfs.FS, dir string, logger log.Logger) (*Store, State, error) {
	return open(fs, dir, logger, retryInterval)
}

func open(fs vfs.FS, dir string, logger log.Logger, every time.Duration) (*Store, State, error) {
	if fs == nil {
		fs = vfs.Default
	}
	v := &Store{log: logger, open: newTicket(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	v.fs = &retryingFS{FS: fs, every: every, stop: make(chan struct{}), onTrouble: v.trouble}
	cache := pebble.NewCache(cacheSize)
	defer cache.Unref()
	o := &pebble.Options{
		FS:                          v.fs,
		Cache:                       cache,
		FormatMajorVersion:          pebble.FormatValueSeparation,
		Logger:                      pebbleLogger{logger},
		MemTableSize:                memTable,
		MemTableStopWritesThreshold: 4,
		MaxOpenFiles:                openFiles,
		MaxManifestFileSize:         1 << 20,
		L0CompactionThreshold:       4,
		L0CompactionFileThreshold:   8,
		LBaseMaxBytes:               8 << 20,
		CompactionConcurrencyRange:  func() (int, int) { return 1, 1 },
		DisableTableStats:           true,
	}
	for i := range o.Levels {
		o.Levels[i].Compression = func() *sstable.CompressionProfile { return sstable.NoCompression }
	}
	for i := range o.TargetFileSizes {
		o.TargetFileSizes[i] = 2 << 20
	}
	// The usual scheduler wakes ten times a second; with one compaction at a time the end of each is occasion enough.
	o.Experimental.CompactionScheduler = pebble.NewConcurrencyLimitSchedulerWithNoPeriodicGrantingForTest()
	if err := checkFolder(fs, dir); err != nil {
		return nil, State{}, err
	}
	db, err := pebble.Open(dir, o)
	if err != nil {
		return nil, State{}, errors.Wrapf(err, "open %s", dir)
	}
	v.db = db
	s, err := v.read()
	if err != nil {
		return nil, State{}, errors.CombineErrors(errors.Wrapf(err, "read %s", dir), db.Close())
	}
	v.pending = s.Acceptor.Pending
	go v.write()
	return v, s, nil
}

// checkFolder refuses a folder that holds data and not the name that tells which of it counts: the store would take it for a new one.
func checkFolder(fs vfs.FS, dir string) error {
	names, err := fs.List(dir)
	if err != nil {
		return nil // there is none yet
	}
	data := ""
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, "marker.manifest."):
			return nil
		case strings.HasSuffix(name, ".sst"):
			data = name
		case strings.HasSuffix(name, ".log"):
			if s, err := fs.Stat(fs.PathJoin(dir, name)); err != nil || s.Size() > 0 {
				data = name
			}
		}
	}
	if data != "" {
		return errors.Newf("open %s: %s is there, and no marker of a manifest: names of the folder are lost, and with them what was acknowledged", dir, data)
	}
	return nil
}

func newTicket() *Future { return &Future{done: make(chan struct{})} }

func (v *Store) read() (s State, err error) {
	it, err := v.db.NewIter(nil)
	if err != nil {
		return s, err
	}
	defer func() { err = errors.CombineErrors(err, it.Close()) }()
	for it.First(); it.Valid(); it.Next() {
		k, b := it.Key(), it.Value()
		var err error
		switch k[0] {
		case keyVersion[0]:
			var n int
			if err = decoding.Unmarshal(b, &n); err == nil && n > version {
				err = errors.Newf("the folder is of version %d, later than %d", n, version)
			}
		case keyVoters[0]:
			var first []string
			if err = decoding.Unmarshal(b, &first); err == nil && !s.Acceptor.Electorate.Known() { // the acceptor's key comes before
				s.Acceptor.Electorate = consensus.InitialElectorate(first)
			}
		case keyAcceptor[0]:
			err = decoding.Unmarshal(b, &s.Acceptor)
		case keyPending[0]:
			s.Acceptor.Pending = new(consensus.Proposal)
			err = decoding.Unmarshal(b, s.Acceptor.Pending)
		case keyMembers[0]:
			err = decoding.Unmarshal(b, &s.Members)
		case keyItem:
			var i configuration.Item
			err = decoding.Unmarshal(b, &i)
			s.Items = append(s.Items, i)
		case keyStage[0]:
			s.Stage = new(StageProgress)
			err = decoding.Unmarshal(b, s.Stage)
		case keyStaged:
			var i configuration.Item
			err = decoding.Unmarshal(b, &i)
			s.StagedItems = append(s.StagedItems, i)
		case keyInstance:
			var l registry.Instance
			err = decoding.Unmarshal(b, &l)
			s.Instances = append(s.Instances, l)
		default:
			err = errors.New("unknown key")
		}
		if err != nil {
			return s, errors.Wrapf(err, "key %q", k)
		}
	}
	s.Empty = !s.Acceptor.Electorate.Known()
	return s, it.Error()
}

// Put has a batch written behind all that was put before, and gives a ticket for its sync. It does not wait.
func (v *Store) Put(b Batch) *Future {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.open
	if v.closed {
		return t
	}
	if b.Acceptor != nil {
		a := *b.Acceptor
		b.Acceptor = &a
	}
	t.batches = append(t.batches, b)
	t.sync = t.sync || !b.NoSync
	select {
	case v.wake <- struct{}{}:
	default:
	}
	return t
}

// Save is Put and Wait.
func (v *Store) Save(ctx context.Context, b Batch) error { return v.Put(b).Wait(ctx) }

// Stalled tells whether the disk has been at one commit for longer than that.
func (v *Store) Stalled(than time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.began.IsZero() && time.Since(v.began) > than
}

// write is the goroutine that writes.
func (v *Store) write() {
	defer close(v.done)
	for {
		v.mu.Lock()
		t, closed := v.open, v.closed
		some := len(t.batches) > 0
		v.began = time.Time{}
		if some {
			v.open, v.began = newTicket(), time.Now()
		}
		v.mu.Unlock()
		if !some {
			if closed {
				t.err = ErrClosed
				close(t.done)
				return
			}
			<-v.wake
			continue
		}
		if t.err = v.commit(t); t.err != nil {
			v.log.Log("msg", "a batch was not saved", "err", t.err)
		}
		t.batches = nil
		close(t.done)
	}
}

func (v *Store) commit(t *Future) error {
	to := v.db.NewBatch()
	set := func(key []byte, value any) error {
		b, err := cbor.Marshal(value)
		if err != nil {
			return err
		}
		return to.Set(key, b, nil)
	}
	for _, b := range t.batches {
		if err := v.add(to, set, b); err != nil {
			return errors.CombineErrors(err, to.Close())
		}
	}
	if err := v.db.Apply(to, &pebble.WriteOptions{Sync: t.sync}); err != nil {
		return err
	}
	return to.Close()
}

func (v *Store) add(to *pebble.Batch, set func([]byte, any) error, b Batch) error {
	var errs error
	note := func(err error) { errs = errors.CombineErrors(errs, err) }
	if a := b.Acceptor; a != nil {
		if !v.versioned {
			note(set(keyVersion, version))
			v.versioned = true
		}
		note(set(keyAcceptor, a))
		// A first configuration may be megabytes: it is not written again with each promise.
		switch {
		case a.Pending == nil && v.pending != nil:
			note(to.Delete(keyPending, nil))
		case a.Pending != v.pending:
			note(set(keyPending, a.Pending))
		}
		v.pending = a.Pending
	}
	for _, i := range b.Items {
		note(set(itemKey(keyItem, i.Key), i))
	}
	if b.ClearStage {
		note(to.Delete(keyStage, nil))
		note(to.DeleteRange([]byte{keyStaged}, []byte{keyStaged + 1}, nil))
	}
	if b.Stage != nil {
		note(set(keyStage, b.Stage))
	}
	for _, i := range b.StagedItems {
		note(set(itemKey(keyStaged, i.Key), i))
	}
	for _, l := range b.Instances {
		note(set(instanceKey(l.ID), l))
	}
	if b.Members > 0 {
		note(set(keyMembers, b.Members))
	}
	for _, id := range b.DeleteInstances {
		note(to.Delete(instanceKey(id), nil))
	}
	return errs
}

func itemKey(as byte, k configuration.Key) []byte { return append([]byte{as, byte(k.Kind)}, k.Name...) }
func instanceKey(id string) []byte                { return append([]byte{keyInstance}, id...) }

// Close ends the store, for which it waits two seconds at most. What was put before is written if the disk lets it be.
func (v *Store) Close() error {
	v.mu.Lock()
	if v.closed {
		v.mu.Unlock()
		return nil
	}
	v.closed = true
	v.mu.Unlock()
	close(v.wake)
	closed := make(chan error, 1)
	go func() {
		<-v.done
		closed <- v.db.Close()
	}()
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case err := <-closed:
		return err
	case <-t.C:
		close(v.fs.stop)
		return errors.New("the disk did not let the store close")
	}
}

func (v *Store) trouble(err error) {
	if err != nil {
		v.log.Log("msg", "the disk refuses", "err", err)
	} else {
		v.log.Log("msg", "the disk works again")
	}
}

// pebbleLogger passes on what must be known. What is fatal to the store, after all that steady bears, is a folder that is not as
// it was written: a broken invariant.
type pebbleLogger struct{ log.Logger }

func (pebbleLogger) Infof(string, ...any) {}

func (q pebbleLogger) Errorf(format string, args ...any) {
	q.Log("msg", "store", "err", errors.Newf(format, args...))
}

func (q pebbleLogger) Fatalf(format string, args ...any) { panic(errors.Newf(format, args...)) }
