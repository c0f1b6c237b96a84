// Package discovery follows the list of quote servers: the list whole, then a watch for its changes.
package discovery

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/backoff"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/jsontext"
)

const (
	connectFor = time.Second
	silentFor  = 3 * time.Second // an empty line comes every 2 s: without one the watch is dead

	// spreadSilent is over how many seconds a fleet whose watches fell silent together opens them anew: what a silent watch
	// misses counts as told 6 s after it fell silent, and 3 s have passed by then.
	spreadSilent = 2.0
	mostLine     = 4 << 20 // bytes of a whole list
)

// List is a list of quote servers, or the changes to one, in discovery's form.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is one entry of a list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`
}

// Directory tells where the backends are, as the list last had it.
type Directory struct {
	mu      sync.RWMutex
	entries map[string]entry
}

type entry struct {
	addr    string
	serving bool
}

// Lookup gives a backend's address, and whether it may be sent anything new.
func (d *Directory) Lookup(id string) (addr string, serving bool) {
	d.mu.RLock()
	e := d.entries[id]
	d.mu.RUnlock()
	return e.addr, e.serving
}

// apply takes news and returns it in the module's form. The directory has it first: whoever is told
// to send must find the address.
func (d *Directory) apply(l *List) decision.Backends {
	news := decision.Backends{Complete: l.All, List: make([]decision.Backend, 0, len(l.Targets))}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil || l.All {
		d.entries = make(map[string]entry, len(l.Targets))
	}
	for _, t := range l.Targets {
		serving := t.State == "active"
		if t.State == "left" {
			delete(d.entries, t.UID)
		} else {
			d.entries[t.UID] = entry{addr: t.Endpoint, serving: serving}
		}
		news.List = append(news.List, decision.Backend{
			ID: t.UID, Zone: t.Zone, Kind: t.Model, Serving: serving, Size: t.Capacity,
			StartedAt: t.BootMs / 1000, // the module's clock is Unix time
		})
	}
	return news
}

// Watcher keeps a directory, and whoever else wants the news, up to date.
type Watcher struct {
	Addr      string
	Directory *Directory
	OnUpdate      func(decision.Backends)
	Log       *logrus.Logger
	FleetSize     int    // ingresses that ask the same discovery: they must not ask in step
	Seed      uint64 // for chance

	// Rank tells this ingress's place among those that live, from 0, and how many they are; nil: nobody knows, and chance
	// decides when it asks again.
	Rank func() (rank, of int)

	answer  time.Duration // longest wait for an answer to begin, or for the list; 0: silentFor
	silence time.Duration // longest wait for a line of the watch; 0: silentFor
	rev     int64
	listed  bool // there is a list to go on from, at this address
	again   *backoff.Window
	dial    func(ctx context.Context, network, addr string) (net.Conn, error) // nil: TCP

	mu    sync.Mutex
	moved string // address to go on at; empty: no other
	leave func() // ends the connection that is in use; nil: none is
}

// SetAddress has the list followed at another address from now on. The last list stays until that one tells its own.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moved = addr
	if w.leave != nil {
		w.leave()
	}
}

// begin settles the address of the next connection. The context ends with a move.
func (w *Watcher) begin(ctx context.Context) (within context.Context, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved != "" && w.moved != w.Addr {
		w.Addr, w.listed = w.moved, false // its versions may be others
	}
	w.moved = ""
	within, w.leave = context.WithCancel(ctx)
	return within, w.leave
}

// RestoreList takes the list that the ingress last had. Where it names any server, only what changed since is asked for: a
// whole list costs discovery several times as much, and after a release most of a fleet would ask for one at once.
func (w *Watcher) RestoreList(l *List) {
	w.rev, w.listed = l.Rev, len(l.Targets) > 0
	news := w.Directory.apply(l)
	news.Complete = true
	w.OnUpdate(news)
}

// Run follows the list until the context ends. While discovery is silent the last list stays.
func (w *Watcher) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.Seed, 2))
	w.again = backoff.New(w.FleetSize)
	// With a list from before, the watch asks at once, for the changes since: without it, each server that drains
	// meanwhile counts as told and is sent new requests (the drain rule, over a fleet of 300: roll, herd and join).
	for ctx.Err() == nil {
		within, end := w.begin(ctx)
		err := w.follow(within)
		if ctx.Err() != nil {
			end()
			return
		}
		reason := code(err)
		if within.Err() != nil {
			reason = "discovery-moved"
		}
		if reason == "discovery-silent" {
			// A watch that fell silent is opened anew within the time that its news may be late; a call that was not answered has
			// waited long enough, and its place in the queue goes with it.
			wait := 0.0
			if errors.Is(err, errFell) {
				wait = rng.Float64() * min(w.again.Now(), spreadSilent)
			} else {
				w.again.Failed(1)
			}
			w.Log.WithFields(logrus.Fields{"code": reason, "rev": w.rev, "wait": wait}).WithError(err).Info("discovery connection ended")
			pause(within, wait)
			end()
			continue
		}
		chance := rng.Float64()
		if w.Rank != nil { // one after another over the window, however the others' chances fall
			rank, of := w.Rank()
			w.again.Resize(of)
			chance = (float64(rank) + chance) / float64(of)
		}
		wait := w.again.Failed(chance)
		w.Log.WithFields(logrus.Fields{"code": reason, "rev": w.rev, "wait": wait}).WithError(err).Info("discovery connection ended")
		pause(within, wait) // moved: at once
		end()
	}
}

// pause waits, or until the context ends.
func pause(ctx context.Context, wait decision.Seconds) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(wait * float64(time.Second))):
	}
}

var (
	errStatus = errors.New("unexpected status")
	errList   = errors.New("not a list")
	errFell   = errors.New("the watch fell silent")
)

func code(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "discovery-silent"
	case errors.Is(err, errStatus):
		return "discovery-status"
	case errors.Is(err, errList):
		return "discovery-bad-list"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "discovery-ended"
	}
	return "discovery-broken"
}

// follow uses one connection: the whole list where none is known, then the watch.
func (w *Watcher) follow(ctx context.Context) error {
	dial := w.dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectFor}).DialContext
	}
	conn, err := dial(ctx, "tcp", w.Addr)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := http1.NewReader(conn)
	if !w.listed {
		body, err := w.get(conn, r, "/v1/endpoints")
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		raw, err := io.ReadAll(io.LimitReader(body, mostLine))
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if err := w.take(raw); err != nil {
			return fmt.Errorf("list: %w", err)
		}
		w.listed = true
	}
	body, err := w.get(conn, r, "/v1/endpoints?watch=1&from="+strconv.FormatInt(w.rev, 10))
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), mostLine)
	for {
		conn.SetReadDeadline(time.Now().Add(cmp.Or(w.silence, silentFor)))
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return fmt.Errorf("%w: %w", errFell, err)
			}
			return fmt.Errorf("watch: %w", io.EOF)
		}
		if line := lines.Bytes(); len(line) > 0 {
			if err := w.take(line); err != nil {
				return fmt.Errorf("watch: %w", err)
			}
			w.again.Worked()
		}
	}
}

func (w *Watcher) get(conn net.Conn, r *http1.Reader, target string) (io.Reader, error) {
	b := append([]byte("GET "), target...)
	b = append(b, " HTTP/1.1\r\nHost: discovery\r\n\r\n"...)
	// While discovery is down it is silent, and answers what waits there the moment it is back: a pause without a call would miss
	// that (herd over 300 ingresses: news that were there, unread, broke the drain rule 1,500 times). And a call that is given up
	// and made again goes to the end of a queue. So it waits for as long as the pause behind it would last.
	conn.SetDeadline(time.Now().Add(cmp.Or(w.answer, silentFor) + time.Duration(w.again.Now()*float64(time.Second))))
	if _, err := conn.Write(b); err != nil {
		return nil, err
	}
	a, err := r.Response(false)
	if err != nil {
		return nil, err
	}
	if a.Status != 200 {
		return nil, fmt.Errorf("%w %d", errStatus, a.Status)
	}
	return r.Stream(a), nil
}

func (w *Watcher) take(raw []byte) error {
	var l List
	if err := jsontext.Decode(raw, &l); err != nil {
		return fmt.Errorf("%w: %w", errList, err)
	}
	w.rev = l.Rev
	w.OnUpdate(w.Directory.apply(&l))
	w.Log.WithFields(logrus.Fields{"code": "discovery-list", "rev": l.Rev, "changed": len(l.Targets)}).Info("list of quote servers changed")
	return nil
}
