package faulttest

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/fstest"
)

// renamingFS is a file system in which the file temporary does not exist when it is opened, for a number of times, as
// if it had been renamed after it was listed.
type renamingFS struct {
	fstest.MapFS
	renames int
}

func (rf *renamingFS) Open(name string) (fs.File, error) {
	if name == "temporary" && rf.renames > 0 {
		rf.renames--
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return rf.MapFS.Open(name)
}

// A copy starts again if a file is renamed during it, and fails after maxCopies attempts.
func TestCopyOfChangingFolder(t *testing.T) {
	for _, test := range []struct {
		name    string
		renames int
		want    error
	}{
		{"renamed twice", 2, nil},
		{"renamed each time", maxCopies, fs.ErrNotExist},
	} {
		t.Run(test.name, func(t *testing.T) {
			files := fstest.MapFS{"temporary": {Data: []byte("text")}, "other": {}}
			to := filepath.Join(t.TempDir(), "copy")
			err := copyFS(to, &renamingFS{files, test.renames})
			if !errors.Is(err, test.want) {
				t.Fatalf("got error %v, want %v", err, test.want)
			}
			text, err := os.ReadFile(filepath.Join(to, "temporary"))
			if test.want == nil && string(text) != "text" {
				t.Errorf("got copy %q, error %v; want %q", text, err, "text")
			}
		})
	}
}

// A member listens at its addresses only some time after they are chosen. Meanwhile relays open connections from the
// same IP address, for which the kernel chooses ephemeral ports. So no port of a member may be ephemeral. A member
// whose gossip port was taken never joined the fleet.
func TestFreeAddrsAreNotEphemeral(t *testing.T) {
	const draws = 100
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	var firstEphemeral uint16
	if _, err := fmt.Sscan(string(text), &firstEphemeral); err != nil {
		t.Fatal(err)
	}
	for range draws {
		client, gossip, err := freeAddrs("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		if client == gossip {
			t.Fatalf("got the same address %s for clients and gossip", client)
		}
		for _, addr := range []string{client, gossip} {
			if port := netip.MustParseAddrPort(addr).Port(); port >= firstEphemeral {
				t.Fatalf("got port %d, want one below %d", port, firstEphemeral)
			}
		}
	}
}
