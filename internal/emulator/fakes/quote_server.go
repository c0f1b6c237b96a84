package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxRequestBytes    = 1 << 20  // bytes of a request body that are read; the rest is ignored
	maxHeaderBytes     = 64 << 10 // maximum size of a request header, bytes
	defaultIdleTimeout = 30 * time.Second

	slowStartFactor = 4.0 // service time immediately after the start, as a multiple of ServiceTime

	malformedResponse = "HTTP/1.1 2OO FINE\r\n\r\n" // invalid status code: letters O instead of zeros
)

// QuoteServer answers quote requests. It simulates a number of cores with a queue, slow start and injected faults. The
// exported fields must not change after Start.
type QuoteServer struct {
	httpServer

	Cores       int           // number of requests executed at the same time; 0 means 1
	Queue       int           // number of requests that may wait for a core; further ones are rejected
	ServiceTime time.Duration // execution time of a request after slow start
	SlowStart   time.Duration // time during which service times fall linearly from 4 times ServiceTime; 0 means none
	IdleTimeout time.Duration // time after which idle connections are closed; 0 means 30 s
	Salt        uint64        // makes servers with different salts inject faults into different requests

	startedAt time.Time
	cores     chan struct{}
	pending   atomic.Int64 // number of requests that wait for a core or are executed
	faults    atomic.Pointer[Faults]

	mu       sync.Mutex         // guards the fields below
	arrivals map[string]Arrival // by request ID
	served   map[string]int     // number of 200 responses, by request ID
}

// Arrival records how often a request was received completely, including its body, and executed.
type Arrival struct {
	First time.Time // time at which it was first received
	Times int       // number of times it was received
	Runs  int       // number of times it may have been executed, which is each time it was not rejected
}

// Faults contains the share of requests, from 0 to 1, that each fault is injected into. Which fault is injected into a
// request depends only on its ID and the salt of the server.
type Faults struct {
	Error     float64 // execute the request and answer 500
	Reject    float64 // answer 503 with X-Not-Processed, without executing the request
	Cut       float64 // close the connection after receiving the request
	Hang      float64 // send no response until the client closes the connection
	Malformed float64 // send a response that is not valid HTTP
}

// Start listens on loopback. It returns a *ListenError if it cannot.
func (q *QuoteServer) Start() error {
	q.startedAt = time.Now()
	q.cores = make(chan struct{}, max(1, q.Cores))
	q.arrivals = map[string]Arrival{}
	q.served = map[string]int{}
	if q.IdleTimeout == 0 {
		q.IdleTimeout = defaultIdleTimeout
	}
	return q.start("quote server", &http.Server{
		Handler:        q,
		IdleTimeout:    q.IdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	})
}

// SetFaults sets the faults that are injected into subsequent requests; nil means none.
func (q *QuoteServer) SetFaults(f *Faults) { q.faults.Store(f) }

// Arrived returns a copy of the requests received completely so far, by ID.
func (q *QuoteServer) Arrived() map[string]Arrival {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.arrivals)
}

// Served returns the number of times that each request has been answered 200, by ID.
func (q *QuoteServer) Served() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.served)
}

// ServeHTTP answers a request, or injects a fault.
func (q *QuoteServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBytes)); err != nil {
		return // the body is incomplete, so the request does not count as received
	}
	id := r.Header.Get("X-Request-ID")
	if id == "" {
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	q.recordArrival(id)
	faults := q.faults.Load()
	if faults == nil {
		faults = &Faults{}
	}
	draw := q.draw(id)
	if draw.hits(faults.Reject) || q.pending.Load() >= int64(max(1, q.Cores)+q.Queue) {
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q.recordRun(id)
	if injectQuoteFault(w, r, faults, draw) {
		return
	}
	q.pending.Add(1)
	defer q.pending.Add(-1)
	if !q.execute(r.Context()) {
		return
	}
	if draw.hits(faults.Error) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	q.recordServed(id)
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "quote for %s at %s\n", id, r.URL.Path)
}

// injectQuoteFault ends a request without a valid response if the draw selects such a fault. It reports whether it did.
func injectQuoteFault(w http.ResponseWriter, r *http.Request, faults *Faults, draw *faultDraw) (ended bool) {
	switch {
	case draw.hits(faults.Cut):
		abortConnection(w, "")
	case draw.hits(faults.Hang):
		<-r.Context().Done()
	case draw.hits(faults.Malformed):
		abortConnection(w, malformedResponse)
	default:
		return false
	}
	return true
}

func (q *QuoteServer) recordArrival(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	arrival := q.arrivals[id]
	arrival.Times++
	if arrival.Times == 1 {
		arrival.First = time.Now()
	}
	q.arrivals[id] = arrival
}

func (q *QuoteServer) recordRun(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	arrival := q.arrivals[id]
	arrival.Runs++
	q.arrivals[id] = arrival
}

func (q *QuoteServer) recordServed(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served[id]++
}

// faultDraw selects the fault of a request, if any. Each fault occupies a part of the range from 0 to 1, in the order
// of the calls of hits.
type faultDraw struct{ remaining float64 }

// hits reports whether the drawn number is in the next part of the range, whose size is part. It must not be called
// again after it has returned true.
func (f *faultDraw) hits(part float64) bool {
	f.remaining -= part
	return f.remaining < 0
}

// draw returns the draw for a request ID, which is always the same for one server.
func (q *QuoteServer) draw(id string) *faultDraw {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d/%s/%d", q.Salt, id, q.Salt)
	return &faultDraw{remaining: float64(hash.Sum64()>>11) / (1 << 53)}
}

// execute waits for a core and occupies it for the service time. It reports whether the execution completed before the
// client closed the connection.
func (q *QuoteServer) execute(ctx context.Context) bool {
	select {
	case q.cores <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-q.cores }()
	serviceTime := q.currentServiceTime()
	if serviceTime <= 0 {
		return true
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// currentServiceTime returns ServiceTime, or a longer time during slow start.
func (q *QuoteServer) currentServiceTime() time.Duration {
	age := time.Since(q.startedAt)
	if age >= q.SlowStart {
		return q.ServiceTime
	}
	factor := slowStartFactor - (slowStartFactor-1)*float64(age)/float64(q.SlowStart)
	return time.Duration(float64(q.ServiceTime) * factor)
}
