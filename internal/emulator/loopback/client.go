package loopback

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	maxConnectTime = time.Second // for a new connection to come up
	maxRetries     = 2           // further tries of a client
	maxInFlight  = 1500        // requests of all clients that are out
	maxIdleTime    = 14 * time.Second
)

// clientUser is a client: it stands in a zone, and may keep a connection.
type clientUser struct {
	number int
	zone   int

	mu   sync.Mutex
	idle *clientConn
}

// clientConn is a connection between two requests.
type clientConn struct {
	conn    *net.TCPConn
	reader   *bufio.Reader
	edge *machine
	idleUntil time.Time
	lastAttempt *invariants.Attempt
}

// pendingInput looks for bytes behind the last answer, and whether the connection has been closed.
func (k *clientConn) pendingInput() (surplus, closed bool) {
	if k.reader.Buffered() > 0 {
		return true, false
	}
	raw, err := k.conn.SyscallConn()
	if err != nil {
		return false, true
	}
	raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		surplus, closed = n > 0, n == 0 && err == nil || err != nil && err != unix.EAGAIN
		return true
	})
	return surplus, closed
}

// closeConn closes a kept connection, and says what came on it.
func (cl *cluster) closeConn(k *clientConn) {
	if k == nil {
		return
	}
	if surplus, _ := k.pendingInput(); surplus {
		cl.recorder.update(func() { k.lastAttempt.Surplus = true })
	}
	k.conn.Close()
}

// clientRequest is a request of a client, over all its tries.
type clientRequest struct {
	class  *requestClass
	route  *route
	key    string
	user *clientUser
	canaryEdge  *machine // it goes there, and once only
	keepAlive bool
	startedAt  time.Time
}

// classes' arrivals: each is a Poisson sendClass.
func (cl *cluster) sendClass(c *requestClass, rng *rand.Rand) {
	next := time.Now()
	for {
		rate := c.rate * cl.options.Load
		hot := cl.hotTenant.Load()
		if hot != nil {
			rate *= 1 + hot.weight*(hotFactor-1)
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			cl.sleep(wait)
		} else {
			next = time.Now() // we cannot keep up; do not catch up either
		}
		if cl.traffic.Err() != nil {
			return
		}
		t := cl.drawTenant(rng, hot)
		routes := cl.liveRoutes(c)
		r := routes[rng.IntN(len(routes))]
		key := t.drawKey(rng)
		o := &clientRequest{
			class:  c,
			route:  r,
			key:    key,
			user: cl.users[rng.IntN(len(cl.users))],
			keepAlive: rng.IntN(2) == 0,
			startedAt:  time.Now(),
		}
		if r.public && rng.IntN(2) == 0 {
			o.key = ""
		}
		seed := rng.Uint64()
		if cl.inFlight.Add(1) > maxInFlight {
			cl.inFlight.Add(-1)
			cl.recorder.notef("clients are overloaded: a request was not sent")
			continue
		}
		cl.clients.Go(func() {
			defer cl.inFlight.Add(-1)
			cl.sendWithRetries(o, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// sendWithRetries carries out a request with its tries, as PROTOCOL says under "Answers".
func (cl *cluster) sendWithRetries(o *clientRequest, rng *rand.Rand) {
	c := o.class
	backoff := 30 * time.Millisecond
	for n := 0; ; n++ {
		left := c.deadline - time.Since(o.startedAt)
		t, advice := cl.attempt(o, n, left, rng)
		left = c.deadline - time.Since(o.startedAt)
		promise := t.End == invariants.Answered && (t.Status == 408 || t.Status == 421 || t.Status == 429 || t.Status == 503)
		final := t.End == invariants.Answered &&
			(t.Status/100 == 2 || slices.Contains([]int{400, 401, 403, 404, 413, 431}, t.Status))
		again := !final && (!c.atMostOnce || promise || t.End == invariants.NotConnected)
		wait := backoff + time.Duration(rng.Int64N(int64(backoff)))
		backoff *= 2
		if advice > 0 {
			wait = min(advice, left/3)
		}
		if !again || o.canaryEdge != nil || n == maxRetries || left-wait < 20*time.Millisecond || cl.lifetime.Err() != nil {
			cl.recorder.update(func() { t.Last = true })
			return
		}
		cl.sleep(wait)
	}
}

// attempt makes one attempt; advice is what Retry-After says.
func (cl *cluster) attempt(
	o *clientRequest,
	n int,
	left time.Duration,
	rng *rand.Rand,
) (t *invariants.Attempt, advice time.Duration) {
	c := o.class
	t = &invariants.Attempt{
		ID:            fmt.Sprintf("%016x", rng.Uint64()),
		Class:         c.name,
		AtMostOnce:    c.atMostOnce,
		Probe:         o.canaryEdge != nil,
		Method:        http.MethodGet,
		Host:          o.route.host,
		Target:        fmt.Sprintf("%s%x", o.route.prefix, rng.Uint32N(1<<20)),
		Key:           o.key,
		TimeLeft:      left.Seconds(),
		FirstSent:     cl.sinceStart(o.startedAt),
		LatencyTarget: c.latencyTarget.Seconds(),
	}
	if rng.IntN(4) == 0 {
		t.Target += "?q=" + strconv.Itoa(rng.IntN(100))
	}
	var text []byte
	if c.atMostOnce {
		t.Method = http.MethodPost
		text = uniqueBody(t.ID, rng.IntN(3000))
	}
	t.Body = checksum(text)
	var k *clientConn
	if o.keepAlive && n == 0 && o.canaryEdge == nil {
		k = cl.takeIdleConn(o.user)
	}
	edge := o.canaryEdge
	if edge == nil && k == nil {
		edge = cl.chooseEdge(o.user, n)
	}
	defer cl.recorder.attempt(t)
	if k == nil {
		t.Edge = edge.name
		conn, err := net.DialTimeout("tcp4", edge.address(cl.ports.front), min(maxConnectTime, left))
		if err != nil {
			t.Sent, t.Done, t.End = cl.now(), cl.now(), invariants.NotConnected
			return t, 0
		}
		k = &clientConn{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), edge: edge}
	}
	t.Edge, k.lastAttempt = k.edge.name, t
	var b bytes.Buffer
	fmt.Fprintf(
		&b,
		"%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\n",
		t.Method,
		t.Target,
		t.Host,
		t.ID,
		left.Milliseconds(),
	)
	if o.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", o.key)
	}
	if rng.IntN(10) == 0 {
		t.ClaimedTenant = "somebody"
		b.WriteString("X-Tenant: somebody\r\nx-target-instance: i-0\r\n")
	}
	closing := !o.keepAlive || o.canaryEdge != nil
	if closing && rng.IntN(2) == 0 {
		b.WriteString("Connection: close\r\n")
	}
	switch {
	case text != nil && rng.IntN(3) == 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		b.Write(encodeChunks(text))
	case text != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(text))
		b.Write(text)
	default:
		b.WriteString("\r\n")
	}
	k.conn.SetDeadline(time.Now().Add(left))
	_, err := k.conn.Write(b.Bytes())
	t.Sent = cl.now()
	if err == nil {
		advice, err = cl.readResponse(k, t)
	} else {
		t.End = endingOf(err)
	}
	if t.End == invariants.Truncated && t.Status == 0 && cl.closedUnread(k.conn, err) {
		t.End = invariants.NotConnected
	}
	t.Done = cl.now()
	if err != nil || t.End != invariants.Answered || closing || k.idleUntil.IsZero() {
		if err == nil && t.End == invariants.Answered {
			cl.closeConn(k)
		} else {
			k.conn.Close()
		}
		return t, advice
	}
	o.user.mu.Lock()
	old := o.user.idle
	o.user.idle = k
	o.user.mu.Unlock()
	cl.closeConn(old)
	return t, advice
}

// endingOf is how a try ended whose connection endingOf.
func endingOf(err error) invariants.Ending {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return invariants.TimedOut
	}
	return invariants.Truncated
}

// closedUnread tells whether the machine closed the connection without having read the request: its kernel resets such a
// connection. It may say so only after the end of the stream.
func (cl *cluster) closedUnread(c *net.TCPConn, err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	cl.sleep(5 * time.Millisecond)
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err = c.Write([]byte("\r\n"))
	return err != nil
}

// countOwnAnswer notes an answer of the system's countOwnAnswer.
func (cl *cluster) countOwnAnswer(status int, text []byte) {
	line, _, _ := strings.Cut(string(text), "\n")
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.ownAnswers[fmt.Sprintf("%d %.100s", status, line)]++
}

// readResponse reads an answer. The connection may be kept until k.till; zero: it may not.
func (cl *cluster) readResponse(k *clientConn, t *invariants.Attempt) (advice time.Duration, err error) {
	k.idleUntil = time.Time{}
	if _, err := k.reader.Peek(1); err != nil {
		t.End = endingOf(err)
		return 0, err
	}
	r, err := http.ReadResponse(k.reader, &http.Request{Method: t.Method})
	if err != nil {
		ended := errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
		if t.End = endingOf(err); t.End == invariants.Truncated && !ended {
			t.End = invariants.Malformed
		}
		return 0, err
	}
	t.Status = r.StatusCode
	t.AnswerID, t.Seal = r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Server-Seal")
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.End = endingOf(err)
		return 0, err
	}
	t.Sum = checksum(text)
	if t.Seal == "" && !t.Probe {
		cl.countOwnAnswer(t.Status, text)
	}
	if s := r.Header.Get("Retry-After"); s != "" {
		if v, err := strconv.ParseFloat(s, 64); err == nil && v > 0 {
			advice = time.Duration(min(v, 60) * float64(time.Second))
		}
	}
	if r.Close {
		return advice, nil
	}
	span := maxIdleTime
	if _, rest, ok := strings.Cut(r.Header.Get("Keep-Alive"), "timeout="); ok {
		digits, _, _ := strings.Cut(rest, ",")
		if s, err := strconv.ParseFloat(strings.TrimSpace(digits), 64); err == nil {
			span = min(span, time.Duration(max(0, s-0.2)*float64(time.Second)))
		}
	}
	if span > 0 {
		k.idleUntil = time.Now().Add(span)
	}
	return advice, nil
}

// takeIdleConn is the connection that a client keeps, if it may still be used.
func (cl *cluster) takeIdleConn(p *clientUser) *clientConn {
	p.mu.Lock()
	k := p.idle
	p.idle = nil
	p.mu.Unlock()
	if k == nil {
		return nil
	}
	if surplus, closed := k.pendingInput(); surplus || closed || time.Now().After(k.idleUntil) {
		cl.closeConn(k)
		return nil
	}
	return k
}

// edgeHealth is what the platform knows of a machine that takes clients.
type edgeHealth struct {
	failures int
	inRotation     bool
}

// watchReadiness asks each machine every second whether it is ready, as the platform does.
func (cl *cluster) watchReadiness() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		var all sync.WaitGroup
		for n, m := range cl.edge {
			all.Go(func() {
				ready := cl.ready(m, time.Second)
				cl.mu.Lock()
				defer cl.mu.Unlock()
				e := &cl.edgeHealth[n]
				if ready {
					*e = edgeHealth{inRotation: true}
				} else if e.failures++; e.failures >= 2 {
					e.inRotation = false
				}
			})
		}
		all.Wait()
		select {
		case <-cl.lifetime.Done():
			return
		case <-t.C:
		}
	}
}

func (cl *cluster) ready(m *machine, wait time.Duration) bool {
	c := &http.Client{Timeout: wait, Transport: cl.httpClient.Transport}
	r, err := c.Get("http://" + m.address(cl.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	io.Copy(io.Discard, r.Body)
	return r.StatusCode == 200
}

// door is the machine that a client's connection is handed to (PROTOCOL, "How clients arrive").
func (cl *cluster) chooseEdge(p *clientUser, try int) *machine {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for far := range zones {
		var all, in []*machine
		for n, m := range cl.edge {
			if m.zone == (p.zone+far)%zones {
				all = append(all, m)
				if cl.edgeHealth[n].inRotation {
					in = append(in, m)
				}
			}
		}
		if len(in) == 0 {
			continue
		}
		if 2*len(in) < len(all) {
			in = all
		}
		return in[(p.number*7+try)%len(in)]
	}
	return cl.edge[(p.number+try)%len(cl.edge)] // none is in
}

// latencies is times in seconds that are looked through at the end.
type latencies struct {
	mu   sync.Mutex
	values []float64
}

func (s *latencies) add(v float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = append(s.values, v)
}

// quantile is the value that this quantile of a list is at or below; NaN where there is none.
func quantile(list []float64, of float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(len(list)-1, int(of*float64(len(list))))]
}
