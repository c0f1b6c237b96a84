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
	serverConns   = 130                    // connections that a server takes; it resets more
	serverQueue   = 6                      // requests that wait for a slot
	serverIdle    = 8 * time.Second        // then a server closes an idle connection
	ackMost       = time.Second            // for the acknowledgement of a beat
	ackBytes      = 4 << 10                // that it may hold
	leaveMost     = 6 * time.Second        // for an acknowledgement of a leave; then the server ends without
	slowStartTime = 2 * time.Second        // slow after the start
	behind        = 300 * time.Millisecond // that a server serves on beyond drainMs
	surplusMost   = 60 * time.Millisecond  // until a surplus answer comes
)

// misbehaviour is what goes wrong with one answer.
type misbehaviour int

const (
	none    misbehaviour = iota
	lose                 // the request runs, and the connection ends without its answer
	reset                // the same with a reset, while it runs
	garble               // bytes that are no answer
	cut                  // the answer ends in the middle
	surplus              // the answer comes a second time, later
)

// server is one life of a stand-in server.
type server struct {
	f              *cluster
	id, service    string
	generation     string
	zone           string
	slots          int
	work           time.Duration // mean
	speed          float64
	addr           string
	ln             net.Listener
	began          time.Time
	ctx            context.Context // ends with it
	end            context.CancelFunc
	sem            chan struct{}
	waiting        atomic.Int32
	draining, dark atomic.Bool
	bright         chan struct{} // closed once it is no longer dark; replaced under mu
	calls          atomic.Uint64 // callSeq

	mu      sync.Mutex
	rng     *rand.Rand
	conns   map[net.Conn]struct{}
	target  string // beatTarget
	mishaps map[misbehaviour]float64
	left    bool
}

// serve starts a server of a service at an address (host:0 draws the port), and has it register. It returns at once.
func (f *cluster) serve(service, zone, addr, generation string) (*server, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	n := f.serial.Add(1)
	rng := rand.New(rand.NewPCG(f.o.Seed, uint64(n)))
	kind := f.services[service]
	s := &server{
		f:          f,
		id:         fmt.Sprintf("i-%06x%02x", rng.Uint32N(1<<24), n),
		service:    service,
		generation: generation,
		zone:       zone,
		slots:      kind.slots,
		work:       kind.work,
		speed:      0.8 + 0.4*rng.Float64(),
		addr:       ln.Addr().String(),
		ln:         ln,
		began:      time.Now(),
		rng:        rng,
		conns:      map[net.Conn]struct{}{},
		mishaps:    map[misbehaviour]float64{},
		bright:     make(chan struct{}),
		sem:        make(chan struct{}, kind.slots),
	}
	s.ctx, s.end = context.WithCancel(f.world)
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.all.Go(s.accept)
	f.all.Go(s.sendHeartbeats)
	return s, nil
}

func (s *server) accept() {
	stop := context.AfterFunc(s.ctx, s.shut)
	defer stop()
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		over := len(s.conns) >= serverConns || s.left
		if !over {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if over {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		s.f.all.Go(func() {
			defer func() {
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				c.Close()
			}()
			s.serve(c)
		})
	}
}

// shut closes all at once.
func (s *server) shut() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	for c := range s.conns {
		c.Close()
	}
}

// crash ends it without a word.
func (s *server) crash() { s.end() }

// darken has it neither read nor answer nor beat, for a span.
func (s *server) darken(span time.Duration) {
	s.dark.Store(true)
	s.f.hold(span)
	s.mu.Lock()
	close(s.bright)
	s.bright = make(chan struct{})
	s.mu.Unlock()
	s.dark.Store(false)
}

// light waits while it is dark.
func (s *server) light() {
	for s.dark.Load() {
		s.mu.Lock()
		bright := s.bright
		s.mu.Unlock()
		select {
		case <-bright:
		case <-s.ctx.Done():
			return
		case <-time.After(50 * time.Millisecond): // it may have become bright between the two looks
		}
	}
}

// spoil has a share of its answers go wrong from now on; 0: none.
func (s *server) spoil(what misbehaviour, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mishaps[what] = share
}

func (s *server) answerFault() misbehaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	for what := lose; what <= surplus; what++ {
		if share := s.mishaps[what]; share > 0 && s.rng.Float64() < share {
			return what
		}
	}
	return none
}

func (s *server) drawn() (work time.Duration, chunked, leave, failing bool, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := float64(s.work) * s.speed * (0.5 + s.rng.Float64())
	if time.Since(s.began) < slowStartTime {
		w *= 1.7
	}
	return time.Duration(w), s.rng.IntN(5) == 0, s.rng.IntN(200) == 0, s.rng.IntN(400) == 0, 50 + s.rng.IntN(3000)
}

// asked is a request that was read whole.
type asked struct {
	*http.Request
	body []byte
}

// serve answers the requests of one connection, one after the other.
func (s *server) serve(c net.Conn) {
	requests, disconnected := make(chan asked), make(chan struct{})
	over := make(chan struct{})
	defer close(over)
	s.f.all.Go(func() {
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
			case requests <- asked{r, body}:
			case <-over:
				return
			}
		}
	})
	c.SetReadDeadline(time.Now().Add(serverIdle))
	for {
		select {
		case r := <-requests:
			c.SetReadDeadline(time.Time{})
			if !s.answer(c, r, disconnected) {
				return
			}
			c.SetReadDeadline(time.Now().Add(serverIdle))
		case <-disconnected:
			return
		}
	}
}

// answer answers one request; more tells whether the connection goes on.
func (s *server) answer(c net.Conn, r asked, disconnected <-chan struct{}) (more bool) {
	s.light()
	now := s.f.now
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
		Body:     sum(r.body),
		Tenant:   r.Header.Get("X-Tenant"),
		Expected: r.Header.Get("X-Target-Instance"),
	}
	if id == "" && r.Method == http.MethodGet && r.URL.Path == healthPath {
		s.f.probes.Add(1)
		status := 200
		if s.draining.Load() {
			status = 503
		}
		return s.write(c, status, "", "X-Instance-Id: "+s.id+"\r\n", nil, r.Close, false)
	}
	s.f.recorder.arrival(a)
	turn := func(status int, fields string) bool {
		s.f.recorder.update(func() { a.Status, a.End = status, now() })
		return s.write(c, status, id, fields, []byte("not run\n"), r.Close, false)
	}
	if a.Expected != "" && a.Expected != s.id {
		return turn(421, "X-Instance-Id: "+s.id+"\r\n")
	}
	if r.Header.Get("Authorization") != "" {
		s.f.recorder.note("a server was shown a key, by %s", id)
	}
	if id == "" {
		return turn(400, "X-Not-Executed: 1\r\n")
	}
	left, err := strconv.ParseFloat(r.Header.Get("X-Time-Left-Ms"), 64)
	if err != nil {
		s.f.recorder.note("X-Time-Left-Ms %q, by %s", r.Header.Get("X-Time-Left-Ms"), id)
		left = 1000
	}
	deadline := time.NewTimer(time.Duration(left * float64(time.Millisecond)))
	defer deadline.Stop()
	if s.waiting.Add(1) > serverQueue+int32(s.slots) {
		s.waiting.Add(-1)
		return turn(503, "X-Not-Executed: 1\r\n")
	}
	defer s.waiting.Add(-1)
	select {
	case s.sem <- struct{}{}:
		defer func() { <-s.sem }()
	case <-deadline.C:
		return turn(503, "X-Not-Executed: 1\r\n")
	case <-disconnected:
		return false
	case <-s.ctx.Done():
		s.f.recorder.update(func() { a.Aborted = true })
		return false
	}
	return s.run(c, r, a, deadline, disconnected)
}

// run works on a request that has a slot, and answers it.
func (s *server) run(
	c net.Conn,
	r asked,
	a *invariants.Arrival,
	deadline *time.Timer,
	disconnected <-chan struct{},
) (more bool) {
	now := s.f.now
	span, chunked, leave, failing, size := s.drawn()
	what := s.answerFault()
	if what == reset {
		span /= 2
	}
	work := time.NewTimer(span)
	defer work.Stop()
	s.f.recorder.update(func() { a.Started, a.End = now(), invariants.Never })
	status := 200
	select {
	case <-work.C:
	case <-deadline.C:
		status = 504
	case <-disconnected:
		s.f.recorder.update(func() { a.End = now() })
		return false
	case <-s.ctx.Done():
		s.f.recorder.update(func() { a.End, a.Aborted = now(), true })
		return false
	}
	s.light()
	if failing {
		status = 500
	}
	seal := fmt.Sprintf("%s.%x.%d", s.id, s.f.serial.Add(1), status)
	body := pattern(seal, size)
	s.f.recorder.update(func() {
		a.End, a.Status, a.Seal, a.Sum = now(), status, seal, sum(body)
		a.Aborted = what != none && what != surplus
	})
	fields := "X-Server-Seal: " + seal + "\r\n"
	leave = leave || s.draining.Load() || r.Close
	switch what {
	case lose:
		return false
	case reset:
		c.(*net.TCPConn).SetLinger(0)
		return false
	case garble:
		c.Write([]byte("\x00\x01 out of order \r\n\r\n" + seal))
		return false
	case cut:
		var b bytes.Buffer
		s.compose(&b, status, a.ID, fields, body, false, chunked)
		c.Write(b.Bytes()[:b.Len()-size/2-5])
		return false
	case surplus:
		if s.write(c, status, a.ID, fields, body, false, chunked) {
			s.mu.Lock()
			span := time.Duration(s.rng.Int64N(int64(surplusMost)))
			s.mu.Unlock()
			s.f.pause(span)
			return s.write(c, status, a.ID, fields, body, false, chunked)
		}
		return false
	}
	return s.write(c, status, a.ID, fields, body, leave, chunked)
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
		fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", int(serverIdle.Seconds()))
	}
	if !chunked {
		fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body)
		return
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	b.Write(chunks(body))
}

func (s *server) write(c net.Conn, status int, id, fields string, body []byte, leave, chunked bool) (more bool) {
	var b bytes.Buffer
	s.compose(&b, status, id, fields, body, leave, chunked)
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := c.Write(b.Bytes())
	return err == nil && !leave
}

// chunks is a body in chunks.
func chunks(body []byte) []byte {
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

// pattern is a body that is like no other.
func pattern(seal string, size int) []byte {
	return bytes.Repeat([]byte(seal+"/"), size/(len(seal)+1)+1)[:size]
}

func sum(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
