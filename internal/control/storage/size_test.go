package storage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
)

func folderSize(is *is.I, fs vfs.FS) (bytes int64, files int) {
	is.Helper()
	all, err := fs.List("d")
	is.NoErr(err)
	for _, name := range all {
		s, err := fs.Stat(fs.PathJoin("d", name))
		if err != nil {
			continue // it has just gone
		}
		bytes += s.Size()
		files++
	}
	return bytes, files
}

// After thousands of changes of a hundred items, with instances of servers that come and go, a transfer that is
// staged now and then, and restarts, the folder holds a small multiple of what stands, and some megabytes beside.
func TestSizeOnDisk(t *testing.T) {
	const changes, each, restarts, names = 5000, 100, 20, 2000
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 9))
	fs := vfs.NewMem()
	live := map[configuration.Key]int{}
	body := make([]byte, 300)
	var most int64
	var seq uint64
	for life := range restarts {
		v, s, err := Open(fs, "d", log.NewNopLogger())
		is.NoErr(err)
		is.Equal(len(s.Items), len(live))
		is.Equal(len(s.StagedItems), 0)
		for k := range changes / restarts {
			epoch := uint64(life*changes/restarts + k + 1)
			b := Batch{
				Acceptor:   &consensus.Acceptor{Epoch: epoch, Electorate: consensus.InitialElectorate([]string{"x", "y", "z"})},
				NoSync:     true,
				ClearStage: k%50 == 49,
			}
			for range each {
				i := configuration.Item{
					Key:     configuration.Key{Kind: configuration.Tenants, Name: fmt.Sprint("tenant-", rnd.IntN(names))},
					Version: epoch,
					Epoch:   epoch,
				}
				if i.Deleted = rnd.IntN(10) == 0; !i.Deleted {
					i.Body = body
				}
				enc, err := cbor.Marshal(i)
				is.NoErr(err)
				live[i.Key] = len(enc) + len(i.Key.Name) + 2
				b.Items = append(b.Items, i)
			}
			if k%50 == 10 {
				b.Stage, b.StagedItems = &StageProgress{LastEpoch: epoch}, b.Items
			}
			for range 20 { // of 300 servers that stand, 20 go with each change
				seq++
				b.Instances = append(b.Instances, registry.Instance{
					ID:      fmt.Sprintf("server-%08d", seq),
					Address: "10.0.0.1:80",
					Service: "service",
					Zone:    "zone",
				})
				if seq > 300 {
					b.DeleteInstances = append(b.DeleteInstances, fmt.Sprintf("server-%08d", seq-300))
				}
			}
			t := v.Put(b)
			if k%10 == 0 {
				is.NoErr(v.Save(context.Background(), Batch{Members: 1}))
				<-t.Done()
				bytes, _ := folderSize(is, fs)
				most = max(most, bytes)
			}
		}
		is.NoErr(v.Close())
	}
	stands := int64(300 * 100)
	for _, n := range live {
		stands += int64(n)
	}
	bytes, files := folderSize(is, fs)
	t.Logf("%d bytes stand; the folder holds %d in %d files at the end, %d at most on the way", stands, bytes, files, most)
	is.True(most < 3*stands+4<<20)
	is.True(files < 40)
}

// What an item costs that was dropped: its name, its version and its epoch stay.
func TestTombstoneSize(t *testing.T) {
	is := is.New(t)
	i := configuration.Item{
		Key:     configuration.Key{Kind: configuration.Routes, Name: "route-12345"},
		Version: 1 << 31,
		Deleted: true,
		Epoch:   1 << 20,
	}
	b, err := cbor.Marshal(i)
	is.NoErr(err)
	all := len(b) + len(itemKey(prefixItem, i.Key))
	t.Logf("%d bytes on disk", all)
	is.True(all <= 64)
	var book *configuration.Snapshot // and with all that it overtook
	for n := range 100 {
		i.Version, i.Epoch = 1<<31+uint64(n), 1<<20+uint64(n)
		book, _ = book.Merge([]configuration.Item{i})
	}
	old, _ := book.Get(i.Key)
	b, err = cbor.Marshal(old)
	is.NoErr(err)
	t.Logf("%d bytes on disk with the past that is kept", len(b)+len(itemKey(prefixItem, i.Key)))
	is.True(len(b) <= 400)

	const many = 50_000
	var before, after runtime.MemStats
	store := replication.NewStore(1)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range many {
		i.Key.Name = fmt.Sprint("route-", n)
		store.MergeItems([]configuration.Item{i})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	is.Equal(store.Snapshot().Len(), many)
	each := int(after.HeapAlloc-before.HeapAlloc) / many
	t.Logf("%d bytes in memory", each)
	is.True(each <= 1024)
}
