package counterclient

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/decision"
)

const (
	maxPendingCalls  = 1024                   // unanswered calls on one connection; more are refused, to bound memory
	dialTimeout      = 250 * time.Millisecond // for one attempt to connect
	reconnectDelay   = 100 * time.Millisecond // after a failure, so that the counter is not dialed in a tight loop
	pingInterval     = 2 * time.Second        // idle time before a ping; the counter's idle timeout is 10 s or less
	silenceTimeout   = time.Second            // for a reply; a machine that fails does not close its connections
	readBufferLength = 1024                   // bytes; no valid line of the counter is longer
)

// pipeline keeps one connection in use. After a change of the counter's address, the earlier connections stay open
// until the calls on them are answered, for silenceTimeout at most.
type pipeline struct {
	client *Client

	mu          sync.Mutex    // guards the fields below, and the connections
	connections []*connection // the last one is in use, unless it is retired
	request     []byte        // reused buffer for the request being written
}

// current returns the connection for new calls, or nil if there is none.
func (p *pipeline) current() *connection {
	if n := len(p.connections); n > 0 && p.connections[n-1].usable() {
		return p.connections[n-1]
	}
	return nil
}

// close ends all connections when the client is closed.
func (p *pipeline) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		c.end("counter-closed")
	}
}

// add sends a call, or reports at once that it could not be sent.
func (p *pipeline) add(name string, amount float64, keep decision.Seconds) {
	p.mu.Lock()
	// Pending calls for this name at the old address are reported as reset first. Replies on two connections arrive in
	// any order, so a late reply there would be taken for the reply to this call.
	for p.abandonRetired(name) {
		p.mu.Unlock()
		p.client.onReply(name, decision.ConnectionReset, 0)
		p.mu.Lock()
	}
	c := p.current()
	if c == nil || len(c.calls) >= maxPendingCalls {
		p.mu.Unlock()
		p.client.onReply(name, decision.ConnectionRefused, 0)
		return
	}
	sent := &call{name: name, sentAt: time.Now()}
	sent.timer = time.AfterFunc(p.client.timeout, func() { p.onTimeout(sent) })
	p.request = appendAdd(p.request[:0], name, amount, keep)
	err := c.write(p.request, sent, p.client.timeout)
	sent.done = err != nil
	p.mu.Unlock()
	if err != nil {
		sent.timer.Stop()
		// The call was not written completely, so the counter does not add it.
		p.client.onReply(name, decision.ConnectionRefused, 0)
		c.conn.Close() // its reader fails, and reports the calls that were written
	}
}

// abandonRetired marks the oldest pending call for a name on the retired connections as done. It returns false if there
// is none.
func (p *pipeline) abandonRetired(name string) bool {
	for _, c := range p.connections {
		if c.retiredAt.IsZero() {
			continue
		}
		for _, pending := range c.calls {
			if !pending.done && pending.name == name {
				pending.done = true
				pending.timer.Stop()
				return true
			}
		}
	}
	return false
}

// onTimeout reports a call whose timeout has passed.
func (p *pipeline) onTimeout(c *call) {
	p.mu.Lock()
	first := c.finish()
	p.mu.Unlock()
	if first {
		p.client.onReply(c.name, decision.TimedOut, 0)
	}
}

// run keeps one connection to the present address open until the client is closed.
func (p *pipeline) run() {
	dialer := net.Dialer{Timeout: dialTimeout}
	for {
		addr, changed := p.client.address()
		ended := make(chan struct{})
		if conn, err := dialer.DialContext(p.client.ctx, "tcp", addr); err != nil {
			time.AfterFunc(reconnectDelay, func() { close(ended) })
		} else {
			c := p.activate(conn)
			p.client.goroutines.Go(func() { p.serve(c, ended) })
		}
		select {
		case <-p.client.ctx.Done():
			return
		case <-ended:
		case <-changed: // the next connection is opened while this one is still in use
		}
	}
}

// serve reads the replies on a connection until it ends, and closes ended when the next connection may be opened.
func (p *pipeline) serve(c *connection, ended chan<- struct{}) {
	defer close(ended)
	p.remove(c, p.readReplies(c))
	if c.replied {
		return
	}
	// A connection without a single reply is handled as a failed dial, because a counter that ends each connection at
	// once must not be dialed thousands of times a second.
	select {
	case <-p.client.ctx.Done():
	case <-time.After(reconnectDelay):
	}
}

// activate puts a new connection into use, and retires the one before it.
func (p *pipeline) activate(conn net.Conn) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	c := &connection{conn: conn, lastReply: now}
	for _, old := range p.connections {
		if old.retiredAt.IsZero() {
			old.retiredAt = now
			if len(old.calls) == 0 {
				old.end("counter-moved")
			}
		}
	}
	p.connections = append(p.connections, c)
	if p.client.ctx.Err() != nil { // the client was closed during the dial
		c.end("counter-closed")
	}
	return c
}

// check pings idle connections, so that the counter does not close them, and ends silent and retired ones. A connection
// is silent if both its oldest call and its last reply are older than silenceTimeout.
func (p *pipeline) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		silentFor := now.Sub(c.lastReply)
		switch {
		case c.broken:
		case !c.retiredAt.IsZero():
			if now.Sub(c.retiredAt) > silenceTimeout {
				c.end("counter-moved")
			}
		case len(c.calls) > 0 && now.Sub(c.calls[0].sentAt) > silenceTimeout && silentFor > silenceTimeout:
			c.end("counter-silent")
		case len(c.calls) == 0 && silentFor > pingInterval:
			p.request = append(p.request[:0], ping...)
			if c.write(p.request, &call{done: true, sentAt: now}, p.client.timeout) != nil {
				c.conn.Close()
			}
		}
	}
}

// remove removes a connection that has ended, and reports the calls on it as reset, because the counter may have added
// them.
func (p *pipeline) remove(c *connection, err error) {
	c.conn.Close()
	p.mu.Lock()
	p.connections = slices.DeleteFunc(p.connections, func(other *connection) bool { return other == c })
	lost := c.calls[:0]
	for _, pending := range c.calls {
		if pending.finish() {
			pending.timer.Stop()
			lost = append(lost, pending)
		}
	}
	c.calls = nil
	code := cmp.Or(c.closeCause, endCode(err))
	p.mu.Unlock()
	level.Info(p.client.log).Log("msg", "counter connection ended", "code", code, "lost", len(lost))
	for _, pending := range lost {
		p.client.onReply(pending.name, decision.ConnectionReset, 0)
	}
}

// endCode returns the log code for a connection that this side did not end.
func endCode(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return "counter-ended"
	case errors.Is(err, errProtocol):
		return "counter-bad-answer"
	default:
		return "counter-broken"
	}
}

// readReplies reads replies in the order of the calls, until the connection ends.
func (p *pipeline) readReplies(c *connection) error {
	r := bufio.NewReaderSize(c.conn, readBufferLength)
	for {
		received, err := readReply(r)
		if err != nil && !errors.Is(err, errProtocol) {
			return err
		}
		if err := p.handleReply(c, received, err); err != nil {
			return err
		}
	}
}

// handleReply reports the outcome of the oldest call of a connection. A malformed reply, for which err is set, still
// belongs to that call. It is reported as Failed, because the total is unknown.
func (p *pipeline) handleReply(c *connection, received reply, err error) error {
	p.mu.Lock()
	if len(c.calls) == 0 {
		p.mu.Unlock()
		return cmp.Or(err, fmt.Errorf("%w: no call is pending", errProtocol))
	}
	answered := c.next(time.Now())
	if err == nil && (answered.name == "") != received.pong {
		err = fmt.Errorf("%w: not of the kind that the oldest call expects", errProtocol)
	}
	if err != nil {
		received = reply{outcome: decision.Failed}
		c.broken = true
	}
	first := answered.finish()
	if len(c.calls) == 0 && !c.retiredAt.IsZero() {
		c.end("counter-moved")
	}
	p.mu.Unlock()
	if first {
		answered.timer.Stop()
		p.client.onReply(answered.name, received.outcome, received.total)
	}
	return err
}
