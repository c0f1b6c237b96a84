package ingress

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

// conn is one client's connection.
type conn struct {
	net.Conn
	server           *Server
	reader           *http1.Reader
	out              []byte
	http10, bodiless bool                // the request in hand came by HTTP/1.0; is a HEAD, whose answer has no body
	lingerFor        time.Duration       // something that was sent is not read: for so long the connection must not end under it
	readingBody      bool                // a body is being taken: only whoever takes it looks at this
	watch            chan *engine.Ticket // the request in hand, for the watcher
	watched          chan error          // the watcher's word: the next request begins, or the connection is over

	machine clientconn.Machine // guarded by the server's mutex
}

// end closes a connection from outside, the server's mutex held.
func (c *conn) close(code string) {
	cut := c.machine.Close(code)
	if cut.Reads {
		c.SetReadDeadline(expired)
	}
	if cut.Writes {
		c.SetWriteDeadline(expired)
	}
}

// to enters a state. It tells whether the connection goes on.
func (c *conn) enter(st clientconn.State) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	on, freed, err := c.machine.Enter(st, s.seconds(time.Now()), s.lifecycle.KeepOpen())
	if err != nil {
		s.log.WithField("code", "client-illegal").WithError(err).Error("a step that a connection's life does not have; it ends")
	}
	if freed {
		c.SetReadDeadline(time.Time{})
	}
	if st == clientconn.Idle && s.waiting > 0 {
		s.changed.Broadcast()
	}
	return on
}

// hears tells whether a connection that is to end as it becomes idle first waits for the watcher's word. It comes at once: the next request has
// begun, or nothing of it is here.
func (c *conn) awaitsPending() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.machine.ServesPending() {
		return false
	}
	if !c.requestPending() {
		c.SetReadDeadline(expired)
	}
	return true
}

// ended tells why the connection is being ended from outside, if it is.
func (c *conn) closeCode() string {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.machine.CloseCode()
}

// last tells whether the connection is to end with the next answer.
func (c *conn) closesAfterAnswer() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.machine.CloseAfterAnswer(len(s.conns) > s.maxConns-s.maxConns/crowdedFraction, s.lifecycle.KeepOpen())
}

// run serves one connection and leaves one line in the log when it ends.
func (c *conn) run() {
	code, served, err := "", 0, c.reader.Wait()
	watching := false
	for ; err == nil && code == ""; served++ {
		c.enter(clientconn.ReadingHead)
		var r *http1.Request
		if r, err = c.reader.Head(); err == nil {
			c.http10, c.bodiless = r.HTTP10, r.Method == "HEAD"
			if r.HasBody() {
				err = c.readBody(r)
			}
		}
		if err != nil {
			code = c.rejectMessage(err)
			break
		}
		if !watching {
			watching = true
			go c.watcher()
		}
		if code, err = c.serve(r); err == nil && code == "" {
			if !c.enter(clientconn.Idle) && !c.awaitsPending() {
				break
			}
			err = <-c.watched
		}
	}
	if c.lingerFor > 0 {
		c.linger(c.lingerFor)
	}
	c.Close()
	close(c.watch)
	s := c.server
	s.mu.Lock()
	delete(s.conns, c)
	s.changed.Broadcast()
	if why := c.machine.CloseCode(); why != "" {
		code, err = why, nil // the error is what ending it made
	}
	s.mu.Unlock()
	if code == "" {
		code = disconnectCode(err)
	}
	entry := s.log.WithFields(logrus.Fields{"code": code, "from": c.RemoteAddr().String(), "requests": served})
	if err != nil && !errors.Is(err, io.EOF) {
		entry = entry.WithError(err)
	}
	entry.Info("client connection ended")
}

// watcher looks out, while a request is in hand, for the client to leave or to send the next one.
func (c *conn) watcher() {
	for ticket := range c.watch {
		err := c.reader.Wait()
		if err != nil && ticket != nil {
			ticket.ClientDisconnected()
		}
		c.watched <- err
	}
}

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

// refuseMessage answers what is no request. The place where the next one would begin is lost.
func (c *conn) rejectMessage(err error) (code string) {
	p := RequestError{Status: 400}
	switch {
	case errors.Is(err, http1.ErrStartLine):
		p.Code, p.Text = "client-bad-request-line", "broken request line"
	case errors.Is(err, http1.ErrHeader):
		p.Code, p.Text = "client-bad-header", "broken header"
	case errors.Is(err, http1.ErrFraming):
		p.Code, p.Text = "client-bad-length", "broken length or transfer coding"
	case errors.Is(err, http1.ErrHeadTooLarge):
		p.Status, p.Code, p.Text = 431, "client-head-too-large", "request line and headers too large"
	case errors.Is(err, http1.ErrBodyTooLarge):
		p.Status, p.Code, p.Text = 413, "client-body-too-large", "body too large"
	case errors.Is(err, http1.ErrExpect):
		p.Status, p.Code, p.Text = 417, "client-bad-expectation", "an expectation that cannot be met"
	case c.closeCode() == clientconn.CodeSlowRequest:
		p.Status, p.Code, p.Text = 408, clientconn.CodeSlowRequest, "the request did not come to its end"
	default:
		return "" // the connection itself ended
	}
	c.answerError(&p, true)
	c.lingerFor = lingerShort
	return p.Code
}

// lastOf tells whether the connection ends with this answer.
func (c *conn) afterAnswer(r *http1.Request, err error) (string, error) {
	if errors.Is(err, errAnswerCut) {
		return "client-answer-cut", err
	}
	if err != nil {
		return "client-write-failed", err
	}
	switch unread := r.Streamed != nil && !r.Streamed.Ended(); {
	case unread && (closesConnection(r) || !c.discardBody(r.Streamed)):
		c.lingerFor = lingerLong
		return "client-body-unread", nil
	case r.Close:
		return "client-asked", nil
	}
	return "", nil
}

// pass passes on a quote server's whole answer. One to HEAD tells of a body that does not come.
func (c *conn) forward(head *http1.Response, body []byte, last bool) error {
	b := http1.AppendStatus(c.out[:0], head.Status)
	if !c.bodiless {
		b = http1.AppendLength(b, len(body))
	} else if length := head.Header.Get("Content-Length"); length != "" {
		b = http1.AppendField(b, "Content-Length", length)
	}
	return c.send(http1.AppendFields(b, head.Header, c.server.dialect.ServerFields), body, last)
}

// answer writes a whole answer at once.
func (c *conn) answer(status int, retryAfter decision.Seconds, body []byte, last bool) error {
	b := http1.AppendHead(c.out[:0], status, len(body))
	if retryAfter > 0 {
		b = http1.AppendSeconds(b, "Retry-After", retryAfter)
	}
	return c.send(b, body, last)
}

func (c *conn) answerError(p *RequestError, last bool) error {
	body := []byte(p.Code + ": " + p.Text + "\n")
	b := http1.AppendHead(c.out[:0], p.Status, len(body))
	b = http1.AppendField(b, "Content-Type", "text/plain")
	if p.Allow != "" {
		b = http1.AppendField(b, "Allow", p.Allow)
	}
	if p.RetryAfter > 0 {
		b = http1.AppendSeconds(b, "Retry-After", p.RetryAfter)
	}
	return c.send(b, body, last)
}

func (c *conn) send(b, body []byte, last bool) error {
	if b = c.endHead(b, last); !c.bodiless {
		b = append(b, body...)
	}
	if c.out = b; cap(b) > 8<<10 {
		c.out = nil // guards against many connections that each keep the room of a large answer
	}
	c.enter(clientconn.Answering)
	_, err := c.Write(b)
	return err
}

// endHead ends an answer's head, with Connection: close where it is the last on its connection.
func (c *conn) endHead(b []byte, last bool) []byte {
	if last || c.closesAfterAnswer() {
		b = http1.AppendField(b, "Connection", "close")
	} else if c.http10 {
		b = http1.AppendField(b, "Connection", "keep-alive")
	}
	return append(b, "\r\n"...)
}
