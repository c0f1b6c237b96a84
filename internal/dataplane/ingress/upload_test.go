package ingress

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

// uploadedBytes is the length of the bodies of these tests, more than is buffered.
const uploadedBytes = 100_000

// startUpload returns the streamed body of a request that a client has sent completely, and both ends of the client's
// connection. The tests do what serveRequests and the forwarding goroutine would do.
func startUpload(t *testing.T) (u *upload, request *http1.Request, client net.Conn) {
	t.Helper()
	server, _ := newTestServer(decision.Settings{Gateways: 1, MaxAttempts: 1, Classes: []decision.Class{sendClass}},
		func() string { return "127.0.0.1:1" }, 2, 2)
	l := listen(t)
	client = dial(t, l)
	go fmt.Fprintf(client, "POST /api/0 HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", uploadedBytes,
		strings.Repeat("x", uploadedBytes))
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := server.newConn(nc)
	t.Cleanup(func() {
		nc.Close()
		close(c.watch)
	})
	request, err = c.readRequest()
	if err != nil || request.Streamed == nil {
		t.Fatalf("got %+v, %v, want a streamed body", request, err)
	}
	go c.watchClient()
	c.enter(clientconn.Deciding)
	ticket := server.engine.Submit(decision.Request{Class: "send", TimeLeft: 30}, func() {})
	return &upload{conn: c, ticket: ticket, body: request.Streamed}, request, client
}

// read reads the body up to its last bytes, which wait in the buffer of the connection's reader.
func (u *upload) read(t *testing.T, left int64) {
	t.Helper()
	for buf := make([]byte, 7); u.body.Remaining() > left; {
		if _, err := u.Read(buf[:min(int64(len(buf)), u.body.Remaining()-left)]); err != nil && left > 0 {
			t.Fatal(err)
		}
	}
}

// requireNextRequest checks that the connection awaits the client's next request.
func requireNextRequest(t *testing.T, c *conn, client net.Conn) {
	t.Helper()
	select {
	case err := <-c.watchResult:
		t.Fatalf("the wait for the next request ended before it was sent: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	fmt.Fprint(client, "GET /ready HTTP/1.1\r\n\r\n")
	select {
	case err := <-c.watchResult:
		if err != nil {
			t.Errorf("the next request is not read: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("nothing reads the next request")
	}
}

// Guards against a client that is taken for disconnected, and gets no answer: an upload is interrupted at the moment in
// which the last bytes of the body are read, and is completed nevertheless.
func TestUploadAbortedWithItsLastBytes(t *testing.T) {
	u, _, client := startUpload(t)
	u.read(t, 1)
	u.Abort()
	u.read(t, 0)
	u.Uploaded()
	requireNextRequest(t, u.conn, client)
}
