package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
	"mulleinrouter/internal/logging/logtest"
)

// startProxy starts a proxy with a single server. The function serve implements the server: it is called for each
// connection, which is closed when it returns.
func startProxy(t *testing.T, serve func(nc *net.TCPConn, r *http1.Reader)) (front string, server *ingress.Server) {
	t.Helper()
	listen := func() net.Listener {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	back, client := listen(), listen()
	go func() {
		for {
			nc, err := back.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				serve(nc.(*net.TCPConn), http1.NewReader(nc))
			}()
		}
	}()
	translator := translatorFor(
		t, strings.Replace(
			testConfig, `"weighted":[{"backend":"s1","share":30},{"backend":"s2","share":70}]`, `"backend":"s2"`, 1,
		), true, true,
	)
	s := &decision.Settings{
		Gateways:            1,
		MaxAttempts:         2,
		MayCancel:           true,
		FinishNonIdempotent: true,
		CapacityInSlots:     true,
	}
	e := engine.New(decision.New(*s, 1), s, engine.NewClock())
	e.Start(nil)
	e.SetBackends(decision.Backends{List: []decision.Backend{{ID: "i-2", Group: "s2", Serving: true, Size: 9}}})
	pool := upstream.New(func(string) (string, bool) { return back.Addr().String(), true },
		upstream.Limits{Connections: 99, ConnectTimeout: time.Second, Keepalive: time.Minute}, logtest.Discard())
	pool.Dialect = serverDialect
	server = ingress.New(s, e, pool, 99, logtest.Discard())
	server.SetDialect(translator.dialect())
	server.Started()
	go server.Serve(client)
	t.Cleanup(func() { server.Drain(time.Second, 0) })
	return client.Addr().String(), server
}

// postRequest sends a request that must not run twice, and reads as much of its answer as arrives.
func postRequest(
	t *testing.T, nc net.Conn, r *bufio.Reader, id string,
) (status int, header http.Header, body string, err error) {
	t.Helper()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(nc, mutationFormat, id, 5000, 2, "hi")
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, nil, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, a.Header, string(b), err
}

// endsWithConnection marks an answer without a length. Its body is what arrived before the connection was closed; if
// the connection was reset, it has no complete body.
const endsWithConnection = "\x00"

// TestTruncatedAnswersNeverLookComplete closes or resets the server's connection after each byte of its answer. The
// client must not get a success, unless it can recognize the answer as truncated. After the last byte it must get the
// complete answer.
func TestTruncatedAnswersNeverLookComplete(t *testing.T) {
	const ownHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n"
	for name, c := range map[string]struct{ answer, body string }{
		"with a length": {ownHead + "Content-Length: 5\r\n\r\nhello", "hello"},
		"in chunks": {
			ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nX-Sum: 1\r\n\r\n",
			"hello",
		},
		"after an interim answer": {"HTTP/1.1 100 Continue\r\n\r\n" + ownHead + "Content-Length: 2\r\n\r\nhi", "hi"},
		"after another request's answer": {
			strings.Replace(ownHead, "{id}", "i-other", 1) + "Content-Length: 1\r\n\r\nx" + ownHead +
				"Content-Length: 2\r\n\r\nhi",
			"hi",
		},
		"without a body":            {ownHead + "Content-Length: 0\r\n\r\n", ""},
		"until the connection ends": {ownHead + "\r\nhello", endsWithConnection},
	} {
		t.Run(name, func(t *testing.T) {
			front, _ := startProxy(t, func(nc *net.TCPConn, r *http1.Reader) {
				q, err := r.Head()
				if err != nil || r.ReadBody(q) != nil {
					return
				}
				id := q.Header.Get(headerAttemptID) // the letter selects close or reset, the number the length
				cut, _ := strconv.Atoi(id[1:5])
				io.WriteString(nc, strings.ReplaceAll(c.answer, "{id}", id)[:cut])
				if id[0] == 'r' {
					nc.SetLinger(0)
				}
			})
			length := len(strings.ReplaceAll(c.answer, "{id}", "c0000"))
			for cut := range length + 1 {
				for _, reset := range []bool{false, true} {
					id := fmt.Sprintf("%s%04d", map[bool]string{false: "c", true: "r"}[reset], cut)
					nc, err := net.Dial("tcp4", front)
					if err != nil {
						t.Fatal(err)
					}
					status, header, body, err := postRequest(t, nc, bufio.NewReader(nc), id)
					nc.Close()
					complete, want := cut == length, c.body
					if c.body == endsWithConnection {
						var began bool
						_, want, began = strings.Cut(strings.ReplaceAll(c.answer, "{id}", id)[:cut], "\r\n\r\n")
						complete = began && !reset
					}
					switch success := err == nil && status/100 == 2; {
					case success && (!complete || body != want || header.Get("X-Server-Seal") != "s"):
						t.Errorf("cut after %d bytes, reset %v: a success with %q, want none with less than %q",
							cut, reset, body, want)
					case !success && complete && !reset: // a reset may discard the last bytes
						t.Errorf("complete answer: the client got %d, %v, want a success", status, err)
					case err == nil && status != 200 && status != 502:
						t.Errorf("cut after %d bytes, reset %v: it may have run, and the client got %d, "+
							"want 200 or 502",
							cut, reset, status)
					}
				}
			}
		})
	}
}

// TestAnswersReachTheirOwnClient sends two requests in sequence to a server that sends wrong answers instead of the
// right one or in addition to it: the previous answer, a second answer, the rejection of another request, an answer
// without an ID. A client must get its own answer or a failure, and must never be told that an executed request was not
// executed. No request may run twice.
func TestAnswersReachTheirOwnClient(t *testing.T) {
	success := func(id string) string {
		return fmt.Sprintf(
			"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id,
		)
	}
	rejection := func(id string) string {
		return fmt.Sprintf(
			"HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id,
		)
	}
	const anonymous = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name string
		// answer returns what the server sends; before and last are the ID and the answer of the previous request on
		// the connection.
		answer func(id, before, last string) string
		status int
		runs   int
	}{
		{"its own", func(id, _, _ string) string { return success(id) }, 200, 1},
		{
			"the previous answer first",
			func(id, before, _ string) string { return success(before) + success(id) }, 200, 1,
		},
		{"the previous response repeated first", func(id, _, last string) string { return last + success(id) }, 200, 1},
		{"two of its own", func(id, _, _ string) string { return success(id) + success(id) }, 200, 1},
		{
			"the rejection of the previous request first",
			func(id, before, _ string) string { return rejection(before) + success(id) }, 200, 1,
		},
		{"only the previous answer, and the end", func(_, before, _ string) string { return success(before) }, 502, 1},
		{
			"five others first",
			func(id, before, _ string) string { return strings.Repeat(success(before), 5) + success(id) }, 502, 1,
		},
		{"its own and a rejection", func(id, _, _ string) string { return success(id) + anonymous }, 200, 1},
		{"its rejection", func(id, _, _ string) string { return rejection(id) }, 503, 0},
		{"a rejection without an ID", func(string, string, string) string { return anonymous }, 503, 0},
		{"its rejection, twice", func(id, _, _ string) string { return rejection(id) + rejection(id) }, 503, 0},
		{
			"no ID",
			func(id, _, _ string) string { return strings.Replace(success(id), "X-Attempt-Id", "X-Other", 1) },
			502, 1,
		},
		{
			"no seal",
			func(id, _, _ string) string { return strings.Replace(success(id), "X-Server-Seal", "X-Other", 1) },
			502, 1,
		},
	}
	for _, first := range cases {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			for _, second := range cases {
				var mu sync.Mutex
				runs := map[string]int{}
				front, _ := startProxy(t, func(nc *net.TCPConn, r *http1.Reader) {
					for before, last := "i-none", ""; ; {
						q, err := r.Head()
						if err != nil || r.ReadBody(q) != nil {
							return
						}
						id, tr := q.Header.Get(headerAttemptID), first
						if id[0] == 's' {
							tr = second
						}
						answer := tr.answer(id, before, last)
						mu.Lock()
						runs[id] += tr.runs
						mu.Unlock()
						if io.WriteString(nc, answer); strings.HasSuffix(tr.name, "the end") {
							return
						}
						before, last = id, answer
					}
				})
				nc, err := net.Dial("tcp4", front)
				if err != nil {
					t.Fatal(err)
				}
				r := bufio.NewReader(nc)
				for i, tr := range []struct {
					id     string
					status int
				}{{"f", first.status}, {"s", second.status}} {
					for attempt := 0; ; attempt++ {
						id := fmt.Sprint(tr.id, attempt)
						status, _, body, err := postRequest(t, nc, r, id)
						mu.Lock()
						ran := runs[id]
						mu.Unlock()
						if i == 1 && status == 503 && ran == 0 && tr.status != 503 && err == nil && attempt < 50 {
							continue // the proxy avoids the server after a rejection, so the client retries
						}
						claimsNotExecuted := status == 429 || status == 503
						wrong := status != tr.status || status == 200 && body != id
						if err != nil || wrong || ran > 1 || claimsNotExecuted && ran > 0 {
							t.Errorf("%q after %q: the client of %s got %d with %q (%v), it ran %d times",
								second.name, first.name, id, status, body, err, ran)
						}
						break
					}
				}
				nc.Close()
			}
		})
	}
}

// TestPendingRequestIsServedWhileDraining sends a client's next request while the answer to the previous one is still
// being sent, and drains the proxy meanwhile. The client was not asked to close the connection, so the proxy must serve
// the request and close the connection after it.
func TestPendingRequestIsServedWhileDraining(t *testing.T) {
	is := is.New(t)
	finish := make(chan bool)
	front, server := startProxy(t, func(nc *net.TCPConn, r *http1.Reader) {
		for {
			q, err := r.Head()
			if err != nil || r.ReadBody(q) != nil {
				return
			}
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", q.Header.Get(headerAttemptID))
			<-finish
			io.WriteString(nc, "1\r\nb\r\n0\r\n\r\n")
		}
	})
	nc, err := net.Dial("tcp4", front)
	is.NoErr(err)
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	ask := func(id string) {
		fmt.Fprintf(nc, mutationFormat, id, 9000, 2, "hi")
	}
	r := bufio.NewReader(nc)
	ask("i1")
	a, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.True(!a.Close) // the client may send another request
	ask("i2")
	go server.Drain(time.Minute, 0)
	is.Equal(exchange.Until(func() bool { return server.Phase() == decision.Closing }), "")
	close(finish)
	b, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(b), "ab")
	a, err = http.ReadResponse(r, nil)
	is.NoErr(err) // the request was not dropped
	b, err = io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(b), "ab")
	is.Equal(a.Header.Get("X-Attempt-Id"), "i2")
	is.True(a.Close)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}
