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
	maxFileBytes = 1 << 20         // longest settings file that is accepted, bytes; a usual one has 2 KB
	pollInterval = 5 * time.Second // time between two checks for a change without a signal
)

// Load loads the settings file at path or, if path is empty, the file that EnvVariable names. Errors are SettingErrors,
// ErrNoFile, ErrTooLong, or those of reading the file.
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

// resolvePath returns the path or, if it is empty, the path that EnvVariable names.
func resolvePath(path string) (string, error) {
	if path == "" {
		path = os.Getenv(EnvVariable)
	}
	if path == "" {
		return "", ErrNoFile
	}
	return path, nil
}

// Watcher holds the settings in force, while their file may change. One goroutine reloads the file; any goroutine may
// call Current and Level.
type Watcher struct {
	path          string
	current       atomic.Pointer[Settings]
	seen          fileVersion // version of the file at the last load; zero before the first and after a failed one
	reportedError string      // text of the last error; empty after a successful load
}

// fileVersion identifies a version of a file without reading the file.
type fileVersion struct {
	size    int64
	modTime time.Time
}

// NewWatcher returns a watcher of the file from which first was loaded; path is as for Load. The first Reread finds a
// change that has been made since.
func NewWatcher(path string, first *Settings) *Watcher {
	w := &Watcher{path: path}
	w.current.Store(first)
	return w
}

// Current returns the settings in force.
func (w *Watcher) Current() *Settings { return w.current.Load() }

// Level returns the log level in force. It makes the Watcher a logging.Leveler, so that the level of a logger follows
// the file.
func (w *Watcher) Level() logging.Level { return w.Current().Log.Level }

// Reread checks by size and modification time whether the file has changed, and loads it if it has. Call it every few
// seconds, because files change without a signal too. changed reports whether the settings differ from those before. A
// broken file is rejected as a whole: the settings stay in force, and the same error is returned only once.
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

// Reload loads the file without checking its size and time. It is meant for SIGHUP, which announces a change. Unlike
// Reread, it returns every error.
func (w *Watcher) Reload() (changed bool, s *Settings, err error) {
	path, err := resolvePath(w.path)
	if err != nil {
		return false, w.Current(), err
	}
	var seen fileVersion // taken before the file is read, so that the next Reread finds a change made meanwhile
	if info, err := os.Stat(path); err == nil {
		seen = fileVersion{info.Size(), info.ModTime()}
	}
	next, err := Load(path)
	if err != nil {
		// The file may be half written, so the next Reread reads it again even if its size and time are unchanged.
		w.seen, w.reportedError = fileVersion{}, err.Error()
		return false, w.Current(), err
	}
	w.seen, w.reportedError = seen, ""
	old := w.current.Swap(next)
	return !reflect.DeepEqual(old, next), next, nil
}

// Follow reloads the file at each signal, and checks it for a change every pollInterval, until the context ends. It
// calls onReload after each load that changed the settings or failed. An error that Reread finds again is not reported
// again.
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
