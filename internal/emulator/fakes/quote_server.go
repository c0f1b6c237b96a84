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
	maxRequestBytes    = 1 << 20 // of a body that is read
	maxHeaderBytes     = 64 << 10
	defaultIdleTimeout = 30 * time.Second

	slowStartFactor = 4.0 // times ServiceTime just after the start

	malformedResponse = "HTTP/1.1 2OO FINE\r\n\r\n" // the status has letters for zeros
)

// QuoteServer answers quote requests with a number of cores, a queue before them, slow start and injected faults.
// The configuration must not change after Start.
type QuoteServer struct {
	httpServer

	Cores       int           // requests worked on at once; 0: 1
	Queue       int           // requests that may wait for a core; further ones are rejected
	ServiceTime time.Duration // of a request once slow start is over
	SlowStart   time.Duration // how long service times fall linearly from four times ServiceTime; 0: no slow start
	IdleTimeout time.Duration // after which idle connections are closed; 0: 30 s
	Salt        uint64        // makes faults hit other requests than at a server with another salt

	startedAt time.Time
	cores     chan struct{}
	pending   atomic.Int64 // requests in the queue or at a core
	faults    atomic.Pointer[Faults]

	mu       sync.Mutex         // guards the fields below
	arrivals map[string]Arrival // by request ID
	served   map[string]int     // by request ID
}

// Arrival is what is known of a request that was received completely, body included.
type Arrival struct {
	First time.Time // when it was first received
	Times int       // how often it was received
	Runs  int       // how often it may have been executed: all times but those when it was rejected
}

// Faults are the parts of the requests, from 0 to 1, that meet each fault. Whether a request meets one depends on its
// ID and the server's salt alone.
type Faults struct {
	Error     float64 // answered 500 after execution
	Reject    float64 // answered 503 with X-Not-Processed
	Cut       float64 // the connection is closed after the request was received
	Hang      float64 // no response until the client gives up
	Malformed float64 // a response that is not HTTP
}

// Start listens on loopback. It returns a *ListenError.
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

// SetFaults injects faults into the requests from now on; nil ends that.
func (q *QuoteServer) SetFaults(f *Faults) { q.faults.Store(f) }

// Arrived returns the requests received completely so far, by ID.
func (q *QuoteServer) Arrived() map[string]Arrival {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.arrivals)
}

// Served returns how often each request has been answered 200, by ID.
func (q *QuoteServer) Served() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.served)
}

// ServeHTTP answers a request, or injects a fault.
func (q *QuoteServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBytes)); err != nil {
		return // an incomplete body: the request has not been received
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

// injectQuoteFault ends a request without a response from the server, if the draw hits such a fault.
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

// faultDraw decides which fault a request meets, if any: the faults share the range from 0 to 1 in the order in which
// they are asked for.
type faultDraw struct{ remaining float64 }

// hits reports whether the draw falls into the next part of the range. It must not be called again after a hit.
func (f *faultDraw) hits(part float64) bool {
	f.remaining -= part
	return f.remaining < 0
}

// draw returns the same draw whenever the same ID arrives at this server.
func (q *QuoteServer) draw(id string) *faultDraw {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d/%s/%d", q.Salt, id, q.Salt)
	return &faultDraw{remaining: float64(hash.Sum64()>>11) / (1 << 53)}
}

// execute waits for a core and occupies it for the service time. It reports whether that came to its end before the
// client gave up.
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

// currentServiceTime is ServiceTime, or more during slow start.
func (q *QuoteServer) currentServiceTime() time.Duration {
	age := time.Since(q.startedAt)
	if age >= q.SlowStart {
		return q.ServiceTime
	}
	factor := slowStartFactor - (slowStartFactor-1)*float64(age)/float64(q.SlowStart)
	return time.Duration(float64(q.ServiceTime) * factor)
}
