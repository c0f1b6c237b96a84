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
	"mulleinrouter/internal/decision"
)

// take reads the body of a request that fits, or the beginning of one that does not: that one is the upload's.
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

// goOn tells a client that waits for it to send the body.
var continueAnswer = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// paces enters a state in which a body comes: from now on the sweep looks at how.
func (c *conn) enterBody(st clientconn.State) {
	c.enter(st)
	c.readingBody = true
}

// Read reads from the client, and tells the pace of a body that is being taken.
func (c *conn) Read(p []byte) (int, error) {
	if !c.readingBody {
		n, err := c.Conn.Read(p)
		c.server.Traffic.Read(n)
		return n, err
	}
	s := c.server
	s.mu.Lock()
	c.machine.AwaitBody(s.seconds(time.Now()))
	s.mu.Unlock()
	n, err := c.Conn.Read(p)
	s.Traffic.Read(n)
	s.mu.Lock()
	c.machine.BodyReceived(s.seconds(time.Now()), n)
	s.mu.Unlock()
	return n, err
}

// Write writes to the client, and counts.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.server.Traffic.Wrote(n)
	return n, err
}

// seconds is a moment on the server's own clock.
func (s *Server) seconds(at time.Time) decision.Seconds { return at.Sub(s.base).Seconds() }

// unwatched has nobody look out for the client's leaving while an answer is made. Behind a long body, skip does.
func (c *conn) skipWatch(r *http1.Request) {
	if r.Streamed == nil {
		c.watch <- nil
	}
}

// skipMost is the most of a body that is read off so that its connection can be kept: more is not worth its transport.
const maxDiscard = 4 << 20

// ends tells whether an answer is the last on its connection for its request's sake: the client asks for it, or too much
// of a body would have to be read off first.
func closesConnection(r *http1.Request) bool {
	return r.Close || r.Streamed != nil && !r.Streamed.Ended() && r.Streamed.Length >= 0 && r.Streamed.Remaining() > maxDiscard
}

// skip reads off what is left of a body that was answered before it was up: the next request begins behind it.
func (c *conn) discardBody(b *http1.Body) (whole bool) {
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

// upload is a long body on its way from the client to a quote server. Its Read is called by the goroutine that sends it
// on, which is over before the attempt is told to have ended.
type upload struct {
	conn     *conn
	ticket   *engine.Ticket
	body     *http1.Body
	expect   bool // the client waits for a word before it sends it
	consumed bool
	err      error // the client did not send it to its end

	mu                sync.Mutex
	complete, aborted bool
}

func (u *upload) Read(p []byte) (n int, err error) {
	if !u.consumed {
		u.consumed = true
		u.ticket.ConsumeBody()
		u.conn.enterBody(clientconn.Uploading)
		if u.expect {
			u.conn.Write(continueAnswer) // where it fails, the body does not come
		}
	}
	n, err = u.body.Read(p)
	if errors.Is(err, io.EOF) && http1.HasForbiddenTrailer(u.body.Trailer(), u.conn.server.dialect.IngressFields) {
		err = fmt.Errorf("%w: a trailer states what belongs in the head", http1.ErrFraming) // the last chunk has not gone out
	}
	if err == nil {
		return n, nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete = errors.Is(err, io.EOF); !u.complete && !u.aborted { // else the error is the abort's, not the client's
		u.err = err
	}
	return n, err
}

// Length is what the client's head tells.
func (u *upload) Length() int64 { return u.body.Length }

// AppendLast ends a chunked one, with the client's trailer.
func (u *upload) AppendTrailer(b []byte) []byte {
	return http1.AppendLastChunk(b, u.body.Trailer(), u.conn.server.dialect.IngressFields)
}

// Spent tells whether something of it has been read.
func (u *upload) Consumed() bool { return u.consumed }

// Arrived hands the connection to the watcher: the client's next request may come, or the client may leave.
func (u *upload) Uploaded() {
	u.conn.readingBody = false
	u.conn.enter(clientconn.Deciding)
	u.ticket.BodyUploaded()
	u.conn.watch <- u.ticket
}

// Abort ends a Read that is out.
func (u *upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.complete {
		u.aborted = true
		u.conn.SetReadDeadline(expired)
	}
}

var expired = time.Unix(1, 0)

// linger reads off what a client still sends, for a while: closing with unread bytes would reset the connection, and the
// answer might be lost with it.
func (c *conn) linger(most time.Duration) {
	c.readingBody = false
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.enter(clientconn.Lingering)
	buf := upstream.ChunkPool.Get().(*[]byte)
	defer upstream.ChunkPool.Put(buf)
	for end := time.Now().Add(most); time.Now().Before(end); {
		c.SetReadDeadline(time.Now().Add(lingerShort))
		if _, err := c.Conn.Read(*buf); err != nil {
			return
		}
	}
}
