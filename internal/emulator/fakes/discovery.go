package fakes

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"mulleinrouter/internal/standalone/discovery"
)

// keepAliveInterval is the interval at which a watch sends an empty line while nothing changes. An ingress
// considers a watch dead after 3 s without a line.
const keepAliveInterval = 2 * time.Second

// stateLeft is the state of a target that is removed from the list.
const stateLeft = "left"

// Discovery serves the list of quote servers, either as a snapshot or as a watch that streams each change.
type Discovery struct {
	httpServer

	mu       sync.Mutex // guards the fields below
	revision int64
	targets  map[string]discovery.Target // by UID
	changes  []discovery.List            // one for each revision, from 1
	changed  chan struct{}               // closed at the next change, and replaced
	silent   bool                        // watches send nothing
}

// Start listens on loopback. It returns a *ListenError if it cannot.
func (d *Discovery) Start() error {
	d.targets = map[string]discovery.Target{}
	d.changed = make(chan struct{})
	return d.start("discovery", &http.Server{Handler: d})
}

// SetSilent stops or resumes sending on all watches. The watches stay open.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// Update adds or replaces targets in the list. A target in state "left" is removed.
func (d *Discovery) Update(targets ...discovery.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		if t.State == stateLeft {
			delete(d.targets, t.UID)
		} else {
			d.targets[t.UID] = t
		}
	}
	d.revision++
	d.changes = append(d.changes, discovery.List{Rev: d.revision, Targets: targets})
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers with a watch if the query has the parameter watch, and otherwise with a snapshot of the list.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	if query.Get("watch") == "" {
		json.NewEncoder(w).Encode(d.snapshot())
		return
	}
	var from int64
	fmt.Sscan(query.Get("from"), &from)
	d.serveWatch(w, r, from)
}

// serveWatch streams the changes after a revision, each as a line of JSON, until the client disconnects.
func (d *Discovery) serveWatch(w http.ResponseWriter, r *http.Request, from int64) {
	flusher := http.NewResponseController(w)
	for {
		updates, next, changed, silent := d.changesSince(from)
		if !silent {
			for _, update := range updates {
				if json.NewEncoder(w).Encode(update) != nil {
					return
				}
			}
			from = next
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(keepAliveInterval):
			if !silent {
				fmt.Fprintln(w)
			}
		}
	}
}

// changesSince returns the changes after a revision, the current revision, and a channel that is closed at the next
// change. A revision newer than the current one must come from another server; changesSince then returns a snapshot.
func (d *Discovery) changesSince(from int64) (
	updates []discovery.List, revision int64, changed <-chan struct{}, silent bool,
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case from > d.revision:
		updates = []discovery.List{d.snapshotLocked()}
	case from >= 0:
		updates = d.changes[from:d.revision]
	}
	return updates, d.revision, d.changed, d.silent
}

func (d *Discovery) snapshot() discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshotLocked()
}

// snapshotLocked returns the current list. The caller must hold mu.
func (d *Discovery) snapshotLocked() discovery.List {
	list := discovery.List{Rev: d.revision, All: true, Targets: []discovery.Target{}}
	for _, t := range d.targets {
		list.Targets = append(list.Targets, t)
	}
	return list
}
