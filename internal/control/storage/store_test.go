package storage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/logging/logtest"
)

// After a power loss, all acknowledged batches are there, and of the later ones a prefix of complete batches.
func TestPowerLoss(t *testing.T) {
	for seed := range uint64(6) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		fs := vfs.NewCrashableMem()
		want := []Batch{}
		for range 4 {
			is := is.New(t)
			store, state, err := Open(fs, "d", logtest.Discard())
			is.NoErr(err)
			is.Equal(state.Empty, len(want) == 0)
			n := countBatches(is, state, want)
			want = want[:n]
			acknowledged := n
			for range 1 + rnd.IntN(60) {
				b := randomBatch(rnd, len(want)+1)
				want = append(want, b)
				if future := store.Put(b); !b.NoSync && rnd.IntN(3) == 0 {
					is.NoErr(future.Wait(t.Context()))
					acknowledged = len(want)
				}
			}
			crash := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rnd.IntN(2) * 50, RNG: rnd})
			is.NoErr(store.Close())
			fs = crash
			store, state, err = Open(fs, "d", logtest.Discard())
			is.NoErr(err)
			n = countBatches(is, state, want)
			if n < acknowledged {
				t.Fatalf("seed %d: got %d batches of %d that were acknowledged", seed, n, acknowledged)
			}
			want = want[:n]
			is.NoErr(store.Close())
		}
	}
}

// randomBatch returns a random batch with number n.
func randomBatch(rnd *rand.Rand, n int) Batch {
	a := &consensus.Acceptor{Promised: consensus.Ballot{Round: uint64(n), Node: "a"}, Epoch: uint64(n)}
	if n%2 == 0 {
		a.Pending = &consensus.Proposal{Epoch: uint64(n) + 1, Items: []configuration.Item{{Version: uint64(n)}}}
	}
	k := rnd.IntN(9)
	b := Batch{
		Acceptor: a,
		NoSync:   rnd.IntN(2) == 0,
		Items: []configuration.Item{
			{
				Key:     configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint(k)},
				Version: uint64(n),
				Body:    make([]byte, rnd.IntN(20000)),
			},
		},
	}
	a.Electorate = consensus.Electorate{
		Since:  uint64(n / 4),
		Voters: []consensus.Voter{{Addr: "x"}, {Addr: fmt.Sprint(n / 4), Disk: 7}},
	}
	if rnd.IntN(2) == 0 {
		b.Instances = []registry.Instance{{ID: fmt.Sprint(k), Seq: uint64(n)}}
	} else {
		b.DeleteInstances = []string{fmt.Sprint(k)}
	}
	return b
}

// countBatches checks that a state is the result of the first n batches for some n, and returns n.
func countBatches(is *is.I, state State, want []Batch) int {
	is.Helper()
	n := int(state.Acceptor.Epoch)
	is.True(n <= len(want))
	items, instances := map[string]uint64{}, map[string]uint64{}
	for _, b := range want[:n] {
		for _, item := range b.Items {
			items[item.Key.Name] = item.Version
		}
		for _, instance := range b.Instances {
			instances[instance.ID] = instance.Seq
		}
		for _, id := range b.DeleteInstances {
			delete(instances, id)
		}
	}
	is.Equal(len(state.Items), len(items))
	for _, item := range state.Items {
		is.Equal(items[item.Key.Name], item.Version)
	}
	is.Equal(len(state.Instances), len(instances))
	for _, instance := range state.Instances {
		is.Equal(instances[instance.ID], instance.Seq)
	}
	is.Equal(state.Empty, n == 0)
	if n > 0 {
		is.Equal(state.Acceptor.Electorate, want[n-1].Acceptor.Electorate)
		is.Equal(state.Acceptor.Pending, want[n-1].Acceptor.Pending)
	}
	return n
}

// rejectingFS rejects writes and syncs while rejecting is set. A rejected write writes half of its bytes.
type rejectingFS struct {
	vfs.FS
	rejecting atomic.Bool
	rejected  chan struct{}
}

type rejectingFile struct {
	vfs.File
	fs *rejectingFS
}

func (r *rejectingFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := r.FS.Create(name, c)
	return rejectingFile{f, r}, err
}

func (f rejectingFile) check() error {
	if !f.fs.rejecting.Load() {
		return nil
	}
	select {
	case f.fs.rejected <- struct{}{}:
	default:
	}
	return syscall.EIO
}

func (f rejectingFile) Sync() error {
	if err := f.check(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f rejectingFile) SyncData() error { return f.Sync() }

func (f rejectingFile) Write(b []byte) (int, error) {
	if err := f.check(); err != nil && f.fs.rejecting.Load() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

// Guards against a batch that is put after Close has begun, is not written, and is reported as committed together with
// earlier batches that are still queued.
func TestPutAfterClose(t *testing.T) {
	is := is.New(t)
	mem := vfs.NewCrashableMem()
	fs := &rejectingFS{FS: mem, rejected: make(chan struct{}, 1)}
	store, _, err := open(fs, "d", logtest.Discard(), time.Microsecond)
	is.NoErr(err)
	rnd := rand.New(rand.NewPCG(1, 1))
	all := []Batch{randomBatch(rnd, 1), randomBatch(rnd, 2), randomBatch(rnd, 3)}
	for n := range all {
		all[n].NoSync = false
	}
	fs.rejecting.Store(true)
	writing := store.Put(all[0])
	<-fs.rejected
	queued := store.Put(all[1])
	closed := make(chan error, 1)
	go func() { closed <- store.Close() }()
	for isClosed := false; !isClosed; runtime.Gosched() {
		store.mu.Lock()
		isClosed = store.closed
		store.mu.Unlock()
	}
	late := store.Put(all[2])
	fs.rejecting.Store(false)
	is.True(errors.Is(late.Wait(t.Context()), ErrClosed))
	is.NoErr(writing.Wait(t.Context()))
	is.NoErr(queued.Wait(t.Context()))
	is.NoErr(<-closed)
	store, state, err := Open(mem, "d", logtest.Discard())
	is.NoErr(err)
	is.Equal(countBatches(is, state, all), 2)
	is.NoErr(store.Close())
}

// While the disk rejects writes, only the callers that wait for them fail. Once it works again, it gets all batches.
func TestRejectingDisk(t *testing.T) {
	is := is.New(t)
	mem := vfs.NewCrashableMem()
	fs := &rejectingFS{FS: mem, rejected: make(chan struct{}, 1)}
	store, _, err := open(fs, "d", logtest.Discard(), time.Microsecond)
	is.NoErr(err)
	rnd := rand.New(rand.NewPCG(1, 1))
	all := []Batch{randomBatch(rnd, 1)}
	is.NoErr(store.Save(t.Context(), all[0]))
	fs.rejecting.Store(true)
	waiting, cancel := context.WithCancel(t.Context())
	for n := 2; n < 6; n++ {
		all = append(all, randomBatch(rnd, n))
	}
	all[len(all)-1].NoSync = false
	var last *Future
	for _, b := range all[1:] {
		last = store.Put(b)
	}
	<-fs.rejected
	cancel()
	is.True(errors.Is(last.Wait(waiting), context.Canceled))
	fs.rejecting.Store(false)
	is.NoErr(last.Wait(t.Context()))
	crash := mem.CrashClone(vfs.CrashCloneCfg{})
	is.NoErr(store.Close())
	is.True(errors.Is(store.Save(t.Context(), all[0]), ErrClosed))
	store, state, err := Open(crash, "d", logtest.Discard())
	is.NoErr(err)
	is.Equal(countBatches(is, state, all), len(all))
	is.NoErr(store.Close())
}

// A folder of format version 2, whose voters never changed, has the initial electorate.
func TestOlderFormatVersion(t *testing.T) {
	is := is.New(t)
	fs := vfs.NewCrashableMem()
	store, _, err := Open(fs, "d", logtest.Discard())
	is.NoErr(err)
	set := func(key []byte, value any) {
		b, err := cbor.Marshal(value)
		is.NoErr(err)
		is.NoErr(store.db.Set(key, b, pebble.Sync))
	}
	promised := consensus.Ballot{Round: 9, Node: "x/1"}
	pending := consensus.Proposal{Ballot: promised, Epoch: 4, Items: []configuration.Item{{Version: 5}}}
	set(keyVersion, 2)
	set(keyVoters, []string{"x", "y", "z"})
	set(keyAcceptor, struct {
		Promised consensus.Ballot `cbor:"1,keyasint"`
		Epoch    uint64           `cbor:"2,keyasint"`
	}{promised, 3})
	set(keyPending, pending)
	is.NoErr(store.Close())
	want := consensus.Acceptor{
		Promised:   promised,
		Epoch:      3,
		Electorate: consensus.InitialElectorate([]string{"x", "y", "z"}),
		Pending:    &pending,
	}
	for range 2 { // opens the folder as version 2 wrote it, then as this version wrote it
		store, state, err := Open(fs, "d", logtest.Discard())
		is.NoErr(err)
		is.True(!state.Empty)
		is.Equal(state.Acceptor, want)
		is.NoErr(store.Save(t.Context(), Batch{Acceptor: &state.Acceptor}))
		is.NoErr(store.Close())
	}
	store, _, err = Open(fs, "d", logtest.Discard())
	is.NoErr(err)
	b, closer, err := store.db.Get(keyVersion)
	is.NoErr(err)
	var n int
	is.NoErr(cbor.Unmarshal(b, &n))
	is.Equal(n, baseVersion) // the folder has no shards
	is.NoErr(closer.Close())
	set(keyVersion, formatVersion+1)
	is.NoErr(store.Close())
	_, _, err = Open(fs, "d", logtest.Discard())
	is.True(errors.Is(err, ErrNewerFormat))
}

// Folders that can't be read are rejected with the error for the cause.
func TestRejectedFolders(t *testing.T) {
	tests := []struct {
		name   string
		damage func(t *testing.T, fs vfs.FS)
		want   error
	}{
		{"no manifest marker", removeManifestMarker, ErrManifestMarkerMissing},
		{"unknown record", addUnknownRecord, ErrUnknownKey},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fs := vfs.NewMem()
			store, _, err := Open(fs, "d", logtest.Discard())
			if err != nil {
				t.Fatal(err)
			}
			if err := store.Save(t.Context(), Batch{IngressCount: 1}); err != nil {
				t.Fatal(err)
			}
			if err := store.Close(); err != nil {
				t.Fatal(err)
			}
			test.damage(t, fs)
			if _, _, err = Open(fs, "d", logtest.Discard()); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func removeManifestMarker(t *testing.T, fs vfs.FS) {
	t.Helper()
	names, err := fs.List("d")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, "marker.manifest.") {
			continue
		}
		if err := fs.Remove(fs.PathJoin("d", name)); err != nil {
			t.Fatal(err)
		}
	}
}

func addUnknownRecord(t *testing.T, fs vfs.FS) {
	t.Helper()
	store, _, err := Open(fs, "d", logtest.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := store.db.Set([]byte("?"), nil, pebble.Sync); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}
