package storage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/logging/logtest"
)

// goldenShardsFile lists the records of shards that the first version with shards wrote.
const goldenShardsFile = "testdata/shards-version-4.txt"

// shardSaves returns a history of two shards: their creation, batches with deletions, a vote, and a state that replaces
// all records.
func shardSaves() []ShardSave {
	voters := []consensus.Voter{{Addr: "10.0.0.1:7000"}, {Addr: "10.0.0.2:7000", Disk: 1<<63 + 5}}
	return []ShardSave{
		{Shard: 0, Save: shard.Save{Header: shard.Header{Last: shard.InitialPosition, Voters: voters}}},
		{Shard: 0, Save: shard.Save{
			Header: shard.Header{
				Term: 3, VotedFor: "10.0.0.1:7000", Last: shard.Position{Term: 3, Seq: 2}, Voters: voters,
			},
			Writes: []shard.Write{{Key: "la", Value: []byte{1, 2}}, {Key: "lb", Value: []byte{3}}},
		}},
		{Shard: 1, Save: shard.Save{
			Header: shard.Header{Term: 9, Last: shard.Position{Term: 8, Seq: 1 << 40}, Voters: voters[:1]},
			Writes: []shard.Write{{Key: "old", Value: []byte{1}}},
		}},
		{Shard: 0, Save: shard.Save{
			Header: shard.Header{Term: 4, Last: shard.Position{Term: 3, Seq: 3}, Voters: voters},
			Writes: []shard.Write{{Key: "lb"}, {Key: "c\x00ü", Value: []byte("v")}},
		}},
		{Shard: 1, Save: shard.Save{
			Header: shard.Header{Term: 10, Last: shard.Position{Term: 10, Seq: 2}, Voters: voters},
			Writes: []shard.Write{{Key: "new", Value: []byte{2}}}, Replace: true,
		}},
	}
}

// Shards are written in the format of the first version with shards, and are read back as they were saved.
func TestGoldenShards(t *testing.T) {
	fs := vfs.NewMem()
	store, state, err := Open(fs, "d", logtest.Discard())
	if err != nil || state.Shards != nil {
		t.Fatalf("a new folder: %v, %v", state.Shards, err)
	}
	for _, save := range shardSaves() {
		if err := store.Save(t.Context(), Batch{Shard: &save}); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(filepath.FromSlash(goldenShardsFile))
	if err != nil {
		t.Fatal(err)
	}
	diffRecords(t, dumpRecords(t, store.db), string(want))
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	store, state, err = Open(fs, "d", logtest.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	all := shardSaves()
	for number, records := range map[uint32]map[string][]byte{
		0: {"la": {1, 2}, "c\x00ü": []byte("v")}, 1: {"new": {2}},
	} {
		got := state.Shards[number]
		if fmt.Sprint(got.Header) != fmt.Sprint(all[3+number].Header) {
			t.Errorf("shard %d: got header %+v", number, got.Header)
		}
		if !maps.EqualFunc(got.Records, records, func(a, b []byte) bool { return string(a) == string(b) }) {
			t.Errorf("shard %d: got records %q, want %q", number, got.Records, records)
		}
	}
}

// A folder with shards keeps its version when an acceptor is saved, so that an older program does not open it.
func TestShardsKeepTheirVersion(t *testing.T) {
	fs := vfs.NewMem()
	for _, batch := range []Batch{
		{Acceptor: &consensus.Acceptor{Electorate: goldenFirst}},
		{Shard: &shardSaves()[0]},
		{Acceptor: &consensus.Acceptor{Electorate: goldenFirst, Epoch: 1}},
	} {
		store, _, err := Open(fs, "d", logtest.Discard())
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Save(t.Context(), batch); err != nil {
			t.Fatal(err)
		}
		store.Close()
	}
	store, state, err := Open(fs, "d", logtest.Discard())
	if err != nil || state.version != shardVersion {
		t.Errorf("version %d, %v, want %d", state.version, err, shardVersion)
	}
	store.Close()
}

// After a power loss a shard has the state after one of its saves, which is not older than the last synced save, or no
// state if no save was synced.
func TestShardsSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		fs := vfs.NewCrashableMem()
		synced := uint64(0)
		for range 6 {
			store, state, err := Open(fs, "d", logtest.Discard())
			if err != nil {
				t.Fatal(err)
			}
			got := state.Shards[2]
			if got.Last.Seq < synced || got.Last.Seq > 0 && len(got.Records) != 1 {
				t.Fatalf("seed %d: got position %+v with %q, synced up to %d", seed, got.Last, got.Records, synced)
			}
			if got.Last.Seq > 0 && string(got.Records["k"]) != fmt.Sprint(got.Last.Seq) {
				t.Fatalf("seed %d: got %q at batch %d", seed, got.Records["k"], got.Last.Seq)
			}
			for seq := got.Last.Seq + 1; rnd.IntN(6) > 0; seq++ {
				future := store.Put(Batch{Shard: &ShardSave{Shard: 2, Save: shard.Save{
					Header:  shard.Header{Last: shard.Position{Seq: seq}},
					Writes:  []shard.Write{{Key: "k", Value: fmt.Append(nil, seq)}},
					Replace: rnd.IntN(2) == 0,
				}}})
				if rnd.IntN(2) == 0 {
					if err := future.Wait(t.Context()); err != nil {
						t.Fatal(err)
					}
					synced = seq
				}
			}
			crashed := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 50, RNG: rnd})
			store.Close()
			fs = crashed
		}
	}
}
