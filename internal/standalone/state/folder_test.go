package state

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/standalone/vfs"
)

type content struct {
	Name string
	Part float64
}

// TestFolder checks that a process finds and reads the files of the ingress's other processes, but neither lists its
// own nor those of another ingress in the same folder, and that a removed file is missing afterwards.
func TestFolder(t *testing.T) {
	dir := t.TempDir()
	writer := Open(dir, "n1 10.0.0.4:80", 7)
	reader := Open(dir, "n1 10.0.0.4:80", 8)
	other := Open(dir, "n2 10.0.0.4:80", 9)
	want := content{"a\nb", 0.5}
	for range 2 { // the second write replaces the first
		if err := writer.Write("record", want); err != nil {
			t.Fatal(err)
		}
	}
	if err := other.Write("record", want); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name   string
		folder *Folder
		want   []int64
	}{
		{"the writer itself", writer, nil},
		{"another process of the ingress", reader, []int64{7}},
		{"a process of another ingress", other, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := tc.folder.Processes("record")
			if diff := cmp.Diff(tc.want, got); diff != "" || err != nil {
				t.Errorf("error %v (-want +got):\n%s", err, diff)
			}
		})
	}
	var got content
	if err := reader.Read("record", 7, &got); err != nil || got != want {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
	if err := reader.Remove("record", 7); err != nil {
		t.Error(err)
	}
	if err := reader.Read("record", 7, &got); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("after Remove: got %v, want %v", err, fs.ErrNotExist)
	}
	if err := Open(filepath.Join(dir, "none"), "n1", 1).Write("record", want); err == nil {
		t.Error("a write to a folder that doesn't exist: got no error")
	}
}

// TestDamagedFiles checks that a file is not read if it is truncated at any byte, has any byte changed, or is of
// another version or ingress.
func TestDamagedFiles(t *testing.T) {
	f := Open(t.TempDir(), "n1", 7)
	if err := f.Write("record", content{"name", 0.25}); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(f.path("record", 7))
	if err != nil {
		t.Fatal(err)
	}
	var got content
	if err := decode(file, f.ingress, &got); err != nil {
		t.Fatal(err)
	}
	for i := range file {
		if err := decode(file[:i], f.ingress, &got); !errors.Is(err, ErrDamaged) {
			t.Errorf("truncated at byte %d: got %v, want %v", i, err, ErrDamaged)
		}
		changed := bytes.Clone(file)
		changed[i] ^= 1
		if err := decode(changed, f.ingress, &got); err == nil {
			t.Errorf("byte %d changed: got no error", i)
		}
	}
	otherVersion := append([]byte(magic+" 2"), file[len(magic)+2:]...)
	if err := decode(otherVersion, f.ingress, &got); !errors.Is(err, ErrVersion) {
		t.Errorf("other version: got %v, want %v", err, ErrVersion)
	}
	if err := decode(file, `"n2"`, &got); !errors.Is(err, ErrOtherIngress) {
		t.Errorf("other ingress: got %v, want %v", err, ErrOtherIngress)
	}
}

// TestFailingDisk makes writes, syncs and renames fail, partially or completely. A reader must find the old content or,
// if a rename is reported as failed after it took effect, the new one. No other file may be left in the folder.
func TestFailingDisk(t *testing.T) {
	for _, op := range []vfs.Op{vfs.Write, vfs.Sync, vfs.Rename} {
		for _, torn := range []bool{false, true} {
			for _, injected := range []error{syscall.ENOSPC, syscall.EIO} {
				t.Run(fmt.Sprintf("%s, torn %v, %v", op, torn, injected), func(t *testing.T) {
					testFailingDisk(t, op, torn, injected)
				})
			}
		}
	}
}

func testFailingDisk(t *testing.T, op vfs.Op, torn bool, injected error) {
	dir := t.TempDir()
	faulty := &vfs.Faulty{FS: vfs.OS{}}
	f := Open(dir, "a", 0)
	f.FS = faulty
	if err := f.Write("x", []int{1}); err != nil {
		t.Fatal(err)
	}
	faulty.FailFrom(op, 2, injected, torn)
	if err := f.Write("x", []int{2, 3}); !errors.Is(err, injected) {
		t.Errorf("write: got %v, want %v", err, injected)
	}
	var got []int
	renamed := op == vfs.Rename && torn
	if err := f.Read("x", 0, &got); err != nil || len(got) != 1 && !renamed {
		t.Errorf("read after the fault: got %v, %v; want the old content", got, err)
	}
	faulty.FailFrom(op, 0, nil, false)
	if err := f.Write("x", []int{4, 5, 6}); err != nil {
		t.Error(err)
	}
	if err := f.Read("x", 0, &got); err != nil || len(got) != 3 {
		t.Errorf("read without a fault: got %v, %v; want the new content", got, err)
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) != 1 {
		t.Errorf("got %v, %v in the folder, want one file", left, err)
	}
}
