package storage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
)

// Whatever was acknowledged is there after a loss of power, and what was put later is there as a run of whole batches
// from the front.
func TestPowerLoss(t *testing.T) {
	for seed := range uint64(6) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		fs := vfs.NewCrashableMem()
		want := []Batch{}
		for range 4 {
			is := is.New(t)
			v, s, err := Open(fs, "d", log.NewNopLogger())
			is.NoErr(err)
			is.Equal(s.Empty, len(want) == 0)
			n := countBatches(is, s, want)
			want = want[:n]
			sure := n
			for range 1 + rnd.IntN(60) {
				b := randomBatch(rnd, len(want)+1)
				want = append(want, b)
				if ticket := v.Put(b); !b.NoSync && rnd.IntN(3) == 0 {
					is.NoErr(ticket.Wait(t.Context()))
					sure = len(want)
				}
			}
			crash := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rnd.IntN(2) * 50, RNG: rnd})
			is.NoErr(v.Close())
			fs = crash
			v, s, err = Open(fs, "d", log.NewNopLogger())
			is.NoErr(err)
			n = countBatches(is, s, want)
			if n < sure {
				t.Fatalf("seed %d: %d batches of %d that were acknowledged", seed, n, sure)
			}
			want = want[:n]
			is.NoErr(v.Close())
		}
	}
}

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

// countBatches finds how many of the batches make the state.
func countBatches(is *is.I, s State, want []Batch) int {
	is.Helper()
	n := int(s.Acceptor.Epoch)
	is.True(n <= len(want))
	items, kept := map[string]uint64{}, map[string]uint64{}
	for _, b := range want[:n] {
		for _, i := range b.Items {
			items[i.Key.Name] = i.Version
		}
		for _, l := range b.Instances {
			kept[l.ID] = l.Seq
		}
		for _, id := range b.DeleteInstances {
			delete(kept, id)
		}
	}
	is.Equal(len(s.Items), len(items))
	for _, i := range s.Items {
		is.Equal(items[i.Key.Name], i.Version)
	}
	is.Equal(len(s.Instances), len(kept))
	for _, l := range s.Instances {
		is.Equal(kept[l.ID], l.Seq)
	}
	is.Equal(s.Empty, n == 0)
	if n > 0 {
		is.Equal(s.Acceptor.Electorate, want[n-1].Acceptor.Electorate)
		is.Equal(s.Acceptor.Pending, want[n-1].Acceptor.Pending)
	}
	return n
}

// rejectingFS refuses writes and syncs while it is told to.
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

// A disk that refuses fails those who wait, and takes all of it once it works again.
func TestRejectingDisk(t *testing.T) {
	is := is.New(t)
	mem := vfs.NewCrashableMem()
	fs := &rejectingFS{FS: mem, rejected: make(chan struct{}, 1)}
	v, _, err := open(fs, "d", log.NewNopLogger(), time.Microsecond)
	is.NoErr(err)
	rnd := rand.New(rand.NewPCG(1, 1))
	all := []Batch{randomBatch(rnd, 1)}
	is.NoErr(v.Save(t.Context(), all[0]))
	fs.rejecting.Store(true)
	late, cancel := context.WithCancel(t.Context())
	for n := 2; n < 6; n++ {
		all = append(all, randomBatch(rnd, n))
	}
	all[len(all)-1].NoSync = false
	var last *Future
	for _, b := range all[1:] {
		last = v.Put(b)
	}
	<-fs.rejected
	cancel()
	is.True(last.Wait(late) != nil)
	fs.rejecting.Store(false)
	is.NoErr(last.Wait(t.Context()))
	crash := mem.CrashClone(vfs.CrashCloneCfg{})
	is.NoErr(v.Close())
	is.True(v.Save(t.Context(), all[0]) != nil)
	v, s, err := Open(crash, "d", log.NewNopLogger())
	is.NoErr(err)
	is.Equal(countBatches(is, s, all), len(all))
	is.NoErr(v.Close())
}

// A folder of version 2, whose voters never changed, is that of the first electorate.
func TestOlderFormatVersion(t *testing.T) {
	is := is.New(t)
	fs := vfs.NewCrashableMem()
	v, _, err := Open(fs, "d", log.NewNopLogger())
	is.NoErr(err)
	set := func(key []byte, value any) {
		b, err := cbor.Marshal(value)
		is.NoErr(err)
		is.NoErr(v.db.Set(key, b, pebble.Sync))
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
	is.NoErr(v.Close())
	want := consensus.Acceptor{
		Promised:   promised,
		Epoch:      3,
		Electorate: consensus.InitialElectorate([]string{"x", "y", "z"}),
		Pending:    &pending,
	}
	for range 2 { // as it was left, and as this version leaves it
		v, s, err := Open(fs, "d", log.NewNopLogger())
		is.NoErr(err)
		is.True(!s.Empty)
		is.Equal(s.Acceptor, want)
		is.NoErr(v.Save(t.Context(), Batch{Acceptor: &s.Acceptor}))
		is.NoErr(v.Close())
	}
	v, _, err = Open(fs, "d", log.NewNopLogger())
	is.NoErr(err)
	b, closer, err := v.db.Get(keyVersion)
	is.NoErr(err)
	var n int
	is.NoErr(cbor.Unmarshal(b, &n))
	is.Equal(n, formatVersion)
	is.NoErr(closer.Close())
	set(keyVersion, formatVersion+1)
	is.NoErr(v.Close())
	_, _, err = Open(fs, "d", log.NewNopLogger())
	is.True(err != nil)
}
