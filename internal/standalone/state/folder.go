package state

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"mulleinrouter/internal/standalone/vfs"
)

const (
	// maxFileBytes is the size of the largest file that is read, in bytes. It bounds memory. No ingress writes more, so
	// a larger file is damaged.
	maxFileBytes = 32 << 20
	// filePerm prevents other users of the machine from reading data about customers.
	filePerm = 0o600
	// nameParts is the number of parts of a file's name, separated by dots: ingress, process and kind.
	nameParts = 3
)

// Folder is the folder in which the processes of one ingress keep their files. Several ingresses may share it.
type Folder struct {
	FS vfs.FS // file system for writes; the machine's unless a test replaces it

	dir     string
	ingress string // quoted name of the ingress
	process int64
}

// Open returns the folder of an ingress for use by one of its processes. It neither reads nor writes anything.
func Open(dir, ingress string, process int64) *Folder {
	return &Folder{FS: vfs.OS{}, dir: dir, ingress: strconv.Quote(ingress), process: process}
}

// Process returns the number under which this process has its files.
func (f *Folder) Process() int64 { return f.process }

// prefix returns the part of a file's name that identifies the ingress.
func (f *Folder) prefix() string {
	return fmt.Sprintf("ingress-%08x", crc32.Checksum([]byte(f.ingress), castagnoli))
}

func (f *Folder) path(kind string, process int64) string {
	return filepath.Join(f.dir, fmt.Sprintf("%s.%d.%s", f.prefix(), process, kind))
}

// Write replaces this process's file of a kind atomically. It returns once the new content is on disk, but a power loss
// soon afterwards may undo the replacement (see vfs.Replace).
func (f *Folder) Write(kind string, v any) error {
	file, err := encode(f.ingress, v)
	if err != nil {
		return fmt.Errorf("state: encode %s: %w", kind, err)
	}
	if err := vfs.Replace(f.FS, f.path(kind, f.process), file, filePerm); err != nil {
		return fmt.Errorf("state: write %s: %w", kind, err)
	}
	return nil
}

// Processes returns the numbers of the other processes of the ingress that have a file of a kind.
func (f *Folder) Processes(kind string) (processes []int64, err error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, fmt.Errorf("state: list: %w", err)
	}
	for _, entry := range entries {
		parts := strings.Split(entry.Name(), ".")
		if len(parts) != nameParts || parts[0] != f.prefix() || parts[2] != kind {
			continue
		}
		if process, err := strconv.ParseInt(parts[1], 10, 64); err == nil && process != f.process {
			processes = append(processes, process)
		}
	}
	return processes, nil
}

// Read reads a process's file of a kind into v. Errors are fs.ErrNotExist, ErrDamaged, ErrVersion, ErrOtherIngress, or
// those of the file system.
func (f *Folder) Read(kind string, process int64, v any) error {
	path := f.path(kind, process)
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("state: read %s: %w", kind, err)
	}
	if info.Size() > maxFileBytes {
		return fmt.Errorf("state: read %s: %w: %d bytes", path, ErrDamaged, info.Size())
	}
	file, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("state: read %s: %w", kind, err)
	}
	if err := decode(file, f.ingress, v); err != nil {
		return fmt.Errorf("state: read %s: %w", path, err)
	}
	return nil
}

// Remove removes a file of a kind, of this process or of another that has ended. A file that doesn't exist is no error.
func (f *Folder) Remove(kind string, process int64) error {
	if err := os.Remove(f.path(kind, process)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("state: remove %s: %w", kind, err)
	}
	return nil
}
