package boltstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/testing/protocmp"

	"mulleinrouter/internal/standalone/fleet/quorum"
)

func entry(index, term uint64) *pb.Entry {
	return &pb.Entry{
		Index: new(index),
		Term:  new(term),
		Type:  pb.EntryNormal.Enum(),
		Data:  fmt.Append(nil, "entry ", index),
	}
}

func snapshot(index uint64) *pb.Snapshot {
	return &pb.Snapshot{
		Data: []byte("all"),
		Metadata: &pb.SnapshotMetadata{
			Index:     new(index),
			Term:      new(uint64(1)),
			ConfState: &pb.ConfState{Voters: []uint64{1, 2}},
		},
	}
}

func hardState(term, commit uint64) *pb.HardState {
	return &pb.HardState{Term: new(term), Commit: new(commit)}
}

func save(t *testing.T, s *Store, b quorum.Batch) {
	t.Helper()
	if err := s.Save(b); err != nil {
		t.Fatal(err)
	}
}

// TestSaveAndOpen checks that Open reads what Save stored, including entries that replace others and a snapshot that
// replaces entries, and that it counts each start.
func TestSaveAndOpen(t *testing.T) {
	s := &Store{Path: filepath.Join(t.TempDir(), "votes")}
	t.Cleanup(func() { s.Close() })
	first, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	if first.ID == 0 || first.Boot != 1 {
		t.Fatalf("got id %d and boot %d, want an id and boot 1", first.ID, first.Boot)
	}

	names := map[uint64]string{1: "a", 2: "b"}
	peers := map[uint64]quorum.PeerProgress{2: {Boot: 7, Index: 3}}
	voted := &pb.HardState{Term: new(uint64(3)), Vote: new(uint64(9)), Commit: new(uint64(4))}
	save(t, s, quorum.Batch{Snapshot: snapshot(1), Replace: true, VoterNames: names, HardState: hardState(1, 1)})
	save(t, s, quorum.Batch{Entries: []*pb.Entry{entry(2, 1), entry(3, 1), entry(4, 1), entry(5, 1)}})
	save(t, s, quorum.Batch{Entries: []*pb.Entry{entry(4, 2)}, HardState: voted, Peers: peers})
	got, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	want := &quorum.Durable{
		ID:         first.ID,
		Boot:       2,
		VoterNames: names,
		HardState:  voted,
		Snapshot:   snapshot(1),
		Entries:    []*pb.Entry{entry(2, 1), entry(3, 1), entry(4, 2)},
		Peers:      peers,
	}
	if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}

	save(t, s, quorum.Batch{Snapshot: snapshot(9), Replace: true, HardState: hardState(4, 9)})
	if got, err = s.Open(); err != nil {
		t.Fatal(err)
	}
	if index := got.Snapshot.GetMetadata().GetIndex(); len(got.Entries) != 0 || index != 9 {
		t.Errorf("got %d entries after a snapshot at %d, want none after 9", len(got.Entries), index)
	}
}

// TestCorruptFile truncates a file, or changes a byte of it, at many places. Open must read each such file as it was
// written or return an error.
func TestCorruptFile(t *testing.T) {
	const lastEntry, lastTransactions = 29, 1
	dir := t.TempDir()
	s := &Store{Path: filepath.Join(dir, "votes")}
	if _, err := s.Open(); err != nil {
		t.Fatal(err)
	}
	names := map[uint64]string{1: "a"}
	save(t, s, quorum.Batch{Snapshot: snapshot(1), Replace: true, VoterNames: names, HardState: hardState(1, 1)})
	for i := uint64(2); i <= lastEntry; i++ {
		save(t, s, quorum.Batch{Entries: []*pb.Entry{entry(i, 1)}})
	}
	s.Close()
	complete, err := os.ReadFile(s.Path)
	if err != nil {
		t.Fatal(err)
	}
	opened, rejected := 0, 0
	for n, at := 0, 0; at < len(complete); n, at = n+1, at+97 {
		corrupt := append([]byte{}, complete...)
		if n%2 == 0 {
			corrupt = corrupt[:at]
		} else {
			corrupt[at] ^= 0x55
		}
		d, err := openBytes(t, filepath.Join(dir, fmt.Sprint("corrupt", n)), corrupt)
		if err != nil {
			rejected++
			continue
		}
		if opened++; len(corrupt) == 0 {
			continue // an empty file counts as new: it gets another id and holds no vote
		}
		for i, e := range d.Entries {
			if diff := cmp.Diff(entry(uint64(i+2), 1), e, protocmp.Transform()); diff != "" {
				t.Fatalf("corrupt at %d, entry (-want +got):\n%s", at, diff)
			}
		}
		// If the meta page of the last transaction is corrupt, bbolt uses the transaction before. The entries that were
		// acknowledged last are then missing, which the voter detects by the progress that the others have seen.
		if want := lastEntry - 1 - lastTransactions; len(d.Entries) < want {
			t.Errorf("corrupt at %d: got %d entries, want at least %d", at, len(d.Entries), want)
		}
	}
	if opened == 0 || rejected == 0 {
		t.Errorf("%d files were opened and %d rejected: the test shows nothing", opened, rejected)
	}
	t.Logf("%d opened, %d rejected", opened, rejected)
}

// openBytes opens a file with the given content, and removes it afterwards.
func openBytes(t *testing.T, path string, content []byte) (*quorum.Durable, error) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	defer os.Remove(path)
	s := &Store{Path: path}
	defer s.Close()
	return s.Open()
}

// TestOpenWithoutFolder checks that a missing folder is an error, but is not reported as a full disk.
func TestOpenWithoutFolder(t *testing.T) {
	s := &Store{Path: filepath.Join(t.TempDir(), "none", "votes")}
	if _, err := s.Open(); err == nil || errors.Is(err, quorum.ErrNoSpace) {
		t.Errorf("got error %v, want one that is not %v", err, quorum.ErrNoSpace)
	}
}
