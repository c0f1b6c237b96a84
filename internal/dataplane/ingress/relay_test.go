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

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
)

// writeSize is how many bytes a longAnswers server writes at a time. It divides no buffer size, so that the writes do
// not coincide with buffer boundaries.
const writeSize = 7001

// longAnswers returns a function that answers each request of a connection with a 200 whose body is
// exchange.Body(0, size). It writes the body in small parts, either with a Content-Length or chunked.
func longAnswers(size int, chunked bool) func(net.Conn) {
	return func(nc net.Conn) {
		reader := bufio.NewReader(nc)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			w := bufio.NewWriterSize(nc, 1000)
			writeLongAnswer(w, size, chunked)
			if w.Flush() != nil {
				return
			}
		}
	}
}

// writeLongAnswer writes one answer of longAnswers. Write errors are returned by the next Flush of w.
func writeLongAnswer(w *bufio.Writer, size int, chunked bool) {
	if chunked {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
	}
	for i := 0; i < size; i += writeSize {
		n := min(writeSize, size-i)
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
}

// bodyChecker checks that the n bytes written to it are exchange.Body(0, n), without storing them.
type bodyChecker struct {
	bytes int
	wrong bool
}

func (bc *bodyChecker) Write(p []byte) (int, error) {
	bc.wrong = bc.wrong || !bytes.Equal(p, exchange.Body(bc.bytes, len(p)))
	bc.bytes += len(p)
	return len(p), nil
}

// heapInUse returns the size of the heap in bytes after a garbage collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}

// checkLongAnswer sends a request and checks that its answer is the backend's, on a connection that stays open.
func checkLongAnswer(t *testing.T, client net.Conn, reader *bufio.Reader, id, size int, chunked bool) {
	t.Helper()
	fmt.Fprintf(client, "GET /api/0000000000000001 HTTP/1.1\r\nX-Request-ID: r%d\r\nX-Priority-Class: read\r\n"+
		"X-Tier: plus\r\nX-Timeout: 30\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", id)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	check := &bodyChecker{}
	_, err = io.Copy(check, answer.Body)
	answer.Body.Close()
	if err != nil {
		t.Fatalf("answer %d: %v after %d bytes", id, err, check.bytes)
	}
	if answer.StatusCode != 200 || check.bytes != size || check.wrong {
		t.Fatalf("answer %d: status %d, %d bytes, wrong %v; want 200 and the backend's %d bytes",
			id, answer.StatusCode, check.bytes, check.wrong, size)
	}
	if got := len(answer.TransferEncoding) > 0; got != chunked {
		t.Errorf("answer %d: transfer coding %v, want chunked: %v", id, answer.TransferEncoding, chunked)
	}
	if connection := answer.Header.Get("Connection"); strings.Contains(connection, "close") {
		t.Errorf("answer %d: Connection: %q, want none", id, connection)
	}
}

// Two answers of 5 MiB on one connection, with a Content-Length or chunked, must reach the client unchanged. The heap
// may grow by at most a quarter of an answer, so that the test fails if the server buffers complete answers.
func TestLongAnswersAreForwardedUnchanged(t *testing.T) {
	const size = 5 << 20
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			backend := listen(t)
			go acceptEach(backend, longAnswers(size, chunked))
			server, pool := newTestServer(decision.Settings{
				Gateways:    1,
				MaxAttempts: 1,
				Classes:     []decision.Class{readClass},
				Plans:       []decision.Plan{plusPlan},
			}, backend.Addr().String, 4, 8)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go pool.Run(ctx)
			listener := listen(t)
			go server.Serve(listener)
			client := dial(t, listener)
			client.SetDeadline(time.Now().Add(time.Minute)) // only a failure waits this long
			reader := bufio.NewReader(client)
			before := heapInUse()
			for id := range 2 {
				checkLongAnswer(t, client, reader, id, size, chunked)
			}
			if growth := heapInUse() - before; growth > size/4 {
				t.Errorf("the heap grew by %d bytes over two answers of %d, want %d at most", growth, size, size/4)
			}
		})
	}
}
