package ingress

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/http1"
)

// crowdedFraction is the part of the places (1/n) below which the server is crowded: an answer is then the last on its
// connection.
const crowdedFraction = 8

// pastDeadline is a deadline that has passed: it interrupts what is read or written.
var pastDeadline = time.Unix(1, 0)

// conn is one client's connection. Beside the machine, its fields belong to the goroutine of run.
type conn struct {
	net.Conn
	server      *Server
	reader      *http1.Reader
	out         []byte              // buffer of answers
	http10      bool                // the current request is of HTTP/1.0
	bodiless    bool                // the current request is a HEAD, whose answer has no body
	readingBody bool                // the progress of a body is tracked; used by the goroutine that reads it
	lingerFor   time.Duration       // to read on before the connection is closed, as the client still sends; 0: not
	watch       chan *engine.Ticket // the current request, for watchClient; nil: nobody watches for a disconnection
	watched     chan error          // the result of watchClient: the next request begins (nil), or the connection ended

	machine clientconn.Machine // guarded by the server's mutex
}

// close closes the connection from this side, the server's mutex held. A pending request is still answered.
func (c *conn) close(code string) {
	interrupt := c.machine.Close(code)
	if interrupt.Reads {
		c.SetReadDeadline(pastDeadline)
	}
	if interrupt.Writes {
		c.SetWriteDeadline(pastDeadline)
	}
}

// enter enters a state. It reports whether the connection stays open.
func (c *conn) enter(state clientconn.State) (open bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	open, resumeReads, err := c.machine.Enter(state, s.seconds(time.Now()), s.lifecycle.KeepOpen())
	if err != nil {
		level.Error(s.log).Log("msg", "illegal transition of a client connection, closing it",
			"code", "client-illegal", "error", err,
		)
	}
	if resumeReads {
		c.SetReadDeadline(time.Time{})
	}
	if state == clientconn.Idle && s.waiting > 0 {
		s.changed.Broadcast()
	}
	return open
}

// awaitsPending reports whether a connection that is to be closed as it becomes idle first waits for the result of
// watchClient. It comes at once: the next request has begun, or no byte of it has arrived.
func (c *conn) awaitsPending() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.machine.ServesPending() {
		return false
	}
	if !c.requestPending() {
		c.SetReadDeadline(pastDeadline)
	}
	return true
}

// closeCode returns the log code for which the connection is being closed from this side; "": it is not.
func (c *conn) closeCode() string {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.machine.CloseCode()
}

// closesAfterAnswer reports whether the next answer is the last on the connection.
func (c *conn) closesAfterAnswer() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	crowded := len(s.conns) > s.maxConns-s.maxConns/crowdedFraction
	return c.machine.CloseAfterAnswer(crowded, s.lifecycle.KeepOpen())
}

// Read reads from the client, counts the bytes, and records the progress of a body.
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

// Write writes to the client, and counts the bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.server.Traffic.Wrote(n)
	return n, err
}

// run serves the connection until it ends, and logs its end.
func (c *conn) run() {
	requests, code, err := c.serveRequests()
	if c.lingerFor > 0 {
		c.linger(c.lingerFor)
	}
	c.Close()
	close(c.watch) // ends watchClient
	if closeCode := c.server.remove(c); closeCode != "" {
		code, err = closeCode, nil // the error only follows from the close
	}
	if code == "" {
		code = disconnectCode(err)
	}
	if errors.Is(err, io.EOF) {
		err = nil // the client closed, as the code says
	}
	level.Info(c.server.log).Log("msg", "client connection ended",
		"code", code, "from", c.RemoteAddr(), "requests", requests, "error", err, // formatted only if they are written
	)
}

// remove removes a connection that has ended, and returns the log code for which it was closed from this side.
func (s *Server) remove(c *conn) (closeCode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.changed.Broadcast()
	return c.machine.CloseCode()
}

// serveRequests serves one request after another. It returns how many were served, without one whose answer the
// connection was closed after for a drain or for want of room, and why the connection ends: a log code, or an error.
func (c *conn) serveRequests() (served int, code string, err error) {
	if err := c.reader.Wait(); err != nil {
		return 0, "", err
	}
	for served = 0; ; served++ {
		r, err := c.readRequest()
		if err != nil {
			return served, c.rejectMessage(err), err
		}
		if served == 0 {
			go c.watchClient()
		}
		if code, err := c.serve(r); err != nil || code != "" {
			return served + 1, code, err
		}
		if !c.enter(clientconn.Idle) && !c.awaitsPending() {
			return served, "", nil
		}
		if err := <-c.watched; err != nil {
			return served + 1, "", err
		}
	}
}

// readRequest reads the next request, with its body as far as it is buffered.
func (c *conn) readRequest() (*http1.Request, error) {
	c.enter(clientconn.ReadingHead)
	r, err := c.reader.Head()
	if err != nil {
		return nil, err
	}
	c.http10, c.bodiless = r.HTTP10, r.Method == "HEAD"
	if !r.HasBody() {
		return r, nil
	}
	return r, c.readBody(r)
}

// watchClient waits, while a request is pending, for the client to disconnect or to send the next request. It runs
// until run closes the channel watch; closing the connection interrupts it.
func (c *conn) watchClient() {
	for ticket := range c.watch {
		err := c.reader.Wait()
		if err != nil && ticket != nil {
			ticket.ClientDisconnected()
		}
		c.watched <- err
	}
}

// skipWatch has nobody watch for the client's disconnection while an answer is written. After a streamed body,
// discardBody does so.
func (c *conn) skipWatch(r *http1.Request) {
	if r.Streamed == nil {
		c.watch <- nil
	}
}

// disconnectCode returns the log code of a connection that the client or the network ended.
func disconnectCode(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF):
		return "client-closed"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "client-cut-short"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "client-timeout"
	}
	return "client-reset"
}
