package upstream

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
	"mulleinrouter/internal/logging/logtest"
)

// outcomeNames are the names that the scripts in testdata use for the outcomes.
var outcomeNames = map[decision.Outcome]string{
	decision.Failed:            "Failed",
	decision.Succeeded:         "Done",
	decision.Rejected:          "Busy",
	decision.TimedOut:          "TimedOut",
	decision.ConnectionRefused: "Refused",
	decision.ConnectionReset:   "Reset",
	decision.Cancelled:         "Cancelled",
	decision.NotSent:           "Skipped",
}

// meaningWithID returns the meaning of an answer in a dialect whose answers have the ID of their request.
func meaningWithID(m *Message, a *http1.Response) AnswerMeaning {
	switch id := a.Header.Get("X-Request-Id"); {
	case id != "" && id != m.ID:
		return Foreign
	case a.Header.Get("X-Not-Processed") != "":
		return NotExecuted
	case a.Status == 200:
		return Served
	}
	return Failed
}

// TestOutcomes plays the scripts in testdata: every row of the protocol's table of outcomes, and the conditions under
// which connections are used again.
func TestOutcomes(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "server", "other")
		addr, serving := p.Addr("server"), true
		pool := New(func(string) (string, bool) { return addr, serving },
			Limits{Connections: 1, ConnectTimeout: time.Minute, Keepalive: time.Minute}, logtest.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		results := make(chan Result, 1)
		dialed := make(chan net.Conn, 10)
		dial := pool.dial
		pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			dialed <- nc
			return nc, err
		}
		p.Hooks["do"] = func(body string) string {
			m := &Message{Method: "POST", Target: "/api/0?q=1", ID: "7", Body: []byte(body)}
			go func() { results <- pool.Do(ctx, "s-1", m, time.Now().Add(time.Minute)) }()
			return body
		}
		p.Hooks["time-runs-out"] = func(string) string { // makes the deadline of the oldest connection's attempt pass
			(<-dialed).SetReadDeadline(pastDeadline)
			return ""
		}
		p.Hooks["ids"] = func(string) string { // sets a dialect whose answers have the ID of their request
			pool.Dialect = Dialect{IDField: "X-Request-Id", Meaning: meaningWithID}
			return ""
		}
		p.Hooks["hold"] = func(string) string { // holds back the last byte until the server has closed the connection
			pool.awaitReset = func(c *conn) { exchange.Until(func() bool { return c.stale(addr) != "" }) }
			return ""
		}
		p.Hooks["no-hold"] = func(string) string {
			pool.awaitReset = func(*conn) {}
			return ""
		}
		p.Hooks["ended"] = func(string) string { // waits until the server's close of the idle connection has arrived
			return exchange.Until(func() bool {
				pool.mu.Lock()
				defer pool.mu.Unlock()
				c, ok := pool.idle.Peek("s-1")
				return ok && c.stale(addr) == "upstream-ended"
			})
		}
		p.Hooks["outcome"] = func(string) string {
			r := <-results
			body := r.Body
			if r.Stream != nil { // the body is too long to be buffered, or its length is unknown
				body, _ = io.ReadAll(r.Stream)
				r.Stream.Close()
			}
			return strings.TrimSpace(outcomeNames[r.Outcome] + " " + string(body))
		}
		var streamed Result
		p.Hooks["streams"] = func(string) string { // waits until the head of a streamed answer has been read
			streamed = <-results
			return outcomeNames[streamed.Outcome]
		}
		p.Hooks["rest"] = func(string) string { // reads the rest of that answer
			body, err := io.ReadAll(streamed.Stream)
			streamed.Stream.Close()
			if err != nil {
				return "cut off"
			}
			return "complete " + string(body)
		}
		p.Hooks["cancel"] = func(string) string {
			cancel()
			return ""
		}
		p.Hooks["leaving"] = func(string) string {
			serving = false
			return ""
		}
		p.Hooks["moved"] = func(string) string {
			addr = p.Addr("other")
			return ""
		}
		p.Hooks["sweep-later"] = func(later string) string {
			d, _ := time.ParseDuration(later)
			pool.sweep(time.Now().Add(d))
			return later
		}
		p.Hooks["open"] = func(string) string {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return strconv.Itoa(pool.idle.Open())
		}
		p.Play(script)
	})
}

// If a server begins to drain while a connection to it is being opened, nothing may be sent to it.
func TestServerDrainsDuringDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	lookups := 0
	pool := New(func(string) (string, bool) {
		lookups++
		return l.Addr().String(), lookups <= 2 // the first two lookups come before the dial, the third after it
	}, Limits{Connections: 1, ConnectTimeout: time.Minute, Keepalive: time.Minute}, logtest.Discard())
	request := &Message{Method: "GET", Target: "/", ID: "1"}
	got := pool.Do(context.Background(), "s-1", request, time.Now().Add(time.Minute))
	if diff := cmp.Diff(Result{Outcome: decision.NotSent}, got); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(c); len(b) > 0 || err != nil {
		t.Errorf("the server got %q with %v, want nothing", b, err)
	}
}

// A dial that ends because the client disconnected or the deadline passed must not count as a refused connection: it
// says nothing about the server.
func TestCancelledDuringDial(t *testing.T) {
	for _, tc := range []struct {
		name       string
		left       time.Duration // time until the deadline
		disconnect bool
		want       decision.Outcome
	}{
		{"client disconnected", time.Minute, true, decision.NotSent},
		{"deadline passed", time.Millisecond, false, decision.NotSent},
		{"connection refused", time.Minute, false, decision.ConnectionRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pool := New(func(string) (string, bool) { return "h:1", true }, Limits{Connections: 1}, logtest.Discard())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			pool.dial = func(dialCtx context.Context, _, _ string) (net.Conn, error) {
				if tc.want == decision.ConnectionRefused {
					return nil, syscall.ECONNREFUSED
				}
				if tc.disconnect {
					cancel()
				}
				<-dialCtx.Done()
				return nil, dialCtx.Err()
			}
			got := pool.Do(ctx, "s-1", &Message{Method: "GET", Target: "/", ID: "1"}, time.Now().Add(tc.left))
			if diff := cmp.Diff(Result{Outcome: tc.want}, got); diff != "" || pool.idle.Open() != 0 {
				t.Errorf("%d connections counted as open, want none; result (-want +got):\n%s", pool.idle.Open(), diff)
			}
		})
	}
}

// A write that ends because the client disconnected must not count as a refused connection either. The socket buffers
// are too small for the request, so that the write blocks.
func TestClientDisconnectsDuringWrite(t *testing.T) {
	smallBuffer := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
	}}
	l, err := smallBuffer.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	pool := New(func(string) (string, bool) { return l.Addr().String(), true },
		Limits{Connections: 1, ConnectTimeout: time.Minute}, logtest.Discard())
	dial := pool.dial
	pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err == nil {
			err = nc.(*net.TCPConn).SetWriteBuffer(1)
		}
		return nc, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result := make(chan Result)
	go func() {
		m := &Message{Method: "POST", Target: "/", ID: "1", Body: make([]byte, 64<<10)}
		result <- pool.Do(ctx, "s-1", m, time.Now().Add(time.Minute))
	}()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil { // the write has begun
		t.Fatal(err)
	}
	cancel()
	if diff := cmp.Diff(Result{Outcome: decision.NotSent}, <-result); diff != "" || pool.idle.Open() != 0 {
		t.Errorf("%d connections counted as open, want none; result (-want +got):\n%s", pool.idle.Open(), diff)
	}
}
