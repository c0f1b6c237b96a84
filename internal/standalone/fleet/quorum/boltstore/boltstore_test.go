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
	return &pb.Entry{Index: new(index), Term: new(term), Type: pb.EntryNormal.Enum(), Data: fmt.Append(nil, "entry ", index)}
}

func snapshot(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("all"), Metadata: &pb.SnapshotMetadata{Index: new(index), Term: new(uint64(1)), ConfState: &pb.ConfState{Voters: []uint64{1, 2}}}}
}

// What is kept is read again: entries that replace others, a snapshot and what it stands for, and each start is counted.
func TestKept(t *testing.T) {
	s := &Store{Path: filepath.Join(t.TempDir(), "votes")}
	first, err := s.Open()
	if err != nil || first.ID == 0 || first.Boot != 1 {
		t.Fatalf("%+v, %v", first, err)
	}
	hard := &pb.HardState{Term: new(uint64(3)), Vote: new(uint64(9)), Commit: new(uint64(4))}
	for _, b := range []quorum.Batch{
		{Snapshot: snapshot(1), Replace: true, Names: map[uint64]string{1: "a", 2: "b"}, HardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}},
		{Entries: []*pb.Entry{entry(2, 1), entry(3, 1), entry(4, 1), entry(5, 1)}},
		{Entries: []*pb.Entry{entry(4, 2)}, HardState: hard, Peers: map[uint64]quorum.PeerProgress{2: {Boot: 7, Index: 3}}},
	} {
		if err := s.Save(b); err != nil {
			t.Fatal(err)
		}
	}
	got, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	want := &quorum.Durable{ID: first.ID, Boot: 2, Names: map[uint64]string{1: "a", 2: "b"}, HardState: hard, Snapshot: snapshot(1),
		Entries: []*pb.Entry{entry(2, 1), entry(3, 1), entry(4, 2)}, Peers: map[uint64]quorum.PeerProgress{2: {Boot: 7, Index: 3}}}
	if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	if err := s.Save(quorum.Batch{Snapshot: snapshot(9), Replace: true, HardState: &pb.HardState{Term: new(uint64(4)), Commit: new(uint64(9))}}); err != nil {
		t.Fatal(err)
	}
	if got, err = s.Open(); err != nil || len(got.Entries) != 0 || got.Snapshot.GetMetadata().GetIndex() != 9 {
		t.Errorf("%+v, %v", got, err)
	}
	s.Close()
}

// A file that is cut short or changed at any place is read as it was written, or not at all.
func TestTorn(t *testing.T) {
	dir := t.TempDir()
	s := &Store{Path: filepath.Join(dir, "votes")}
	if _, err := s.Open(); err != nil {
		t.Fatal(err)
	}
	s.Save(quorum.Batch{Snapshot: snapshot(1), Replace: true, Names: map[uint64]string{1: "a"}, HardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}})
	for i := uint64(2); i < 30; i++ {
		if err := s.Save(quorum.Batch{Entries: []*pb.Entry{entry(i, 1)}}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	whole, err := os.ReadFile(s.Path)
	if err != nil {
		t.Fatal(err)
	}
	read, refused := 0, 0
	for n, at := 0, 0; at < len(whole); n, at = n+1, at+97 {
		torn := append([]byte{}, whole...)
		if n%2 == 0 {
			torn = torn[:at]
		} else {
			torn[at] ^= 0x55
		}
		path := filepath.Join(dir, fmt.Sprint("torn", n))
		if err := os.WriteFile(path, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		broken := &Store{Path: path}
		d, err := broken.Open()
		broken.Close()
		os.Remove(path)
		if err != nil {
			refused++
			continue
		}
		if read++; len(torn) == 0 {
			continue // an empty file is a new one: it has another id, and no vote
		}
		for i, e := range d.Entries {
			if diff := cmp.Diff(entry(uint64(i+2), 1), e, protocmp.Transform()); diff != "" {
				t.Fatalf("torn at %d: %s", at, diff)
			}
		}
		// One transaction may be taken back with its meta page: what was acknowledged last is then missing, and the others, who
		// saw it, tell.
		if len(d.Entries) < 27 {
			t.Errorf("torn at %d, %d entries are left", at, len(d.Entries))
		}
	}
	if read == 0 || refused == 0 {
		t.Errorf("%d read, %d refused: it shows nothing", read, refused)
	}
	t.Logf("%d read, %d refused", read, refused)
}

// A folder where nothing can be written is full or not to be believed, and says so.
func TestNoFolder(t *testing.T) {
	if _, err := (&Store{Path: filepath.Join(t.TempDir(), "none", "votes")}).Open(); err == nil || errors.Is(err, quorum.ErrNoSpace) {
		t.Error(err)
	}
}
