package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"sync/atomic"
	"time"
)

// EnvVariable is the environment variable that holds the path of the settings file.
const EnvVariable = "MULLEINROUTER_CONFIG"

// maxFileBytes is how long a file of settings may be, in bytes: the usual one has 2 KB.
const maxFileBytes = 1 << 20

// Load reads a file of settings: the one at path or, where that is empty, the one that the environment names. Errors are Faults, or tell
// that the file cannot be read.
func Load(path string) (*Settings, error) {
	path, err := located(path)
	if err != nil {
		return nil, err
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("settings: %s: too long", path)
	}
	return Decode(filepath.Base(path), string(text))
}

func located(path string) (string, error) {
	if path == "" {
		path = os.Getenv(EnvVariable)
	}
	if path == "" {
		return "", errors.New("settings: no file is given, and " + EnvVariable + " names none")
	}
	return path, nil
}

// Watcher holds the settings that are in force while their file may change. One goroutine rereads; any may ask for Current.
type Watcher struct {
	path          string
	current       atomic.Pointer[Settings]
	seen          stamp
	reportedError string // the error that was reported last, while the file is as it was then
}

// stamp is what tells that a file is another one without reading it.
type stamp struct {
	size int64
	time time.Time
}

// NewWatcher watches the file that first came from; path is as for Load. What was written since is found by the first Reread.
func NewWatcher(path string, first *Settings) *Watcher {
	w := &Watcher{path: path}
	w.current.Store(first)
	return w
}

// Current is the settings in force.
func (w *Watcher) Current() *Settings { return w.current.Load() }

// Reread looks whether the file is another one, by its size and time, and if so takes it. Call it every few seconds: files change
// without a signal too. Changed tells whether p says something else than the settings before it. A broken file is refused whole:
// then p is what was in force before, and the error is returned once for each thing that is wrong.
func (w *Watcher) Reread() (changed bool, p *Settings, err error) {
	path, err := located(w.path)
	if err != nil {
		return false, w.Current(), err
	}
	info, err := os.Stat(path)
	if err == nil && w.seen == (stamp{info.Size(), info.ModTime()}) {
		return false, w.Current(), nil
	}
	told := w.reportedError
	if changed, p, err = w.Reload(); err != nil && err.Error() == told {
		err = nil
	}
	return changed, p, err
}

// Reload is Reread without a look at size and time first: for SIGHUP, which says that there is something to read. It returns every error.
func (w *Watcher) Reload() (changed bool, p *Settings, err error) {
	path, err := located(w.path)
	if err != nil {
		return false, w.Current(), err
	}
	var seen stamp // from before the reading, so that what is written meanwhile is found by the next one
	if info, err := os.Stat(path); err == nil {
		seen = stamp{info.Size(), info.ModTime()}
	}
	next, err := Load(path)
	if err != nil {
		w.seen, w.reportedError = stamp{}, err.Error() // it may be half written: read it again, whatever its time says
		return false, w.Current(), err
	}
	w.seen, w.reportedError = seen, ""
	old := w.current.Swap(next)
	return !reflect.DeepEqual(old, next), next, nil
}

// pollInterval is how often a file that changes without a signal is looked at.
const pollInterval = 5 * time.Second

// Follow reads the file again at each signal, and when it has changed without one, until the context ends. Told is called after each
// reading that changed something or failed.
func (w *Watcher) Follow(ctx context.Context, hup <-chan os.Signal, told func(changed bool, err error)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		var changed bool
		var err error
		select {
		case <-ctx.Done():
			return
		case <-hup:
			changed, _, err = w.Reload()
		case <-tick.C:
			changed, _, err = w.Reread()
		}
		if changed || err != nil {
			told(changed, err)
		}
	}
}
