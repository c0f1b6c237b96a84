package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
)

// bigServer answers every request with a 200 of size bytes, written in small pieces, with a length or chunked.
func bigServer(t *testing.T, size int, chunked bool) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					w := bufio.NewWriterSize(c, 1000)
					if chunked {
						fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					} else {
						fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
					}
					for i := 0; i < size; i += 7001 {
						n := min(7001, size-i)
						if chunked {
							fmt.Fprintf(w, "%x\r\n", n)
						}
						w.Write(exchange.Body(i, n))
						if chunked {
							w.WriteString("\r\n")
						}
					}
					if chunked {
						w.WriteString("0\r\nX-Trailer: 1\r\n\r\n")
					}
					if w.Flush() != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// checker takes a body and tells whether it is that of exchange.Body(0, n), keeping none of it.
type checker struct {
	n     int
	wrong bool
}

func (c *checker) Write(p []byte) (int, error) {
	c.wrong = c.wrong || !bytes.Equal(p, exchange.Body(c.n, len(p)))
	c.n += len(p)
	return len(p), nil
}

// TestLongAnswersPassWhole: answers of 5 MB, with a length and chunked, reach the client unchanged, two on one
// connection, while what the process holds stays far below their size.
func TestLongAnswersPassWhole(t *testing.T) {
	const size = 5 << 20
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			addr := bigServer(t, size, chunked)
			log := logrus.New()
			log.SetOutput(io.Discard)
			settings := decision.Settings{Gateways: 1, MaxAttempts: 1,
				Classes: []decision.Class{{Name: "read", LatencyTarget: 20, Deadline: 30, Value: 1, Effect: decision.Idempotent}},
				Plans:   []decision.Plan{{Name: "plus", Rate: 1000, Burst: 1000, ValueWeight: 1}}}
			e := engine.New(decision.New(settings, 1), &settings, engine.NewClock())
			e.Start(nil)
			e.SetBackends(decision.Backends{Complete: true, List: []decision.Backend{{ID: "s-1", Serving: true, Size: 1}}})
			pool := upstream.New(func(string) (string, bool) { return addr, true },
				upstream.Limits{Connections: 4, ConnectTimeout: time.Minute, Keepalive: time.Minute}, log)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go pool.Run(ctx)
			s := New(&settings, e, pool, 8, log)
			s.Started()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go s.Serve(l)
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(time.Minute)) // only a failure waits this long
			r := bufio.NewReader(c)
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range 2 {
				fmt.Fprintf(c, "GET /api/0000000000000001 HTTP/1.1\r\nX-Request-ID: r%d\r\nX-Priority-Class: read\r\nX-Tier: plus\r\nX-Timeout: 30\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", i)
				a, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				check := &checker{}
				_, err = io.Copy(check, a.Body)
				a.Body.Close()
				if err != nil {
					t.Fatalf("answer %d: %v after %d bytes", i, err, check.n)
				}
				if a.StatusCode != 200 || check.n != size || check.wrong {
					t.Fatalf("answer %d: %d, %d bytes, wrong %v: not the quote server's", i, a.StatusCode, check.n, check.wrong)
				}
				if chunked != (len(a.TransferEncoding) > 0) || strings.Contains(a.Header.Get("Connection"), "close") {
					t.Errorf("answer %d: framing %v, connection %q", i, a.TransferEncoding, a.Header.Get("Connection"))
				}
			}
			var after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&after)
			if grew := int64(after.HeapInuse) - int64(before.HeapInuse); grew > size/4 {
				t.Errorf("the heap grew by %d bytes over two answers of %d", grew, size)
			}
		})
	}
}
