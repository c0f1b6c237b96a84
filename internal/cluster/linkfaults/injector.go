package linkfaults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// pollInterval is the interval at which the file is read again, and at which a blocked connection checks the partition.
const pollInterval = 20 * time.Millisecond

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Injector wraps dialers so that a partition blocks their connections. A nil *Injector blocks nothing.
type Injector struct{ partition atomic.Pointer[Partition] }

// NewInjector returns an Injector that rereads the file at path until the context ends. The file must be replaced as a
// whole. If it cannot be read or parsed later, the partition remains unchanged. For an empty path the Injector is nil.
func NewInjector(ctx context.Context, path string) (*Injector, error) {
	if path == "" {
		return nil, nil
	}
	first, err := load(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	in := &Injector{}
	in.partition.Store(&first)
	go in.follow(ctx, path)
	return in, nil
}

// follow rereads the file until the context ends.
func (in *Injector) follow(ctx context.Context, path string) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if next, err := load(path); err == nil {
				in.partition.Store(&next)
			}
		}
	}
}

// Dialer returns a dialer that opens connections with dial and lets the partition block them. A new connection waits
// while either direction is blocked, because its handshake needs both. For a nil Injector it returns dial.
func (in *Injector) Dialer(dial DialFunc) DialFunc {
	if in == nil {
		return dial
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		for p := in.partition.Load(); p.To[host] || p.From[host]; p = in.partition.Load() {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(pollInterval):
			}
		}
		netConn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: netConn, injector: in, host: host, closed: make(chan struct{})}, nil
	}
}

// conn is a connection to a host that the partition may block.
type conn struct {
	net.Conn
	injector      *Injector
	host          string
	readDeadline  atomic.Int64 // Unix nanoseconds; 0 means none
	writeDeadline atomic.Int64 // Unix nanoseconds; 0 means none
	closeOnce     sync.Once
	closed        chan struct{}
}

// awaitUnblocked waits while the link is blocked in a direction. It returns an error if the connection is closed or the
// deadline passes first.
func (c *conn) awaitUnblocked(blocked func(*Partition) bool, deadline *atomic.Int64) error {
	for blocked(c.injector.partition.Load()) {
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(pollInterval):
		}
		if at := deadline.Load(); at != 0 && time.Now().UnixNano() > at {
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// Read returns received data, once the link from the host is not blocked.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if blocked := c.awaitUnblocked(func(p *Partition) bool { return p.From[c.host] }, &c.readDeadline); blocked != nil {
		return 0, errors.Join(blocked, c.Conn.Close()) // the data read is lost, so the connection must end
	}
	return n, err
}

// Write sends data, once the link to the host is not blocked.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitUnblocked(func(p *Partition) bool { return p.To[c.host] }, &c.writeDeadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection, and ends reads and writes that wait.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// unixNanos returns a deadline in Unix nanoseconds; 0 means none.
func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.Store(unixNanos(t))
	c.writeDeadline.Store(unixNanos(t))
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(unixNanos(t))
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(unixNanos(t))
	return c.Conn.SetWriteDeadline(t)
}
