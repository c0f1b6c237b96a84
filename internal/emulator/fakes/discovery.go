package fakes

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"mulleinrouter/internal/standalone/discovery"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const keepAliveInterval = 2 * time.Second // an empty line of a watch, while nothing changes

// Discovery tells the list of quote servers: whole, and by watch.
type Discovery struct {
	server *http.Server
	addr   string

	mu       sync.Mutex
	revision int64
	targets  map[string]discovery.Target
	changes  []discovery.List // one for each revision, from 1
	changed  chan struct{}    // closed with the next change
	silent   bool
}

// Start has it listen.
func (d *Discovery) Start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	d.addr, d.targets, d.changed = l.Addr().String(), map[string]discovery.Target{}, make(chan struct{})
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr }

// Stop ends it, connections and all.
func (d *Discovery) Stop() { d.server.Close() }

// SetSilent has it say nothing more, on any connection, or speak again.
func (d *Discovery) SetSilent(is bool) {
	d.mu.Lock()
	d.silent = is
	d.mu.Unlock()
}

// Update changes entries of the list. State left takes one away.
func (d *Discovery) Update(targets ...discovery.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		if t.State == "left" {
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

// ServeHTTP answers for the list.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(d.snapshot())
		return
	}
	var from int64
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	out := http.NewResponseController(w)
	for {
		d.mu.Lock()
		rev, moved, silent := d.revision, d.changed, d.silent
		var update []discovery.List
		if from >= 0 && from <= rev {
			update = d.changes[from:rev]
		}
		d.mu.Unlock()
		if from > rev { // another one's number
			update = []discovery.List{d.snapshot()}
		}
		for _, l := range update {
			if !silent && json.NewEncoder(w).Encode(l) != nil {
				return
			}
		}
		if !silent {
			from = rev
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-moved:
		case <-time.After(keepAliveInterval):
			if !silent {
				fmt.Fprintln(w)
			}
		}
	}
}

func (d *Discovery) snapshot() discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := discovery.List{Rev: d.revision, All: true, Targets: []discovery.Target{}}
	for _, t := range d.targets {
		l.Targets = append(l.Targets, t)
	}
	return l
}
