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

// Watcher follows a catalogue's file.
type Watcher struct {
	Path     string
	OnChange func([]plans.Revision) // receives each valid catalogue, from the goroutine of Run
	Log      log.Logger

	lastError error // nil: the last reading succeeded
}

// Run reads the file, and again whenever it is replaced, until the context ends. A catalogue that is not valid
// changes nothing, and is logged once.
func (w *Watcher) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	defer watcher.Close()
	// The folder is watched: a file that is replaced by another one is no longer the one that was watched.
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

// Read reads the file once.
func (w *Watcher) Read() {
	revisions, err := Load(w.Path)
	if err != nil {
		// An editor that saves in steps must not fill the log.
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
