package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/logging/logtest"
)

// goldenDir holds folders that version 76a3bb5 wrote, and lists of their records that this version made.
const goldenDir = "testdata/landed-76a3bb5"

// goldenStep is one batch of the recorded history. The dump after it is recorded under the name.
type goldenStep struct {
	name  string
	batch Batch
}

// Values in the recorded history.
var (
	goldenFirst  = consensus.InitialElectorate([]string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"})
	goldenSecond = consensus.Electorate{Since: 2, Voters: []consensus.Voter{
		{Addr: "10.0.0.1:7000"}, {Addr: "10.0.0.2:7000", Disk: 1<<63 + 5}, {Addr: "10.0.0.4:7000", Disk: 77},
	}}
	goldenRoute = configuration.Item{
		Key: configuration.Key{Kind: configuration.Routes, Name: "route-1"}, Version: 0x10,
		Body: []byte(`{"authority":"api.example","pathPrefix":"/v1/","deadlineMs":1500,` +
			`"routeKind":"idempotent","backend":"s"}`),
		Epoch: 1,
	}
	goldenTenant = configuration.Item{
		Key:     configuration.Key{Kind: configuration.Tenants, Name: "tenant ü"},
		Version: 1<<32 - 1,
		Deleted: true,
		Epoch:   2,
	}
	goldenHistory = configuration.History{{Version: 0x10, Digest: 1<<64 - 1}, {Version: 3, Digest: 4}}
	goldenChanged = configuration.Item{
		Key: goldenRoute.Key, Version: 0x11, Body: goldenRoute.Body, Epoch: 2, History: &goldenHistory,
	}
	goldenLimits = configuration.Item{
		Key:     configuration.Key{Kind: configuration.Limits},
		Version: 1,
		Body:    []byte(`{"maxBodyBytes":1048576}`),
		Epoch:   2,
	}
	goldenBallot   = consensus.Ballot{Round: 300, Node: "10.0.0.1:7000/17"}
	goldenProposal = consensus.Proposal{
		Ballot: goldenBallot, Epoch: 1, Items: []configuration.Item{goldenRoute},
	}
	goldenElectorateChange = consensus.Proposal{
		Ballot: consensus.Ballot{Round: 301, Node: "10.0.0.2:7000/18"}, Epoch: 2,
		Items: []configuration.Item{goldenChanged, goldenTenant, goldenLimits}, Voters: goldenSecond.Voters,
	}
	goldenPending = consensus.Proposal{
		Ballot: consensus.Ballot{Round: 1 << 40, Node: "10.0.0.4:7000/19"}, Epoch: 3,
		Items: []configuration.Item{
			{
				Key:     configuration.Key{Kind: configuration.Services, Name: "s"},
				Version: 9,
				Body:    []byte(`{"healthPath":"/health"}`),
				Epoch:   3,
			},
		},
	}
	goldenInstances = []registry.Instance{
		{
			ID:             "server-1",
			Service:        "s",
			Address:        "10.1.0.1:80",
			Zone:           "a",
			Generation:     "g1",
			Capacity:       8,
			Phase:          registry.Draining,
			Seq:            7,
			SlowStartUntil: 12.5,
		},
		{ID: "server-2", Service: "s", Address: "10.1.0.2:80", Phase: registry.Gone, Seq: 1 << 33},
		{ID: "server-3"},
	}
)

// goldenSteps returns the history that version 76a3bb5 wrote. It has a first start, a promise, an accepted change, a
// chosen change with a new electorate, instances, a count of ingresses, a staged catch-up, its end, and an accepted
// change that is not known to be chosen.
func goldenSteps() []goldenStep {
	return append(goldenChanges(), goldenOtherState()...)
}

func goldenChanges() []goldenStep {
	return []goldenStep{
		{"first start", Batch{Acceptor: &consensus.Acceptor{Electorate: goldenFirst}}},
		{"promise", Batch{Acceptor: &consensus.Acceptor{Promised: goldenBallot, Electorate: goldenFirst}}},
		{
			"accepted",
			Batch{Acceptor: &consensus.Acceptor{Promised: goldenBallot, Electorate: goldenFirst,
				Pending: &goldenProposal}},
		},
		{
			"accepted again",
			Batch{
				Acceptor: &consensus.Acceptor{Promised: goldenBallot, Electorate: goldenFirst,
					Pending: &goldenProposal},
				NoSync: true,
			},
		},
		{
			"chosen",
			Batch{
				Acceptor: &consensus.Acceptor{Promised: goldenBallot, Epoch: 1, Electorate: goldenFirst},
				Items:    goldenProposal.Items,
			},
		},
		{
			"electorate accepted",
			Batch{
				Acceptor: &consensus.Acceptor{
					Promised:   goldenElectorateChange.Ballot,
					Epoch:      1,
					Electorate: goldenFirst,
					Pending:    &goldenElectorateChange,
				},
			},
		},
		{"electorate chosen", Batch{
			Acceptor: &consensus.Acceptor{
				Promised:   goldenElectorateChange.Ballot,
				Epoch:      2,
				Electorate: goldenSecond,
				Disk:       1<<63 + 5,
			}, Items: goldenElectorateChange.Items,
		}},
	}
}

func goldenOtherState() []goldenStep {
	return []goldenStep{
		{"instances", Batch{Instances: goldenInstances}},
		{"members", Batch{IngressCount: 12, NoSync: true}},
		{"deleted instance", Batch{DeleteInstances: []string{"server-3", "server-4"}}},
		{
			"staged",
			Batch{
				Stage:       &StageProgress{BaseEpoch: 2, FirstEpoch: 3, LastEpoch: 5, NextPosition: 1 << 63},
				StagedItems: []configuration.Item{goldenRoute, goldenTenant},
			},
		},
		{
			"staged more",
			Batch{
				Stage:       &StageProgress{BaseEpoch: 2, FirstEpoch: 3, LastEpoch: 6, NextPosition: 1<<63 + 9},
				StagedItems: []configuration.Item{goldenChanged},
			},
		},
		{"stage cleared", Batch{ClearStage: true, Items: []configuration.Item{goldenChanged}}},
		{
			"staged anew",
			Batch{
				ClearStage:  true,
				Stage:       &StageProgress{BaseEpoch: 2, FirstEpoch: 8, LastEpoch: 8, NextPosition: 4},
				StagedItems: []configuration.Item{goldenLimits},
			},
		},
		{"accepted and not chosen", Batch{
			Acceptor: &consensus.Acceptor{
				Promised:   goldenPending.Ballot,
				Epoch:      2,
				Electorate: goldenSecond,
				Disk:       1<<63 + 5,
				Pending:    &goldenPending,
			},
			Instances: goldenInstances[:1], DeleteInstances: []string{"server-2"}, IngressCount: 13,
		}},
	}
}

// dumpRecords lists the keys and values of a store in hexadecimal, with one record per line.
func dumpRecords(t *testing.T, db *pebble.DB) string {
	t.Helper()
	var out strings.Builder
	it, err := db.NewIter(nil)
	if err != nil {
		t.Fatal(err)
	}
	for it.First(); it.Valid(); it.Next() {
		fmt.Fprintf(&out, "%x = %x\n", it.Key(), it.Value())
	}
	if err := it.Close(); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// openGolden opens a new store in memory.
func openGolden(t *testing.T) *Store {
	t.Helper()
	store, _, err := Open(vfs.NewMem(), "d", logtest.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

// dumpSteps writes the golden history and lists the records after each of its steps.
func dumpSteps(t *testing.T, store *Store) string {
	t.Helper()
	var out strings.Builder
	for _, step := range goldenSteps() {
		if err := store.Save(t.Context(), step.batch); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		fmt.Fprintf(&out, "# %s\n%s", step.name, dumpRecords(t, store.db))
	}
	return out.String()
}

// dumpResaved writes a whole state to a new store and lists its records. The result shows what was read, independently
// of Go's names.
func dumpResaved(t *testing.T, state State) string {
	t.Helper()
	store := openGolden(t)
	everything := Batch{
		Acceptor: &state.Acceptor, Items: state.Items, Instances: state.Instances, IngressCount: state.IngressCount,
		Stage: state.Stage, StagedItems: state.StagedItems,
	}
	if err := store.Save(t.Context(), everything); err != nil {
		t.Fatal(err)
	}
	return dumpRecords(t, store.db)
}

// readGolden returns the content of a recorded file.
func readGolden(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(goldenDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// diffRecords fails at the first line in which a list of records differs from a recorded one.
func diffRecords(t *testing.T, got, want string) {
	t.Helper()
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for n := range min(len(gotLines), len(wantLines)) {
		if gotLines[n] != wantLines[n] {
			t.Fatalf("line %d:\ngot  %s\nwant %s", n+1, gotLines[n], wantLines[n])
		}
	}
	t.Fatalf("%d lines, want %d", len(gotLines), len(wantLines))
}

// Batches result in the same records, byte for byte, as in version 76a3bb5.
func TestGoldenRecords(t *testing.T) {
	diffRecords(t, dumpSteps(t, openGolden(t)), readGolden(t, "records.txt"))
}

// Folders that version 76a3bb5 wrote, or that an earlier version wrote and it could read, are read as by that version.
func TestGoldenFolders(t *testing.T) {
	for _, folder := range []struct {
		name  string
		empty bool
	}{
		{name: "version1"},
		{name: "version2"},
		{name: "version3-closed"},
		{name: "version3-killed"},
		{name: "version3-empty", empty: true},
	} {
		t.Run(folder.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), folder.name)
			if err := os.CopyFS(dir, os.DirFS(filepath.Join(goldenDir, folder.name))); err != nil {
				t.Fatal(err)
			}
			for _, opened := range []string{"as version 76a3bb5 left it", "as this version left it"} {
				store, state, err := Open(nil, dir, logtest.Discard())
				if err != nil {
					t.Fatalf("%s: %v", opened, err)
				}
				if state.Empty != folder.empty {
					t.Errorf("%s: empty: got %v, want %v", opened, state.Empty, folder.empty)
				}
				diffRecords(t, dumpRecords(t, store.db), readGolden(t, folder.name+".records.txt"))
				diffRecords(t, dumpResaved(t, state), readGolden(t, folder.name+".resaved.txt"))
				if err := store.Close(); err != nil {
					t.Fatalf("%s: %v", opened, err)
				}
			}
		})
	}
}
