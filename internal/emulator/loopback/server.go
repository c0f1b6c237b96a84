package loopback

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	maxServerConns   = 130                    // connections that a server takes; it resets more
	maxServerQueue   = 6                      // requests that wait for a slot
	serverIdleTimeout    = 8 * time.Second        // then a server closes an idle connection
	heartbeatTimeout       = time.Second            // for the acknowledgement of a beat
	maxAckBytes      = 4 << 10                // that it may hold
	departureTimeout     = 6 * time.Second        // for an acknowledgement of a leave; then the server ends without
	slowStartTime = 2 * time.Second        // slow after the start
	drainMargin        = 300 * time.Millisecond // that a server serves on beyond drainMs
	maxRepeatDelay   = 60 * time.Millisecond  // until a surplus answer comes
)

// responseFault is what goes wrong with one answer.
type responseFault int

const (
	noFault    responseFault = iota
	loseResponse                 // the request runs, and the connection ends without its answer
	resetConn                // the same with a reset, while it runs
	garbleResponse               // bytes that are no answer
	truncateResponse                  // the answer ends in the middle
	repeatResponse              // the answer comes a second time, later
)

// server is one life of a stand-in server.
type server struct {
	cluster              *cluster
	id, service    string
	generation     string
	zone           string
	slots          int
	meanWork           time.Duration // mean
	slowness          float64
	addr           string
	listener             net.Listener
	startedAt          time.Time
	ctx            context.Context // ends with it
	stop            context.CancelFunc
	workSlots            chan struct{}
	queued        atomic.Int32
	draining, unresponsive atomic.Bool
	resumed         chan struct{} // closed once it is no longer dark; replaced under mu
	callSeq          atomic.Uint64 // callSeq

	mu      sync.Mutex
	rng     *rand.Rand
	conns   map[net.Conn]struct{}
	heartbeatTarget  string // beatTarget
	faultRates map[responseFault]float64
	closed    bool
}

// startServer starts a server of a service at an address (host:0 draws the port), and has it register. It returns at once.
func (cl *cluster) startServer(service, zone, addr, generation string) (*server, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	n := cl.serial.Add(1)
	rng := rand.New(rand.NewPCG(cl.options.Seed, uint64(n)))
	kind := cl.services[service]
	s := &server{
		cluster:          cl,
		id:         fmt.Sprintf("i-%06x%02x", rng.Uint32N(1<<24), n),
		service:    service,
		generation: generation,
		zone:       zone,
		slots:      kind.slots,
		meanWork:       kind.meanWork,
		slowness:      0.8 + 0.4*rng.Float64(),
		addr:       ln.Addr().String(),
		listener:         ln,
		startedAt:      time.Now(),
		rng:        rng,
		conns:      map[net.Conn]struct{}{},
		faultRates:    map[responseFault]float64{},
		resumed:     make(chan struct{}),
		workSlots:        make(chan struct{}, kind.slots),
	}
	s.ctx, s.stop = context.WithCancel(cl.lifetime)
	cl.mu.Lock()
	cl.servers = append(cl.servers, s)
	cl.mu.Unlock()
	cl.background.Go(s.accept)
	cl.background.Go(s.sendHeartbeats)
	return s, nil
}

func (s *server) accept() {
	stop := context.AfterFunc(s.ctx, s.closeAll)
	defer stop()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		over := len(s.conns) >= maxServerConns || s.closed
		if !over {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if over {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		s.cluster.background.Go(func() {
			defer func() {
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				c.Close()
			}()
			s.serveConn(c)
		})
	}
}

// closeAll closes all at once.
func (s *server) closeAll() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

// crash ends it without a word.
func (s *server) crash() { s.stop() }

// blackHole has it neither read nor answer nor beat, for a span.
func (s *server) blackHole(span time.Duration) {
	s.unresponsive.Store(true)
	s.cluster.sleepInTraffic(span)
	s.mu.Lock()
	close(s.resumed)
	s.resumed = make(chan struct{})
	s.mu.Unlock()
	s.unresponsive.Store(false)
}

// awaitResponsive waits while it is dark.
func (s *server) awaitResponsive() {
	for s.unresponsive.Load() {
		s.mu.Lock()
		bright := s.resumed
		s.mu.Unlock()
		select {
		case <-bright:
		case <-s.ctx.Done():
			return
		case <-time.After(50 * time.Millisecond): // it may have become bright between the two looks
		}
	}
}

// setFaultRate has a share of its answers go wrong from now on; 0: none.
func (s *server) setFaultRate(what responseFault, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultRates[what] = share
}

func (s *server) drawFault() responseFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for what := loseResponse; what <= repeatResponse; what++ {
		if share := s.faultRates[what]; share > 0 && s.rng.Float64() < share {
			return what
		}
	}
	return noFault
}

func (s *server) drawWork() (work time.Duration, chunked, leave, failing bool, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := float64(s.meanWork) * s.slowness * (0.5 + s.rng.Float64())
	if time.Since(s.startedAt) < slowStartTime {
		w *= 1.7
	}
	return time.Duration(w), s.rng.IntN(5) == 0, s.rng.IntN(200) == 0, s.rng.IntN(400) == 0, 50 + s.rng.IntN(3000)
}

// serverRequest is a request that was read whole.
type serverRequest struct {
	*http.Request
	body []byte
}

// serveConn answers the requests of one connection, one after the other.
func (s *server) serveConn(c net.Conn) {
	requests, disconnected := make(chan serverRequest), make(chan struct{})
	over := make(chan struct{})
	defer close(over)
	s.cluster.background.Go(func() {
		defer close(disconnected)
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			select {
			case requests <- serverRequest{r, body}:
			case <-over:
				return
			}
		}
	})
	c.SetReadDeadline(time.Now().Add(serverIdleTimeout))
	for {
		select {
		case r := <-requests:
			c.SetReadDeadline(time.Time{})
			if !s.handle(c, r, disconnected) {
				return
			}
			c.SetReadDeadline(time.Now().Add(serverIdleTimeout))
		case <-disconnected:
			return
		}
	}
}

// handle answers one request; more tells whether the connection goes on.
func (s *server) handle(c net.Conn, r serverRequest, disconnected <-chan struct{}) (more bool) {
	s.awaitResponsive()
	now := s.cluster.now
	id := r.Header.Get("X-Attempt-Id")
	a := &invariants.Arrival{
		ID:       id,
		Instance: s.id,
		Service:  s.service,
		At:       now(),
		Started:  invariants.Never,
		End:      now(),
		Method:   r.Method,
		Host:     r.Host,
		Target:   r.RequestURI,
		Body:     checksum(r.body),
		Tenant:   r.Header.Get("X-Tenant"),
		Expected: r.Header.Get("X-Target-Instance"),
	}
	if id == "" && r.Method == http.MethodGet && r.URL.Path == healthPath {
		s.cluster.healthChecks.Add(1)
		status := 200
		if s.draining.Load() {
			status = 503
		}
		return s.writeResponse(c, status, "", "X-Instance-Id: "+s.id+"\r\n", nil, r.Close, false)
	}
	s.cluster.recorder.arrival(a)
	turn := func(status int, fields string) bool {
		s.cluster.recorder.update(func() { a.Status, a.End = status, now() })
		return s.writeResponse(c, status, id, fields, []byte("not run\n"), r.Close, false)
	}
	if a.Expected != "" && a.Expected != s.id {
		return turn(421, "X-Instance-Id: "+s.id+"\r\n")
	}
	if r.Header.Get("Authorization") != "" {
		s.cluster.recorder.notef("a server was shown a key, by %s", id)
	}
	if id == "" {
		return turn(400, "X-Not-Executed: 1\r\n")
	}
	left, err := strconv.ParseFloat(r.Header.Get("X-Time-Left-Ms"), 64)
	if err != nil {
		s.cluster.recorder.notef("X-Time-Left-Ms %q, by %s", r.Header.Get("X-Time-Left-Ms"), id)
		left = 1000
	}
	deadline := time.NewTimer(time.Duration(left * float64(time.Millisecond)))
	defer deadline.Stop()
	if s.queued.Add(1) > maxServerQueue+int32(s.slots) {
		s.queued.Add(-1)
		return turn(503, "X-Not-Executed: 1\r\n")
	}
	defer s.queued.Add(-1)
	select {
	case s.workSlots <- struct{}{}:
		defer func() { <-s.workSlots }()
	case <-deadline.C:
		return turn(503, "X-Not-Executed: 1\r\n")
	case <-disconnected:
		return false
	case <-s.ctx.Done():
		s.cluster.recorder.update(func() { a.Aborted = true })
		return false
	}
	return s.execute(c, r, a, deadline, disconnected)
}

// execute works on a request that has a slot, and answers it.
func (s *server) execute(
	c net.Conn,
	r serverRequest,
	a *invariants.Arrival,
	deadline *time.Timer,
	disconnected <-chan struct{},
) (more bool) {
	now := s.cluster.now
	span, chunked, leave, failing, size := s.drawWork()
	what := s.drawFault()
	if what == resetConn {
		span /= 2
	}
	work := time.NewTimer(span)
	defer work.Stop()
	s.cluster.recorder.update(func() { a.Started, a.End = now(), invariants.Never })
	status := 200
	select {
	case <-work.C:
	case <-deadline.C:
		status = 504
	case <-disconnected:
		s.cluster.recorder.update(func() { a.End = now() })
		return false
	case <-s.ctx.Done():
		s.cluster.recorder.update(func() { a.End, a.Aborted = now(), true })
		return false
	}
	s.awaitResponsive()
	if failing {
		status = 500
	}
	seal := fmt.Sprintf("%s.%x.%d", s.id, s.cluster.serial.Add(1), status)
	body := uniqueBody(seal, size)
	s.cluster.recorder.update(func() {
		a.End, a.Status, a.Seal, a.Sum = now(), status, seal, checksum(body)
		a.Aborted = what != noFault && what != repeatResponse
	})
	fields := "X-Server-Seal: " + seal + "\r\n"
	leave = leave || s.draining.Load() || r.Close
	switch what {
	case loseResponse:
		return false
	case resetConn:
		c.(*net.TCPConn).SetLinger(0)
		return false
	case garbleResponse:
		c.Write([]byte("\x00\x01 out of order \r\n\r\n" + seal))
		return false
	case truncateResponse:
		var b bytes.Buffer
		s.compose(&b, status, a.ID, fields, body, false, chunked)
		c.Write(b.Bytes()[:b.Len()-size/2-5])
		return false
	case repeatResponse:
		if s.writeResponse(c, status, a.ID, fields, body, false, chunked) {
			s.mu.Lock()
			span := time.Duration(s.rng.Int64N(int64(maxRepeatDelay)))
			s.mu.Unlock()
			s.cluster.sleep(span)
			return s.writeResponse(c, status, a.ID, fields, body, false, chunked)
		}
		return false
	}
	return s.writeResponse(c, status, a.ID, fields, body, leave, chunked)
}

// compose lays out an answer.
func (s *server) compose(b *bytes.Buffer, status int, id, fields string, body []byte, leave, chunked bool) {
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(b, "X-Attempt-Id: %s\r\n", id)
	}
	b.WriteString(fields)
	if leave {
		b.WriteString("Connection: close\r\n")
	} else {
		fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", int(serverIdleTimeout.Seconds()))
	}
	if !chunked {
		fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body)
		return
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	b.Write(encodeChunks(body))
}

func (s *server) writeResponse(c net.Conn, status int, id, fields string, body []byte, leave, chunked bool) (more bool) {
	var b bytes.Buffer
	s.compose(&b, status, id, fields, body, leave, chunked)
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := c.Write(b.Bytes())
	return err == nil && !leave
}

// encodeChunks is a body in encodeChunks.
func encodeChunks(body []byte) []byte {
	var b bytes.Buffer
	for part := range slicesOf(body, 700) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

func slicesOf(b []byte, most int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			n := min(most, len(b))
			if !yield(b[:n]) {
				return
			}
			b = b[n:]
		}
	}
}

// uniqueBody is a body that is like no other.
func uniqueBody(seal string, size int) []byte {
	return bytes.Repeat([]byte(seal+"/"), size/(len(seal)+1)+1)[:size]
}

func checksum(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
