package boltstore

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/fleet/singleton"
	"mulleinrouter/internal/standalone/goldentest"
	"mulleinrouter/internal/standalone/jsontext"
)

// landedStore returns a store on a copy of the file that a voter of commit 76a3bb5 wrote. It holds a snapshot, entries
// after it, and a hard state.
func landedStore(t *testing.T) *Store {
	t.Helper()
	s := &Store{Path: filepath.Join(t.TempDir(), "votes.db")}
	if err := os.WriteFile(s.Path, goldentest.Read(t, "landed/voter.db.gz"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func readLandedJSON(t *testing.T, name string, into any) {
	t.Helper()
	if err := jsontext.Decode(goldentest.Read(t, "landed/"+name), into); err != nil {
		t.Fatal(err)
	}
}

// hexContent returns all values of a file by bucket and key, in hexadecimal.
func hexContent(t *testing.T, path string) map[string]string {
	t.Helper()
	values := goldentest.BoltContent(t, path)
	for key, value := range values {
		values[key] = fmt.Sprintf("%x", value)
	}
	return values
}

// TestOpenLandedStore checks that a voter that opens the file of the earlier version has the table, term and log that
// the earlier version had.
func TestOpenLandedStore(t *testing.T) {
	var want struct {
		Status struct {
			ID, Boot, Term, Applied uint64
			Voters                  []string
		} `json:"status"`
		Register struct {
			Last   uint64
			Duties map[string]struct {
				Holder singleton.Identity
				Token  uint64
				Seen   uint64
			}
			History []struct {
				Duty  string
				Token uint64
				To    singleton.Identity
				Index uint64
			}
		} `json:"register"`
	}
	readLandedJSON(t, "state.json", &want)
	voter, err := quorum.Open("v", []string{"v"}, landedStore(t), 1<<40)
	if err != nil {
		t.Fatal(err)
	}
	now := 1000.0
	for ; !voter.Status().Leading && now < 1100; now += quorum.TickInterval {
		voter.Tick(now)
	}
	got := voter.Status()
	if got.ID != want.Status.ID || got.Boot != want.Status.Boot+1 || got.Term != want.Status.Term+1 {
		t.Errorf("got id %d, boot %d, term %d, want id %d, boot %d, term %d",
			got.ID, got.Boot, got.Term, want.Status.ID, want.Status.Boot+1, want.Status.Term+1)
	}
	if got.Applied != want.Status.Applied+1 { // the new leader's first entry is one more
		t.Errorf("applied %d entries, want %d", got.Applied, want.Status.Applied+1)
	}
	if diff := cmp.Diff(want.Status.Voters, got.Voters); diff != "" {
		t.Errorf("voters (-want +got):\n%s", diff)
	}
	table := singleton.NewLeaseTable()
	table.LastToken = want.Register.Last
	for name, lease := range want.Register.Duties {
		table.Leases[name] = singleton.Lease{Holder: lease.Holder, Token: lease.Token, RenewedIndex: lease.Seen}
	}
	for _, past := range want.Register.History {
		table.History = append(table.History,
			singleton.Tenure{Role: past.Duty, Token: past.Token, Holder: past.To, Index: past.Index})
	}
	if diff := cmp.Diff(table, voter.Table()); diff != "" {
		t.Errorf("table (-want +got):\n%s", diff)
	}
}

// TestSaveIntoLandedStore checks that Save writes the same values into the earlier version's file, byte by byte, as the
// earlier version did.
func TestSaveIntoLandedStore(t *testing.T) {
	s := landedStore(t)
	d, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	if len(d.Entries) != 8 || d.Boot != 2 {
		t.Errorf("got %d entries and boot %d, want 8 and 2", len(d.Entries), d.Boot)
	}
	err = s.Save(quorum.Batch{
		Snapshot: &pb.Snapshot{Data: []byte("all"), Metadata: &pb.SnapshotMetadata{
			Index: new(uint64(3000)), Term: new(uint64(9)), ConfState: &pb.ConfState{Voters: []uint64{1, 2}}}},
		Replace:    true,
		VoterNames: map[uint64]string{1: "a"},
		HardState:  &pb.HardState{Term: new(uint64(9)), Vote: new(uint64(1)), Commit: new(uint64(3001))},
		Entries:    []*pb.Entry{entry(3001, 9), entry(3002, 9)},
		Peers:      map[uint64]quorum.PeerProgress{2: {Boot: 7, Index: 3000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	var want map[string]string
	readLandedJSON(t, "saved.json", &want)
	if diff := cmp.Diff(want, hexContent(t, s.Path)); diff != "" {
		t.Errorf("saved values (-want +got):\n%s", diff)
	}
}
