package catalogue

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/fsnotify/fsnotify"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/plans"
)

// Watcher reads a catalogue file whenever it changes.
type Watcher struct {
	Path     string
	OnChange func([]plans.Revision) // called with each valid catalogue, by the goroutine of Run
	Log      log.Logger

	lastError error // error of the last read; nil if it succeeded
}

// Run reads the file, and reads it again after each change other than of its permissions, until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	defer watcher.Close()
	// The folder is watched instead of the file, because a watch of a file ends when another file replaces it.
	if err := watcher.Add(filepath.Dir(w.Path)); err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	w.Read()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-watcher.Events:
			if filepath.Clean(event.Name) == filepath.Clean(w.Path) && event.Op&^fsnotify.Chmod != 0 {
				w.Read()
			}
		case err := <-watcher.Errors:
			level.Warn(w.Log).Log("msg", "catalogue change may have been missed; reading the file again",
				"code", "plans-watch-failed", "error", err,
			)
			w.Read()
		}
	}
}

// Read reads the file once and calls OnChange with its revisions. If the file is invalid, it only logs the error,
// unless the previous read had the same error.
func (w *Watcher) Read() {
	revisions, err := Load(w.Path)
	if err != nil {
		// An unchanged error is not logged again, because an editor that saves in several steps would fill the log.
		if w.lastError == nil || w.lastError.Error() != err.Error() {
			level.Error(w.Log).Log("msg", "catalogue invalid; plans unchanged",
				"code", "plans-bad-catalogue", "error", err,
			)
		}
		w.lastError = err
		return
	}
	w.lastError = nil
	w.OnChange(revisions)
}
