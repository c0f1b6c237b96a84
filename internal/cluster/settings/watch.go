package settings

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/logging"
)

// EnvVariable is the environment variable that holds the path of the settings file.
const EnvVariable = "MULLEINROUTER_CONFIG"

const (
	maxFileBytes = 1 << 20         // of a file of settings: the usual one has 2 KB
	pollInterval = 5 * time.Second // between two looks at a file that changes without a signal
)

// Load reads a file of settings: the one at path or, where that is empty, the one that the environment names. Errors
// are SettingErrors, ErrNoFile, ErrTooLong, or those of reading the file.
func Load(path string) (*Settings, error) {
	path, err := resolvePath(path)
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
		return nil, fmt.Errorf("settings: %s: %w", path, ErrTooLong)
	}
	return Decode(filepath.Base(path), string(text))
}

// resolvePath returns the path, or the one that the environment names.
func resolvePath(path string) (string, error) {
	if path == "" {
		path = os.Getenv(EnvVariable)
	}
	if path == "" {
		return "", ErrNoFile
	}
	return path, nil
}

// Watcher holds the settings that are in force while their file may change. One goroutine rereads it; any may ask for
// Current.
type Watcher struct {
	path          string
	current       atomic.Pointer[Settings]
	seen          fileVersion
	reportedError string // the text of the error that was returned last, while the file is as it was then
}

// fileVersion tells without reading a file that it has changed.
type fileVersion struct {
	size    int64
	modTime time.Time
}

// NewWatcher watches the file that first was loaded from; path is as for Load. A change since then is found by the
// first Reread.
func NewWatcher(path string, first *Settings) *Watcher {
	w := &Watcher{path: path}
	w.current.Store(first)
	return w
}

// Current returns the settings in force.
func (w *Watcher) Current() *Settings { return w.current.Load() }

// Level returns the level of the log in force. It makes the Watcher a logging.Leveler: a logger that has it as such
// follows the file.
func (w *Watcher) Level() logging.Level { return w.Current().Log.Level }

// Reread checks whether the file has changed, by its size and time, and if so loads it. Call it every few seconds:
// files change without a signal too. Changed reports whether the settings differ from those before. A broken file is
// rejected as a whole: then the settings stay in force, and the same error is returned once.
func (w *Watcher) Reread() (changed bool, s *Settings, err error) {
	path, err := resolvePath(w.path)
	if err != nil {
		return false, w.Current(), err
	}
	info, err := os.Stat(path)
	if err == nil && w.seen == (fileVersion{info.Size(), info.ModTime()}) {
		return false, w.Current(), nil
	}
	reported := w.reportedError
	if changed, s, err = w.Reload(); err != nil && err.Error() == reported {
		err = nil
	}
	return changed, s, err
}

// Reload is Reread without the check of size and time: for SIGHUP, which says that there is something to read. It
// returns every error.
func (w *Watcher) Reload() (changed bool, s *Settings, err error) {
	path, err := resolvePath(w.path)
	if err != nil {
		return false, w.Current(), err
	}
	var seen fileVersion // from before the reading, so that a change meanwhile is found by the next one
	if info, err := os.Stat(path); err == nil {
		seen = fileVersion{info.Size(), info.ModTime()}
	}
	next, err := Load(path)
	if err != nil {
		// It may be half written: read it again, whatever its time is.
		w.seen, w.reportedError = fileVersion{}, err.Error()
		return false, w.Current(), err
	}
	w.seen, w.reportedError = seen, ""
	old := w.current.Swap(next)
	return !reflect.DeepEqual(old, next), next, nil
}

// Follow rereads the file at each signal, and when it has changed without one, until the context ends. It calls
// onReload after each reading that changed something or failed.
func (w *Watcher) Follow(ctx context.Context, hangups <-chan os.Signal, onReload func(changed bool, err error)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		var changed bool
		var err error
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			changed, _, err = w.Reload()
		case <-tick.C:
			changed, _, err = w.Reread()
		}
		if changed || err != nil {
			onReload(changed, err)
		}
	}
}
