package catalogue

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/plans"
)

// Watcher follows a catalogue's file.
type Watcher struct {
	Path string
	OnChange func([]plans.Revision) // of each whole catalogue that can be used, from one goroutine
	Log  *logrus.Logger

	last error
}

// Run reads the file and then again whenever it is replaced, until the context ends. A catalogue that cannot be
// used leaves the last one in force, and is logged once.
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
			w.Log.WithField("code", "plans-watch-failed").WithError(err).Warn("a change of the catalogue may have been missed; it is read again")
			w.Read()
		}
	}
}

// Read reads the file once.
func (w *Watcher) Read() {
	all, err := Load(w.Path)
	if err != nil {
		if w.last == nil || w.last.Error() != err.Error() { // an editor that saves in steps must not fill the log
			w.Log.WithField("code", "plans-bad-catalogue").WithError(err).Error("the plans stay as they were")
		}
		w.last = err
		return
	}
	w.last = nil
	w.OnChange(all)
}
