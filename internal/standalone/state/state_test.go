package state

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/standalone/vfs"
)

type content struct {
	Name string
	Part float64
}

func TestFolder(t *testing.T) {
	dir := t.TempDir()
	f, g, other := Open(dir, "n1 10.0.0.4:80", 7), Open(dir, "n1 10.0.0.4:80", 8), Open(dir, "n2 10.0.0.4:80", 9)
	want := content{"a\nb", 0.5}
	for range 2 { // the second replaces the first
		if err := f.Write("record", want); err != nil {
			t.Fatal(err)
		}
	}
	if err := other.Write("record", want); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		folder *Folder
		want   []int64
	}{{f, nil}, {g, []int64{7}}, {other, nil}} {
		got, err := tc.folder.Processes("record")
		if diff := cmp.Diff(tc.want, got); diff != "" || err != nil {
			t.Errorf("%d: %s, %v", tc.folder.process, diff, err)
		}
	}
	var got content
	if err := g.Read("record", 7, &got); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	if err := g.Remove("record", 7); err != nil {
		t.Error(err)
	}
	if err := g.Read("record", 7, &got); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("removed, it reads %v", err)
	}
	if err := Open(dir+"/none", "n1", 1).Write("record", want); err == nil {
		t.Error("written to a folder that is not there")
	}
}

// A file is read whole or not at all: cut off at any byte, with any byte changed, of another version or another ingress.
func TestDamage(t *testing.T) {
	f := Open(t.TempDir(), "n1", 7)
	if err := f.Write("record", content{"name", 0.25}); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(f.path("record", 7))
	if err != nil {
		t.Fatal(err)
	}
	var got content
	if err := decode(whole, f.ingress, &got); err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		if err := decode(whole[:i], f.ingress, &got); !errors.Is(err, ErrDamaged) {
			t.Errorf("cut off at %d: %v", i, err)
		}
		changed := append([]byte(nil), whole...)
		changed[i] ^= 1
		if err := decode(changed, f.ingress, &got); err == nil {
			t.Errorf("byte %d changed: read all the same", i)
		}
	}
	if err := decode(append([]byte(magic+" 2"), whole[len(magic)+2:]...), f.ingress, &got); !errors.Is(err, ErrVersion) {
		t.Errorf("of another version: %v", err)
	}
	if err := decode(whole, `"n2"`, &got); !errors.Is(err, ErrOther) {
		t.Errorf("of another ingress: %v", err)
	}
}

// Whatever write, sync or rename fails, torn or whole: a reader finds what was written before or, where the rename was done and
// told as failed, what was to be written; never something else, and nothing is left behind.
func TestFailingDisk(t *testing.T) {
	for _, op := range []vfs.Op{vfs.Write, vfs.Sync, vfs.Rename} {
		for _, torn := range []bool{false, true} {
			for _, err := range []error{syscall.ENOSPC, syscall.EIO} {
				dir := t.TempDir()
				bad := &vfs.Faulty{FS: vfs.OS{}}
				f := Open(dir, "a", 0)
				f.Disk = bad
				if err := f.Write("x", []int{1}); err != nil {
					t.Fatal(err)
				}
				bad.Fail(op, 2, err, torn)
				if got := f.Write("x", []int{2, 3}); !errors.Is(got, err) {
					t.Errorf("%s, torn %v: %v", op, torn, got)
				}
				var v []int
				if err := f.Read("x", 0, &v); err != nil || len(v) != 1 && !(op == vfs.Rename && torn) {
					t.Errorf("%s, torn %v: %v, %v", op, torn, v, err)
				}
				bad.Fail(op, 0, nil, false)
				if err := f.Write("x", []int{4, 5, 6}); err != nil {
					t.Error(err)
				}
				if err := f.Read("x", 0, &v); err != nil || len(v) != 3 {
					t.Errorf("%v, %v", v, err)
				}
				if left, _ := os.ReadDir(dir); len(left) != 1 {
					t.Errorf("%s, torn %v: %v are left", op, torn, left)
				}
			}
		}
	}
}
