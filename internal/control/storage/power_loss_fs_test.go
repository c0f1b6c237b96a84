package storage

import (
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// powerLossFS is a file system in memory that records what a power loss may undo. These are the creation, renaming and
// removal of each name in its folder since the folder was last synced, independently of the others, and unsynced bytes.
type powerLossFS struct {
	vfs.FS

	mu       sync.Mutex              // guards the fields below
	current  map[string]*fileContent // current content of the folder
	synced   map[string]*fileContent // content of the folder at its last sync
	unsynced []nameChange            // changes since that sync
	onStep   func()                  // called after each change of a name and each sync, with the lock held
}

// fileContent has the bytes of a file. They are only appended to, so that a crash point may keep slices of them.
type fileContent struct {
	written []byte
	synced  int // number of bytes that the last sync covers
}

// nameChange is one change of a name in a folder. For a created name, to is set; for a removed one, from is set; for a
// renamed one, both are.
type nameChange struct {
	from, to string
	file     *fileContent
}

// powerLossFile is an open file or folder.
type powerLossFile struct {
	vfs.File
	fs       *powerLossFS
	content  *fileContent // nil if it is a folder
	isFolder bool         // whether it is the folder "d", whose names are tracked
}

func newPowerLossFS(files map[string][]byte) *powerLossFS {
	p := &powerLossFS{FS: newMemoryFolder(files), current: map[string]*fileContent{}}
	for name, content := range files {
		p.current[name] = &fileContent{content, len(content)}
	}
	p.synced = maps.Clone(p.current)
	return p
}

// newMemoryFolder returns a file system in memory whose folder "d" holds the files.
func newMemoryFolder(files map[string][]byte) vfs.FS {
	fs := vfs.NewMem()
	if err := fs.MkdirAll("d", 0o755); err != nil {
		panic(err)
	}
	for name, content := range files {
		writeFile(fs, name, content)
	}
	return fs
}

func writeFile(fs vfs.FS, name string, content []byte) {
	file, err := fs.Create(path.Join("d", name), vfs.WriteCategoryUnspecified)
	if err == nil {
		_, err = file.Write(slices.Clone(content)) // see powerLossFile.Write
	}
	if err == nil {
		err = file.Close()
	}
	if err != nil {
		panic(err)
	}
}

// record records a change of the folder. The lock is held.
func (p *powerLossFS) record(change nameChange) {
	p.unsynced = append(p.unsynced, change)
	if p.onStep != nil {
		p.onStep()
	}
}

func (p *powerLossFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := p.FS.Create(name, category)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	content := new(fileContent)
	p.current[path.Base(name)] = content
	p.record(nameChange{to: path.Base(name), file: content})
	return &powerLossFile{File: file, fs: p, content: content}, nil
}

func (p *powerLossFS) OpenReadWrite(string, vfs.DiskWriteCategory, ...vfs.OpenOption) (vfs.File, error) {
	panic("not used")
}

func (p *powerLossFS) Remove(name string) error {
	if err := p.FS.Remove(name); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.current, path.Base(name))
	p.record(nameChange{from: path.Base(name)})
	return nil
}

func (p *powerLossFS) Rename(old, name string) error {
	if err := p.FS.Rename(old, name); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	content := p.current[path.Base(old)]
	delete(p.current, path.Base(old))
	p.current[path.Base(name)] = content
	p.record(nameChange{from: path.Base(old), to: path.Base(name), file: content})
	return nil
}

func (p *powerLossFS) OpenDir(name string) (vfs.File, error) {
	folder, err := p.FS.OpenDir(name)
	return &powerLossFile{File: folder, fs: p, isFolder: path.Base(name) == "d"}, err
}

func (f *powerLossFile) Write(b []byte) (int, error) {
	b = slices.Clone(b)
	n, err := f.File.Write(slices.Clone(b)) // under the race detector, vfs.MemFS overwrites its argument
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.content.written = append(f.content.written, b[:n]...)
	return n, err
}

func (f *powerLossFile) WriteAt([]byte, int64) (int, error) { panic("not used") }

func (f *powerLossFile) Sync() error {
	if err := f.File.Sync(); err != nil {
		return err
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	switch {
	case f.content != nil:
		f.content.synced = len(f.content.written)
	case f.isFolder:
		f.fs.synced, f.fs.unsynced = maps.Clone(f.fs.current), nil
	}
	if f.fs.onStep != nil {
		f.fs.onStep()
	}
	return nil
}

func (f *powerLossFile) SyncData() error { return f.Sync() }

// crashPoint is the state of the disk at one step, and the number of batches that were acknowledged before it.
type crashPoint struct {
	synced       map[string]*fileContent
	unsynced     []nameChange
	contents     map[*fileContent]crashContent
	acknowledged int
}

// crashContent has the bytes of a file at one step.
type crashContent struct{ synced, written []byte }

// crashPoint returns the present state of the disk. The lock is held.
func (p *powerLossFS) crashPoint(acknowledged int) crashPoint {
	point := crashPoint{maps.Clone(p.synced), slices.Clone(p.unsynced), map[*fileContent]crashContent{}, acknowledged}
	keep := func(c *fileContent) {
		if c != nil {
			point.contents[c] = crashContent{c.written[:c.synced:c.synced], c.written[:len(c.written):len(c.written)]}
		}
	}
	for _, content := range p.synced {
		keep(content)
	}
	for _, change := range p.unsynced {
		keep(change.file)
	}
	return point
}

// nameLoss reports whether an unsynced change of a name, given by its index, survives a power loss.
type nameLoss func(change int) (survives bool)

// filesAfter returns the files in the folder after a power loss.
func (c crashPoint) filesAfter(survives nameLoss, unsyncedBytes bool) map[string][]byte {
	names := maps.Clone(c.synced)
	for n, change := range c.unsynced {
		if !survives(n) {
			continue
		}
		if change.from != "" {
			delete(names, change.from)
		}
		if change.to != "" {
			names[change.to] = change.file
		}
	}
	files := map[string][]byte{}
	for name, content := range names {
		if files[name] = c.contents[content].synced; unsyncedBytes {
			files[name] = c.contents[content].written
		}
	}
	return files
}

// losses returns the possible effects of a power loss at this point that are tested. They keep all changes of names,
// none, all but one, only one, and some random subsets.
func (c crashPoint) losses(rnd *rand.Rand) (losses []nameLoss) {
	losses = append(losses, func(int) bool { return true }, func(int) bool { return false })
	for one := range len(c.unsynced) {
		losses = append(losses, func(n int) bool { return n != one }, func(n int) bool { return n == one })
	}
	for range min(4, len(c.unsynced)) {
		subset := rnd.Uint64()
		losses = append(losses, func(n int) bool { return subset>>(n%64)&1 == 0 })
	}
	return losses
}
