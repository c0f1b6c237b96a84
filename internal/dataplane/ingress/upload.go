package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstream"
)

// maxDiscard is how many bytes of an answered request's body are read and discarded at most to keep the connection
// open. For more bytes, a new connection is cheaper than the transfer.
const maxDiscard = 4 << 20

// continueAnswer is the interim answer for which a client with Expect: 100-continue waits before it sends the body.
var continueAnswer = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// readBody reads the body of a request into memory, or only its beginning if the body is streamed.
func (c *conn) readBody(r *http1.Request) error {
	if r.Expect && !r.TooLongToBuffer() {
		if _, err := c.Write(continueAnswer); err != nil {
			return err
		}
		r.Expect = false
	}
	c.enterBody(clientconn.ReadingBody)
	err := c.reader.ReadBody(r)
	c.readingBody = false
	return err
}

// enterBody enters a state in which a body is read. From now on Read tracks the progress of the body.
func (c *conn) enterBody(state clientconn.State) {
	c.enter(state)
	c.readingBody = true
}

// discardBody reads and discards the rest of the body of a request that was answered early, so that the next request
// can be read. It reports whether it reached the end of the body. There may be no rest: a server may not have accepted
// the last part that was read.
func (c *conn) discardBody(b *http1.Body) (complete bool) {
	c.SetReadDeadline(time.Time{})
	c.enterBody(clientconn.Discarding)
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDiscard))
	c.readingBody = false
	if err != nil || n == maxDiscard && !b.Ended() {
		return false
	}
	c.startWatch(nil)
	return true
}

// linger reads and discards what a client still sends, for a limited time. Closing a connection with unread bytes would
// reset it, and the client might lose the answer.
func (c *conn) linger(timeout time.Duration) {
	c.readingBody = false
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.enter(clientconn.Lingering)
	buf := upstream.ChunkPool.Get().(*[]byte)
	defer upstream.ChunkPool.Put(buf)
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		c.SetReadDeadline(time.Now().Add(lingerShort))
		if _, err := c.Conn.Read(*buf); err != nil {
			return
		}
	}
}

// upload is the streamed body of a request. It implements upstream.Upload. Read is called by the goroutine that
// forwards the body, which returns before the end of the attempt is reported.
type upload struct {
	conn     *conn
	ticket   *engine.Ticket
	body     *http1.Body
	expect   bool  // whether the client waits for 100 Continue before it sends the body
	consumed bool  // whether a part of the body has been read
	err      error // why the client did not send the complete body; nil: no such failure

	mu       sync.Mutex // guards the fields below
	complete bool       // whether the body was read to its end
	aborted  bool       // whether Abort interrupted the reads
}

// Read reads the bytes of the body that have arrived from the client. At the first call it asks a client that waits for
// 100 Continue to send the body.
func (u *upload) Read(p []byte) (n int, err error) {
	if !u.consumed {
		u.begin()
	}
	n, err = u.body.Read(p)
	if errors.Is(err, io.EOF) && http1.HasForbiddenTrailer(u.body.Trailer(), u.conn.server.dialect.IngressFields) {
		// The last chunk has not been forwarded yet, so the backend does not get a complete request.
		err = fmt.Errorf("%w: a trailer states what belongs in the head", http1.ErrFraming)
	}
	if err == nil {
		return n, nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.complete = errors.Is(err, io.EOF)
	if !u.complete && !u.aborted { // after an abort, the error is not the client's fault
		u.err = err
	}
	return n, err
}

// begin prepares the first read. It records that the body is being consumed, after which the request cannot be retried.
func (u *upload) begin() {
	u.consumed = true
	u.ticket.ConsumeBody()
	u.conn.enterBody(clientconn.Uploading)
	if u.expect {
		u.conn.Write(continueAnswer) // if this fails, the following read fails, too
	}
}

// Length returns the length of the body in bytes as stated in the client's head; -1 if it is not stated.
func (u *upload) Length() int64 { return u.body.Length }

// AppendTrailer appends the last chunk and the client's trailer.
func (u *upload) AppendTrailer(b []byte) []byte {
	return http1.AppendLastChunk(b, u.body.Trailer(), u.conn.server.dialect.IngressFields)
}

// Consumed reports whether a part of the body has been read.
func (u *upload) Consumed() bool { return u.consumed }

// Uploaded records that the body was forwarded completely. It passes the connection to watchClient, because the client
// may now send its next request or disconnect.
func (u *upload) Uploaded() {
	u.conn.readingBody = false
	u.resumeReads()
	u.conn.enter(clientconn.Deciding)
	u.ticket.BodyUploaded()
	u.conn.startWatch(u.ticket)
}

// resumeReads undoes an Abort that came at the moment in which the last bytes of the body were read.
func (u *upload) resumeReads() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.aborted {
		u.conn.SetReadDeadline(time.Time{})
	}
}

// Abort interrupts the current Read and makes later ones fail.
func (u *upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.complete {
		u.aborted = true
		u.conn.SetReadDeadline(pastDeadline)
	}
}
