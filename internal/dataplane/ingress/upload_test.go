package ingress

import (
	"errors"
	"fmt"
	"io"
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

// testUpload is an upload that counts the bytes read.
type testUpload struct {
	*upload
	bytesRead int
}

// startUpload returns the streamed body of a request that a client has sent completely, and both ends of the client's
// connection. The tests do what serveRequests and the forwarding goroutine would do.
func startUpload(t *testing.T, chunked bool) (u *testUpload, request *http1.Request, client net.Conn) {
	t.Helper()
	body := strings.Repeat("x", uploadedBytes)
	message := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", uploadedBytes, body)
	if chunked {
		message = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", uploadedBytes, body)
	}
	server, _ := newTestServer(decision.Settings{Gateways: 1, MaxAttempts: 1, Classes: []decision.Class{sendClass}},
		func() string { return "127.0.0.1:1" }, 2, 2)
	l := listen(t)
	client = dial(t, l)
	go fmt.Fprint(client, "POST /api/0 HTTP/1.1\r\n"+message)
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
	return &testUpload{upload: &upload{conn: c, ticket: ticket, body: request.Streamed}}, request, client
}

// read reads the body up to its last bytes, which wait in the buffer of the connection's reader.
func (u *testUpload) read(t *testing.T, left int) {
	t.Helper()
	buf := make([]byte, 7)
	for u.bytesRead < uploadedBytes-left {
		n, err := u.Read(buf[:min(len(buf), uploadedBytes-left-u.bytesRead)])
		if u.bytesRead += n; err != nil && !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
	}
	if left == 0 && !u.body.Ended() { // the end of a chunked body follows its last bytes
		if _, err := u.Read(buf); !errors.Is(err, io.EOF) {
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
	for _, chunked := range []bool{false, true} {
		u, _, client := startUpload(t, chunked)
		u.read(t, 1)
		u.Abort()
		u.read(t, 0)
		u.Uploaded()
		requireNextRequest(t, u.conn, client)
	}
}

// Guards against a client's connection that is never read again: the body was read completely, but its last part
// could not be written to a server that hangs, and the request was answered without it. The next request must be read,
// also if the upload was interrupted as its last bytes were read.
func TestUploadReadButNotWritten(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, aborted := range []bool{false, true} {
			u, request, client := startUpload(t, chunked)
			u.read(t, 1)
			if aborted {
				u.Abort()
			}
			u.read(t, 0)
			c := u.conn
			c.enter(clientconn.Answering)
			if code, err := c.afterAnswer(request, nil); code != "" || err != nil {
				t.Fatalf("the connection ends with %q, %v", code, err)
			}
			requireNextRequest(t, c, client)
		}
	}
}
