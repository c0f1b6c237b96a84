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
	connectMost = time.Second // for a new connection to come up
	repeats     = 2           // further tries of a client
	atOnceMost  = 1500        // requests of all clients that are out
	keepMost    = 14 * time.Second
)

// clientUser is a client: it stands in a zone, and may keep a connection.
type clientUser struct {
	number int
	zone   int

	mu   sync.Mutex
	idle *kept
}

// kept is a connection between two requests.
type kept struct {
	c    *net.TCPConn
	in   *bufio.Reader
	edge *machine
	till time.Time
	last *invariants.Attempt
}

// extra looks for bytes behind the last answer, and whether the connection has been closed.
func (k *kept) extra() (surplus, closed bool) {
	if k.in.Buffered() > 0 {
		return true, false
	}
	raw, err := k.c.SyscallConn()
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

// drop closes a kept connection, and says what came on it.
func (f *cluster) drop(k *kept) {
	if k == nil {
		return
	}
	if surplus, _ := k.extra(); surplus {
		f.recorder.update(func() { k.last.Surplus = true })
	}
	k.c.Close()
}

// order is a request of a client, over all its tries.
type order struct {
	class  *class
	route  *route
	key    string
	person *clientUser
	probe  *machine // it goes there, and once only
	pooled bool
	began  time.Time
}

// classes' arrivals: each is a Poisson stream.
func (f *cluster) stream(c *class, rng *rand.Rand) {
	next := time.Now()
	for {
		rate := c.rate * f.o.Load
		hot := f.hot.Load()
		if hot != nil {
			rate *= 1 + hot.weight*(hotTimes-1)
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			f.pause(wait)
		} else {
			next = time.Now() // we cannot keep up; do not catch up either
		}
		if f.ctx.Err() != nil {
			return
		}
		t := f.drawTenant(rng, hot)
		routes := f.liveRoutes(c)
		r := routes[rng.IntN(len(routes))]
		key := t.key(rng)
		o := &order{
			class:  c,
			route:  r,
			key:    key,
			person: f.users[rng.IntN(len(f.users))],
			pooled: rng.IntN(2) == 0,
			began:  time.Now(),
		}
		if r.public && rng.IntN(2) == 0 {
			o.key = ""
		}
		seed := rng.Uint64()
		if f.out.Add(1) > atOnceMost {
			f.out.Add(-1)
			f.recorder.note("clients are overloaded: a request was not sent")
			continue
		}
		f.clients.Go(func() {
			defer f.out.Add(-1)
			f.order(o, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// order carries out a request with its tries, as PROTOCOL says under "Answers".
func (f *cluster) order(o *order, rng *rand.Rand) {
	c := o.class
	backoff := 30 * time.Millisecond
	for n := 0; ; n++ {
		left := c.deadline - time.Since(o.began)
		t, advice := f.try(o, n, left, rng)
		left = c.deadline - time.Since(o.began)
		promise := t.End == invariants.Answered && (t.Status == 408 || t.Status == 421 || t.Status == 429 || t.Status == 503)
		final := t.End == invariants.Answered &&
			(t.Status/100 == 2 || slices.Contains([]int{400, 401, 403, 404, 413, 431}, t.Status))
		again := !final && (!c.once || promise || t.End == invariants.NotConnected)
		wait := backoff + time.Duration(rng.Int64N(int64(backoff)))
		backoff *= 2
		if advice > 0 {
			wait = min(advice, left/3)
		}
		if !again || o.probe != nil || n == repeats || left-wait < 20*time.Millisecond || f.world.Err() != nil {
			f.recorder.update(func() { t.Last = true })
			return
		}
		f.pause(wait)
	}
}

// try makes one try; advice is what Retry-After says.
func (f *cluster) try(
	o *order,
	n int,
	left time.Duration,
	rng *rand.Rand,
) (t *invariants.Attempt, advice time.Duration) {
	c := o.class
	t = &invariants.Attempt{
		ID:            fmt.Sprintf("%016x", rng.Uint64()),
		Class:         c.name,
		AtMostOnce:    c.once,
		Probe:         o.probe != nil,
		Method:        http.MethodGet,
		Host:          o.route.host,
		Target:        fmt.Sprintf("%s%x", o.route.prefix, rng.Uint32N(1<<20)),
		Key:           o.key,
		TimeLeft:      left.Seconds(),
		FirstSent:     f.at(o.began),
		LatencyTarget: c.aim.Seconds(),
	}
	if rng.IntN(4) == 0 {
		t.Target += "?q=" + strconv.Itoa(rng.IntN(100))
	}
	var text []byte
	if c.once {
		t.Method = http.MethodPost
		text = pattern(t.ID, rng.IntN(3000))
	}
	t.Body = sum(text)
	var k *kept
	if o.pooled && n == 0 && o.probe == nil {
		k = f.pooledOf(o.person)
	}
	edge := o.probe
	if edge == nil && k == nil {
		edge = f.edgeAddress(o.person, n)
	}
	defer f.recorder.try(t)
	if k == nil {
		t.Edge = edge.name
		conn, err := net.DialTimeout("tcp4", edge.at(f.ports.front), min(connectMost, left))
		if err != nil {
			t.Sent, t.Done, t.End = f.now(), f.now(), invariants.NotConnected
			return t, 0
		}
		k = &kept{c: conn.(*net.TCPConn), in: bufio.NewReader(conn), edge: edge}
	}
	t.Edge, k.last = k.edge.name, t
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
	closing := !o.pooled || o.probe != nil
	if closing && rng.IntN(2) == 0 {
		b.WriteString("Connection: close\r\n")
	}
	switch {
	case text != nil && rng.IntN(3) == 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		b.Write(chunks(text))
	case text != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(text))
		b.Write(text)
	default:
		b.WriteString("\r\n")
	}
	k.c.SetDeadline(time.Now().Add(left))
	_, err := k.c.Write(b.Bytes())
	t.Sent = f.now()
	if err == nil {
		advice, err = f.read(k, t)
	} else {
		t.End = failed(err)
	}
	if t.End == invariants.Truncated && t.Status == 0 && f.unread(k.c, err) {
		t.End = invariants.NotConnected
	}
	t.Done = f.now()
	if err != nil || t.End != invariants.Answered || closing || k.till.IsZero() {
		if err == nil && t.End == invariants.Answered {
			f.drop(k)
		} else {
			k.c.Close()
		}
		return t, advice
	}
	o.person.mu.Lock()
	old := o.person.idle
	o.person.idle = k
	o.person.mu.Unlock()
	f.drop(old)
	return t, advice
}

// failed is how a try ended whose connection failed.
func failed(err error) invariants.Ending {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return invariants.TimedOut
	}
	return invariants.Truncated
}

// unread tells whether the machine closed the connection without having read the request: its kernel resets such a
// connection. It may say so only after the end of the stream.
func (f *cluster) unread(c *net.TCPConn, err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	f.pause(5 * time.Millisecond)
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err = c.Write([]byte("\r\n"))
	return err != nil
}

// own notes an answer of the system's own.
func (f *cluster) own(status int, text []byte) {
	line, _, _ := strings.Cut(string(text), "\n")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[fmt.Sprintf("%d %.100s", status, line)]++
}

// read reads an answer. The connection may be kept until k.till; zero: it may not.
func (f *cluster) read(k *kept, t *invariants.Attempt) (advice time.Duration, err error) {
	k.till = time.Time{}
	if _, err := k.in.Peek(1); err != nil {
		t.End = failed(err)
		return 0, err
	}
	r, err := http.ReadResponse(k.in, &http.Request{Method: t.Method})
	if err != nil {
		ended := errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
		if t.End = failed(err); t.End == invariants.Truncated && !ended {
			t.End = invariants.Malformed
		}
		return 0, err
	}
	t.Status = r.StatusCode
	t.AnswerID, t.Seal = r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Server-Seal")
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.End = failed(err)
		return 0, err
	}
	t.Sum = sum(text)
	if t.Seal == "" && !t.Probe {
		f.own(t.Status, text)
	}
	if s := r.Header.Get("Retry-After"); s != "" {
		if v, err := strconv.ParseFloat(s, 64); err == nil && v > 0 {
			advice = time.Duration(min(v, 60) * float64(time.Second))
		}
	}
	if r.Close {
		return advice, nil
	}
	span := keepMost
	if _, rest, ok := strings.Cut(r.Header.Get("Keep-Alive"), "timeout="); ok {
		digits, _, _ := strings.Cut(rest, ",")
		if s, err := strconv.ParseFloat(strings.TrimSpace(digits), 64); err == nil {
			span = min(span, time.Duration(max(0, s-0.2)*float64(time.Second)))
		}
	}
	if span > 0 {
		k.till = time.Now().Add(span)
	}
	return advice, nil
}

// pooledOf is the connection that a client keeps, if it may still be used.
func (f *cluster) pooledOf(p *clientUser) *kept {
	p.mu.Lock()
	k := p.idle
	p.idle = nil
	p.mu.Unlock()
	if k == nil {
		return nil
	}
	if surplus, closed := k.extra(); surplus || closed || time.Now().After(k.till) {
		f.drop(k)
		return nil
	}
	return k
}

// entry is what the platform knows of a machine that takes clients.
type entry struct {
	misses int
	in     bool
}

// watch asks each machine every second whether it is ready, as the platform does.
func (f *cluster) watch() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		var all sync.WaitGroup
		for n, m := range f.edge {
			all.Go(func() {
				ready := f.ready(m, time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				e := &f.entries[n]
				if ready {
					*e = entry{in: true}
				} else if e.misses++; e.misses >= 2 {
					e.in = false
				}
			})
		}
		all.Wait()
		select {
		case <-f.world.Done():
			return
		case <-t.C:
		}
	}
}

func (f *cluster) ready(m *machine, wait time.Duration) bool {
	c := &http.Client{Timeout: wait, Transport: f.control.Transport}
	r, err := c.Get("http://" + m.at(f.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	io.Copy(io.Discard, r.Body)
	return r.StatusCode == 200
}

// door is the machine that a client's connection is handed to (PROTOCOL, "How clients arrive").
func (f *cluster) edgeAddress(p *clientUser, try int) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for far := range zones {
		var all, in []*machine
		for n, m := range f.edge {
			if m.zone == (p.zone+far)%zones {
				all = append(all, m)
				if f.entries[n].in {
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
	return f.edge[(p.number+try)%len(f.edge)] // none is in
}

// span is times in seconds that are looked through at the end.
type span struct {
	mu   sync.Mutex
	list []float64
}

func (s *span) add(v float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, v)
}

// part is the value that this part of a list is at or below; NaN where there is none.
func part(list []float64, of float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(len(list)-1, int(of*float64(len(list))))]
}
