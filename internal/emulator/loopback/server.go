package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxServerConns is the maximum number of connections of a server, which resets further ones. The configuration of
	// the gateway contains the same limit.
	maxServerConns     = 130
	slowStartTime      = 2 * time.Second       // time after its start during which a server is slow
	slowStartFactor    = 1.7                   // execution time during slowStartTime, as a multiple of the usual one
	responsiveInterval = 50 * time.Millisecond // between two checks whether a server is responsive again
)

// responseFault is a fault that is injected into a response.
type responseFault int

const (
	noFault          responseFault = iota
	loseResponse                   // the request is executed, and the connection is closed without a response
	resetConn                      // the connection is reset while the request is executed
	garbleResponse                 // the server sends bytes that are not an HTTP response
	truncateResponse               // the response is cut off before its end
	repeatResponse                 // the response is sent a second time, after a delay
)

// server is a fake server. Its goroutines belong to the cluster's background group and end with ctx.
type server struct {
	cluster      *cluster
	id           string
	service      string
	generation   string // release of the server, which its heartbeats contain
	zone         string
	slots        int
	meanWork     time.Duration // mean execution time of a request at slowness 1
	slowness     float64       // factor of execution times, by which servers differ
	addr         string
	listener     net.Listener
	startedAt    time.Time
	ctx          context.Context // ends when the server stops
	stop         context.CancelFunc
	workSlots    chan struct{} // contains one entry for each request in execution
	queued       atomic.Int32  // number of requests in execution or waiting for a slot
	draining     atomic.Bool
	unresponsive atomic.Bool
	callSeq      atomic.Uint64 // sequence number of the last call to a control node

	mu              sync.Mutex // guards the fields below
	rng             *rand.Rand
	resumed         chan struct{} // closed when the server becomes responsive again, and replaced
	conns           map[net.Conn]struct{}
	heartbeatTarget string // address from the last acknowledgement; empty: any control node
	faultRates      map[responseFault]float64
	closed          bool
}

// startServer starts a server of a service at an address, in which port 0 means any free port. The server registers
// itself by heartbeats; startServer does not wait for that.
func (cl *cluster) startServer(service, zone, addr, generation string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	serial := cl.serial.Add(1)
	rng := cl.randStream(uint64(serial))
	spec := cl.services[service]
	s := &server{
		cluster:    cl,
		id:         fmt.Sprintf("i-%06x%02x", rng.Uint32N(1<<24), serial),
		service:    service,
		generation: generation,
		zone:       zone,
		slots:      spec.slots,
		meanWork:   spec.meanWork,
		slowness:   0.8 + 0.4*rng.Float64(),
		addr:       listener.Addr().String(),
		listener:   listener,
		startedAt:  time.Now(),
		rng:        rng,
		conns:      map[net.Conn]struct{}{},
		faultRates: map[responseFault]float64{},
		resumed:    make(chan struct{}),
		workSlots:  make(chan struct{}, spec.slots),
	}
	s.ctx, s.stop = context.WithCancel(cl.lifetime)
	cl.mu.Lock()
	cl.servers = append(cl.servers, s)
	cl.mu.Unlock()
	cl.background.Go(s.accept)
	cl.background.Go(s.sendHeartbeats)
	return nil
}

// accept accepts connections until the server stops.
func (s *server) accept() {
	stopWatching := context.AfterFunc(s.ctx, s.closeAll)
	defer stopWatching()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.addConn(conn) {
			resetAndClose(conn)
			continue
		}
		s.cluster.background.Go(func() {
			defer s.removeConn(conn)
			s.serveConn(conn)
		})
	}
}

// addConn adds a connection and returns true, unless the server is closed or has too many connections.
func (s *server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxServerConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *server) removeConn(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	conn.Close()
}

// closeAll closes the listener and all connections.
func (s *server) closeAll() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}

// resetAndClose closes a connection with a reset.
func resetAndClose(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// blackHole makes the server unresponsive for a duration. In this time, the server accepts connections, but neither
// executes nor answers requests, and sends no heartbeats.
func (s *server) blackHole(d time.Duration) {
	s.unresponsive.Store(true)
	s.cluster.sleepInTraffic(d)
	s.mu.Lock()
	close(s.resumed)
	s.resumed = make(chan struct{})
	s.mu.Unlock()
	s.unresponsive.Store(false)
}

// awaitResponsive waits while the server is unresponsive.
func (s *server) awaitResponsive() {
	for s.unresponsive.Load() {
		s.mu.Lock()
		resumed := s.resumed
		s.mu.Unlock()
		select {
		case <-resumed:
		case <-s.ctx.Done():
			return
		case <-time.After(responsiveInterval): // the server may have resumed between the check and the read of resumed
		}
	}
}

// setFaultRate sets the share of the server's responses into which a fault is injected; 0: none.
func (s *server) setFaultRate(fault responseFault, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultRates[fault] = rate
}

// drawFault draws the fault of the next response.
func (s *server) drawFault() responseFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fault := loseResponse; fault <= repeatResponse; fault++ {
		if rate := s.faultRates[fault]; rate > 0 && s.rng.Float64() < rate {
			return fault
		}
	}
	return noFault
}

// work describes the execution of one request.
type work struct {
	duration   time.Duration
	chunked    bool // the response has a chunked body
	closeAfter bool // the server closes the connection after the response
	failing    bool // the response has status 500
	bodySize   int  // size of the response body, bytes
}

// drawWork draws the execution of the next request.
func (s *server) drawWork() work {
	s.mu.Lock()
	defer s.mu.Unlock()
	duration := float64(s.meanWork) * s.slowness * (0.5 + s.rng.Float64())
	if time.Since(s.startedAt) < slowStartTime {
		duration *= slowStartFactor
	}
	return work{
		duration:   time.Duration(duration),
		chunked:    s.rng.IntN(5) == 0,
		closeAfter: s.rng.IntN(200) == 0,
		failing:    s.rng.IntN(400) == 0,
		bodySize:   50 + s.rng.IntN(3000),
	}
}

// drawDelay draws a duration below a limit.
func (s *server) drawDelay(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(limit)))
}
