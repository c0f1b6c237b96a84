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

// crowdedFraction sets when the server is crowded: when less than 1/crowdedFraction of maxConns is free. While it is,
// connections are closed after their next answer. The answer says so, and the client connects elsewhere; closing an
// idle connection instead might lose a request that the client sends at the same moment.
const crowdedFraction = 8

// pastDeadline is a deadline in the past. Setting it on a connection interrupts blocked reads or writes.
var pastDeadline = time.Unix(1, 0)

// conn is the connection of a client. Its fields belong to the goroutine that executes run, except for machine. While a
// request is pending or the next one is awaited, reader is used by watchClient, or by the goroutine that reads a
// streamed body.
type conn struct {
	net.Conn
	server      *Server
	reader      *http1.Reader
	out         []byte        // buffer for answers
	http10      bool          // whether the current request is an HTTP/1.0 request
	bodiless    bool          // whether the current request is a HEAD request, whose answer has no body
	readingBody bool          // whether Read tracks the progress of a body; used by the goroutine that reads the body
	lingerFor   time.Duration // how long to discard input before the connection is closed; 0: it is closed at once
	// watch passes the ticket of the current request to watchClient, which reports to it that the client disconnected.
	// A nil ticket means that only the next request is awaited.
	watch       chan *engine.Ticket
	watchResult chan error // results of watchClient: nil when the next request begins, or why the connection ended
	watched     bool       // whether startWatch was called for the current request

	machine clientconn.Machine // guarded by the server's mutex
}

// close starts closing the connection from this side. A pending request is still answered. The server's mutex must be
// held.
func (c *conn) close(code string) {
	interrupt := c.machine.Close(code)
	if interrupt.Reads {
		c.SetReadDeadline(pastDeadline)
	}
	if interrupt.Writes {
		c.SetWriteDeadline(pastDeadline)
	}
}

// enter moves the connection's state machine to a state. It reports whether the connection stays open.
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

// awaitsPending reports whether a connection that is to be closed when it becomes idle must first wait for the result
// of watchClient, since a request that has begun to arrive is still served. The wait is short: if no byte of a request
// has arrived, awaitsPending interrupts the read of watchClient.
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

// closeCode returns the log code for which the connection is being closed from this side; "" if it is not.
func (c *conn) closeCode() string {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.machine.CloseCode()
}

// closesAfterAnswer reports whether the connection closes after the next answer.
func (c *conn) closesAfterAnswer() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	crowded := len(s.conns) > s.maxConns-s.maxConns/crowdedFraction
	return c.machine.CloseAfterAnswer(crowded, s.lifecycle.KeepOpen())
}

// Read reads from the client and counts the bytes. While a body is read, it also records the body's progress, by which
// clients that send too slowly are detected.
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

// Write writes to the client and counts the bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.server.Traffic.Wrote(n)
	return n, err
}

// run serves the connection until it ends, and logs why it ended.
func (c *conn) run() {
	requests, code, err := c.serveRequests()
	if c.lingerFor > 0 {
		c.linger(c.lingerFor)
	}
	c.Close()
	close(c.watch) // ends watchClient
	if closeCode := c.server.remove(c); closeCode != "" {
		code, err = closeCode, nil // the error is only a consequence of the close
	}
	if code == "" {
		code = disconnectCode(err)
	}
	if errors.Is(err, io.EOF) {
		err = nil // the log code says already that the client closed the connection
	}
	level.Info(c.server.log).Log("msg", "client connection ended",
		// The values are formatted only if the line is written.
		"code", code, "from", c.RemoteAddr(), "requests", requests, "error", err,
	)
}

// remove removes a connection that has ended. It returns the log code for which the connection was closed from this
// side; "" if it was not.
func (s *Server) remove(c *conn) (closeCode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.changed.Broadcast()
	return c.machine.CloseCode()
}

// serveRequests serves one request after another. It returns why the connection ends, as a log code or as an error, and
// how many requests were served. That number omits the last request if the connection was closed after its answer
// because of a drain or at the limit of connections.
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
		if err := <-c.watchResult; err != nil {
			return served + 1, "", err
		}
		c.watched = false
	}
}

// updateLimits sets the limits in force for the next request.
func (c *conn) updateLimits() {
	d := &c.server.dialect
	if d.MaxBody != nil {
		c.reader.MaxRequestBody = d.MaxBody()
	}
	if d.MaxHead != nil {
		c.reader.MaxHead = d.MaxHead()
	}
	if d.Timeouts != nil {
		timeouts := d.Timeouts()
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.machine.SetTimeouts(timeouts)
	}
}

// readRequest reads the next request, with its body if that is short enough to be buffered.
func (c *conn) readRequest() (*http1.Request, error) {
	c.updateLimits()
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

// watchClient waits, for each ticket from the channel watch, until the client disconnects or sends the next request. It
// runs until run closes the channel. Closing the connection interrupts its read.
func (c *conn) watchClient() {
	for ticket := range c.watch {
		err := c.reader.Wait()
		if err != nil && ticket != nil {
			ticket.ClientDisconnected()
		}
		c.watchResult <- err
	}
}

// startWatch passes the connection to watchClient, which reports a disconnection to the ticket; nil means that only the
// next request is awaited. It is called once for each request after which the connection stays open: when the request
// is submitted or rejected or, if its body is streamed, once the body has been forwarded or discarded.
func (c *conn) startWatch(ticket *engine.Ticket) {
	c.watched = true
	c.watch <- ticket
}

// skipWatch makes watchClient await the next request, without a ticket to which a disconnection would be reported. For
// a request with a streamed body discardBody does this, once the body has been read.
func (c *conn) skipWatch(r *http1.Request) {
	if r.Streamed == nil {
		c.startWatch(nil)
	}
}

// disconnectCode returns the log code for a connection that the client or the network ended.
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
