package storage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/logging/logtest"
)

func folderSize(is *is.I, fs vfs.FS) (bytes int64, files int) {
	is.Helper()
	all, err := fs.List("d")
	is.NoErr(err)
	for _, name := range all {
		s, err := fs.Stat(fs.PathJoin("d", name))
		if err != nil {
			continue // the file was removed in the meantime
		}
		bytes += s.Size()
		files++
	}
	return bytes, files
}

// sizeWorkload generates random changes of a hundred items, with instances of servers that are added and deleted.
type sizeWorkload struct {
	rnd          *rand.Rand
	body         []byte
	encodedBytes map[configuration.Key]int // encoded sizes of the current items
	instances    uint64                    // number of instances added so far
}

// The size of the workload.
const (
	workloadKeys         = 2000 // different keys of items
	workloadItems        = 100  // items of a change
	workloadInstances    = 300  // instances that exist at a time
	workloadNewInstances = 20   // instances that a change adds
	instanceBytes        = 100  // approximate size of an instance's record, bytes
)

// change returns the change that makes an epoch.
func (sw *sizeWorkload) change(is *is.I, epoch uint64) Batch {
	is.Helper()
	electorate := consensus.InitialElectorate([]string{"x", "y", "z"})
	b := Batch{Acceptor: &consensus.Acceptor{Epoch: epoch, Electorate: electorate}, NoSync: true}
	for range workloadItems {
		key := configuration.Key{Kind: configuration.Tenants, Name: fmt.Sprint("tenant-", sw.rnd.IntN(workloadKeys))}
		item := configuration.Item{Key: key, Version: epoch, Epoch: epoch}
		if item.Deleted = sw.rnd.IntN(10) == 0; !item.Deleted {
			item.Body = sw.body
		}
		encoded, err := cbor.Marshal(item)
		is.NoErr(err)
		sw.encodedBytes[key] = len(encoded) + len(itemKey(prefixItem, key))
		b.Items = append(b.Items, item)
	}
	for range workloadNewInstances {
		sw.instances++
		b.Instances = append(b.Instances, registry.Instance{
			ID:      fmt.Sprintf("server-%08d", sw.instances),
			Address: "10.0.0.1:80",
			Service: "service",
			Zone:    "zone",
		})
		if sw.instances > workloadInstances {
			b.DeleteInstances = append(b.DeleteInstances, fmt.Sprintf("server-%08d", sw.instances-workloadInstances))
		}
	}
	return b
}

// After thousands of changes, occasional staged catch-ups, and restarts, the size of the folder is at most a small
// multiple of the size of the state, plus some megabytes.
func TestSizeOnDisk(t *testing.T) {
	const restarts, changesPerRestart = 20, 250
	is := is.New(t)
	fs := vfs.NewMem()
	workload := sizeWorkload{
		rnd:          rand.New(rand.NewPCG(1, 9)),
		body:         make([]byte, 300),
		encodedBytes: map[configuration.Key]int{},
	}
	var maxBytes int64
	for restart := range restarts {
		store, state, err := Open(fs, "d", logtest.Discard())
		is.NoErr(err)
		is.Equal(len(state.Items), len(workload.encodedBytes))
		is.Equal(len(state.StagedItems), 0)
		for n := range changesPerRestart {
			epoch := uint64(restart*changesPerRestart + n + 1)
			b := workload.change(is, epoch)
			b.ClearStage = n%50 == 49
			if n%50 == 10 {
				b.Stage, b.StagedItems = &StageProgress{LastEpoch: epoch}, b.Items
			}
			future := store.Put(b)
			if n%10 == 0 {
				is.NoErr(store.Save(context.Background(), Batch{IngressCount: 1}))
				<-future.Done()
				bytes, _ := folderSize(is, fs)
				maxBytes = max(maxBytes, bytes)
			}
		}
		is.NoErr(store.Close())
	}
	stateBytes := int64(workloadInstances * instanceBytes)
	for _, n := range workload.encodedBytes {
		stateBytes += int64(n)
	}
	bytes, files := folderSize(is, fs)
	t.Logf("%d bytes of state; folder: %d bytes in %d files at the end, at most %d bytes before",
		stateBytes, bytes, files, maxBytes)
	is.True(maxBytes < 3*stateBytes+4<<20)
	is.True(files < 40)
}

// A deleted item takes little space on disk and in memory, although its name, version and epoch are kept.
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
	var snapshot *configuration.Snapshot // has the item with the history of superseded versions
	for n := range 100 {
		i.Version, i.Epoch = 1<<31+uint64(n), 1<<20+uint64(n)
		snapshot, _ = snapshot.Merge([]configuration.Item{i})
	}
	old, _ := snapshot.Get(i.Key)
	b, err = cbor.Marshal(old)
	is.NoErr(err)
	t.Logf("%d bytes on disk with its history", len(b)+len(itemKey(prefixItem, i.Key)))
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
