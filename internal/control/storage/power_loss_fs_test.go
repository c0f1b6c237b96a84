package storage

import (
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// powerLossFS is a file system in memory that knows what a loss of power may take back: each name of its folder that
// was created, renamed or removed since the folder was last synced, independently of the others, and unsynced bytes.
type powerLossFS struct {
	vfs.FS

	mu       sync.Mutex              // guards the fields below
	current  map[string]*fileContent // the folder
	synced   map[string]*fileContent // the folder as of its last sync
	unsynced []nameChange            // since then
	onStep   func()                  // called after each step, with the lock held
}

// fileContent is the bytes of a file: they are appended to, or copied as a snapshot.
type fileContent struct {
	written []byte
	synced  int // how many of them its last sync covers
}

// nameChange is one change of a folder. Created: to is set. Removed: from is set. Renamed: both are.
type nameChange struct {
	from, to string
	file     *fileContent
}

// powerLossFile is an open file or folder.
type powerLossFile struct {
	vfs.File
	fs       *powerLossFS
	content  *fileContent // nil: a folder
	isFolder bool         // the folder that is modelled
}

func newPowerLossFS(files map[string][]byte) *powerLossFS {
	p := &powerLossFS{FS: newMemoryFolder(files), current: map[string]*fileContent{}}
	for name, content := range files {
		p.current[name] = &fileContent{content, len(content)}
	}
	p.synced = maps.Clone(p.current)
	return p
}

// newMemoryFolder is a file system in memory whose folder "d" holds files.
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

// record notes a change of the folder. The lock is held.
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
	n, err := f.File.Write(slices.Clone(b)) // under the race detector, the disk in memory overwrites what it was given
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

// crashPoint is the disk at one step, and how many batches were acknowledged by then.
type crashPoint struct {
	synced       map[string]*fileContent
	unsynced     []nameChange
	contents     map[*fileContent]crashContent
	acknowledged int
}

// crashContent is the bytes of a file at one step.
type crashContent struct{ synced, written []byte }

// crashPoint is the disk as it is now. The lock is held.
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

// nameLoss tells, by their order, which of the unsynced changes of names survive a loss of power.
type nameLoss func(change int) (survives bool)

// filesAfter is the folder after a loss of power.
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

// losses is what a loss of power at this point may do: keep all changes of names, none, all but one, one alone, and
// some random subsets.
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
