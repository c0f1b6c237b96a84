package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/http1"
)

// Guards against a streamed answer that stalls for long after its route's deadline, so that the client waits without a
// final answer. An answer that makes progress is forwarded to its end.
func TestStreamedAnswerAfterTheDeadline(t *testing.T) {
	const (
		chunks, chunkBytes = 40, 6_000 // more than is buffered
		deadline           = 2 * time.Second
	)
	for _, c := range []struct {
		name     string
		interval time.Duration // between two chunks
		stops    int           // number of chunks after which the server sends nothing more; 0: it sends all
	}{
		{"stalls at the beginning", time.Millisecond, 1},
		{"stalls near the deadline", 60 * time.Millisecond, 30},
		{"makes progress", 60 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			front, _ := startProxy(t, func(nc *net.TCPConn, r *http1.Reader) {
				request, err := r.Head()
				if err != nil || r.ReadBody(request) != nil {
					return
				}
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: %d\r\n\r\n",
					request.Header.Get(headerAttemptID), chunks*chunkBytes)
				for n := range chunks {
					if n == c.stops && n > 0 {
						break
					}
					io.WriteString(nc, strings.Repeat("x", chunkBytes))
					time.Sleep(c.interval)
				}
				r.Wait() // the connection stays open until the proxy closes it
			})
			nc := connect(t, front)
			nc.SetDeadline(time.Now().Add(20 * time.Second))
			began := time.Now()
			sendMutation(nc, "i1", 5000, 2)
			answer, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			_, err = io.Copy(io.Discard, answer.Body)
			took := time.Since(began)
			if complete := err == nil; complete != (c.stops == 0) {
				t.Errorf("after %v: got %v, want it complete: %v", took, err, c.stops == 0)
			}
			if c.stops > 0 && took > deadline+500*time.Millisecond {
				t.Errorf("the answer broke off %v after the request, want %v and half a second at most", took, deadline)
			}
		})
	}
}
