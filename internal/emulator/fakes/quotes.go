// Package fakes has small servers that stand in for what an ingress meets, written from PROTOCOL: quote servers,
// discovery with its watch, a billing endpoint. The counter is that of package counterserver. They listen on loopback
// only. Tests, measurements and `mulleinrouter try` use them.
package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// loopback is where stand-ins listen.
const loopback = "127.0.0.1:0"

// QuoteServer is a quote server: some cores, a queue before them, cold at first, and faults on demand.
type QuoteServer struct {
	Cores       int           // requests worked on at once
	Queue       int           // that may wait
	ServiceTime time.Duration // of a request on a warm server
	SlowStart   time.Duration // after its start it is slower: four times at first, evenly less
	IdleTimeout time.Duration // idle connections are closed after this; 0: 30 s
	Salt        uint64        // makes its faults others than another server's
	server      *http.Server
	addr        string
	startedAt   time.Time
	cores       chan struct{}
	pending     atomic.Int64
	faults      atomic.Pointer[Faults]

	mu      sync.Mutex
	arrived map[string]Arrival // requests that arrived whole, by id
	served  map[string]int
}

// Arrival is when a request first arrived whole, how often it did, and how often it may have run: all times but
// those when it was turned away.
type Arrival struct {
	First       time.Time
	Times, Runs int
}

// Faults are shares of requests, by chance but the same for the same id at the same server.
type Faults struct {
	Error     float64 // answered 500, having run
	Reject    float64 // answered 503 with X-Not-Processed
	Cut       float64 // the connection ends after the request has arrived
	Hang      float64 // no answer until the other side gives up
	Malformed float64 // an answer that is none
}

// Start has it listen.
func (q *QuoteServer) Start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("quote server: %w", err)
	}
	q.addr, q.startedAt = l.Addr().String(), time.Now()
	q.cores = make(chan struct{}, max(1, q.Cores))
	q.arrived, q.served = map[string]Arrival{}, map[string]int{}
	if q.IdleTimeout == 0 {
		q.IdleTimeout = 30 * time.Second
	}
	q.server = &http.Server{Handler: q, IdleTimeout: q.IdleTimeout, MaxHeaderBytes: 64 << 10}
	go q.server.Serve(l)
	return nil
}

// Addr is where it listens.
func (q *QuoteServer) Addr() string { return q.addr }

// SetFaults makes it do wrong from now on; nil: no more.
func (q *QuoteServer) SetFaults(f *Faults) { q.faults.Store(f) }

// Stop ends it at once, connections and all.
func (q *QuoteServer) Stop() { q.server.Close() }

// Arrived is a copy of what has arrived whole, by id.
func (q *QuoteServer) Arrived() map[string]Arrival {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.arrived)
}

// Served is a copy of how often each id has been answered 200.
func (q *QuoteServer) Served() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.served)
}

// ServeHTTP is the life of a request at a quote server.
func (q *QuoteServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20)); err != nil {
		return // cut short: it has not arrived
	}
	id := r.Header.Get("X-Request-ID")
	if id == "" {
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	q.mu.Lock()
	a := q.arrived[id]
	if a.Times++; a.Times == 1 {
		a.First = time.Now()
	}
	q.arrived[id] = a
	q.mu.Unlock()
	f := q.faults.Load()
	if f == nil {
		f = &Faults{}
	}
	draw := q.sample(id)
	over := func(share float64) bool {
		draw -= share
		return draw < 0
	}
	switch {
	case over(f.Reject) || q.pending.Load() >= int64(max(1, q.Cores)+q.Queue):
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q.mu.Lock()
	a = q.arrived[id]
	a.Runs++
	q.arrived[id] = a
	q.mu.Unlock()
	switch {
	case over(f.Cut):
		abortConnection(w, "")
		return
	case over(f.Hang):
		<-r.Context().Done()
		return
	case over(f.Malformed):
		abortConnection(w, "HTTP/1.1 2OO FINE\r\n\r\n")
		return
	}
	q.pending.Add(1)
	defer q.pending.Add(-1)
	if !q.serve(r.Context()) {
		return
	}
	if over(f.Error) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	q.mu.Lock()
	q.served[id]++
	q.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "quote for %s at %s\n", id, r.URL.Path)
}

// sample is a number from 0 to 1 by an id and this server: the same whenever it is asked again.
func (q *QuoteServer) sample(id string) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s/%d", q.Salt, id, q.Salt)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// serve waits for a core and uses it. It tells whether the serve came to its end.
func (q *QuoteServer) serve(ctx context.Context) bool {
	select {
	case q.cores <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-q.cores }()
	d := q.ServiceTime
	if age := time.Since(q.startedAt); age < q.SlowStart {
		d = time.Duration(float64(d) * (4 - 3*float64(age)/float64(q.SlowStart)))
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// abortConnection ends the connection of a request, after some bytes.
func abortConnection(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(conn, text)
	conn.Close()
}
