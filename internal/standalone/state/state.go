// Package state keeps what outlives a process in a folder: a file is replaced whole, has a version and a checksum, and is
// read whole or not at all.
package state

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/vfs"
)

const (
	magic   = "mulleinrouter-state"
	version = 1
	most    = 32 << 20 // bytes: no ingress knows more
)

// What can be wrong with a file. It is left as it is.
var (
	ErrDamaged = errors.New("damaged: its checksum is another")
	ErrVersion = errors.New("written by another version")
	ErrOther   = errors.New("another ingress's")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Folder is where the processes of one ingress keep their files. Its name tells the ingresses of one folder apart.
type Folder struct {
	Disk vfs.FS // the machine's, unless a test has it fail

	dir, ingress string
	process      int64
}

// Open returns the folder of an ingress, as a process has it. Nothing is read or written yet.
func Open(dir, ingress string, process int64) *Folder {
	return &Folder{Disk: vfs.OS{}, dir: dir, ingress: strconv.Quote(ingress), process: process}
}

func (f *Folder) path(kind string, process int64) string {
	h := crc32.Checksum([]byte(f.ingress), table)
	return filepath.Join(f.dir, fmt.Sprintf("ingress-%08x.%d.%s", h, process, kind))
}

// Write replaces this process's file of a kind. A reader sees the old one or the new one.
func (f *Folder) Write(kind string, v any) error {
	body, err := jsontext.Encode(v)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	head := fmt.Sprintf("%s %d %08x %s\n", magic, version, crc32.Checksum(body, table), f.ingress)
	if err := vfs.Replace(f.Disk, f.path(kind, f.process), append([]byte(head), body...), 0o600); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// Processes lists the other processes of the ingress that have a file of a kind.
func (f *Folder) Processes(kind string) (all []int64, err error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	prefix, _, _ := strings.Cut(filepath.Base(f.path(kind, 0)), ".")
	for _, e := range entries {
		word := strings.Split(e.Name(), ".")
		if len(word) != 3 || word[0] != prefix || word[2] != kind {
			continue
		}
		if process, err := strconv.ParseInt(word[1], 10, 64); err == nil && process != f.process {
			all = append(all, process)
		}
	}
	return all, nil
}

// Read reads a process's file of a kind into v. fs.ErrNotExist: there is none; the other errors tell what is wrong with it.
func (f *Folder) Read(kind string, process int64, v any) error {
	path := f.path(kind, process)
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if info.Size() > most {
		return fmt.Errorf("%s: %w: %d bytes", path, ErrDamaged, info.Size())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := decode(raw, f.ingress, v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func decode(raw []byte, ingress string, v any) error {
	line, body, ok := bytes.Cut(raw, []byte("\n"))
	word := strings.SplitN(string(line), " ", 4)
	if !ok || len(word) != 4 || word[0] != magic {
		return fmt.Errorf("%w: no head", ErrDamaged)
	}
	if word[1] != strconv.Itoa(version) {
		return fmt.Errorf("%w: %.20s", ErrVersion, word[1])
	}
	if word[2] != fmt.Sprintf("%08x", crc32.Checksum(body, table)) {
		return ErrDamaged
	}
	if word[3] != ingress {
		return fmt.Errorf("%w: %.80s", ErrOther, word[3])
	}
	if err := jsontext.Decode(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// Remove takes away this process's file of a kind, or another's that is gone.
func (f *Folder) Remove(kind string, process int64) error {
	if err := os.Remove(f.path(kind, process)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// Process is the number under which this process has its files.
func (f *Folder) Process() int64 { return f.process }
