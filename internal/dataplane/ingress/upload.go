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

// maxDiscard is how many bytes of a body are discarded at most so that its connection can be kept: more is not worth
// the transfer.
const maxDiscard = 4 << 20

// continueAnswer has a client that waits for it send the body.
var continueAnswer = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// readBody reads the body of a request that is buffered, or the beginning of one that is streamed.
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

// enterBody enters a state in which a body is read: from now on its progress is tracked.
func (c *conn) enterBody(state clientconn.State) {
	c.enter(state)
	c.readingBody = true
}

// discardBody discards the rest of a body that was answered before its end, so that the next request can be read. It
// reports whether the body came to its end.
func (c *conn) discardBody(b *http1.Body) (complete bool) {
	c.SetReadDeadline(time.Time{})
	c.enterBody(clientconn.Discarding)
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDiscard))
	c.readingBody = false
	if err != nil || n == maxDiscard && !b.Ended() {
		return false
	}
	c.watch <- nil
	return true
}

// linger reads what a client still sends, for a while: closing a connection with unread bytes would reset it, and the
// answer might be lost.
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

// upload is the streamed body of a request, an upstream.Upload. The goroutine that forwards it calls Read; it has
// returned before the end of the attempt is reported.
type upload struct {
	conn     *conn
	ticket   *engine.Ticket
	body     *http1.Body
	expect   bool  // the client waits for 100 Continue before it sends the body
	consumed bool  // a part of it has been read
	err      error // the client did not send it to its end

	mu       sync.Mutex // guards what follows
	complete bool       // read to its end
	aborted  bool
}

// Read reads what has arrived from the client.
func (u *upload) Read(p []byte) (n int, err error) {
	if !u.consumed {
		u.begin()
	}
	n, err = u.body.Read(p)
	if errors.Is(err, io.EOF) && http1.HasForbiddenTrailer(u.body.Trailer(), u.conn.server.dialect.IngressFields) {
		// The last chunk has not been forwarded.
		err = fmt.Errorf("%w: a trailer states what belongs in the head", http1.ErrFraming)
	}
	if err == nil {
		return n, nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.complete = errors.Is(err, io.EOF)
	if !u.complete && !u.aborted { // else the abort is the cause, not the client
		u.err = err
	}
	return n, err
}

// begin prepares the first read.
func (u *upload) begin() {
	u.consumed = true
	u.ticket.ConsumeBody()
	u.conn.enterBody(clientconn.Uploading)
	if u.expect {
		u.conn.Write(continueAnswer) // where it fails, so will the read
	}
}

// Length returns what the client's head states, in bytes; -1: nothing.
func (u *upload) Length() int64 { return u.body.Length }

// AppendTrailer appends the last chunk, with the client's trailer.
func (u *upload) AppendTrailer(b []byte) []byte {
	return http1.AppendLastChunk(b, u.body.Trailer(), u.conn.server.dialect.IngressFields)
}

// Consumed reports whether a part of the body has been read.
func (u *upload) Consumed() bool { return u.consumed }

// Uploaded hands the connection to watchClient: the client may send its next request, or disconnect.
func (u *upload) Uploaded() {
	u.conn.readingBody = false
	u.conn.enter(clientconn.Deciding)
	u.ticket.BodyUploaded()
	u.conn.watch <- u.ticket
}

// Abort interrupts a Read, and any later one.
func (u *upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.complete {
		u.aborted = true
		u.conn.SetReadDeadline(pastDeadline)
	}
}
