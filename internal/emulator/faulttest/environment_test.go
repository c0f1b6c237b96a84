package faulttest

import (
	"errors"
	"io/fs"
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
