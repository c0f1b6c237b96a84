package linkfaults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const lookEvery = 20 * time.Millisecond

// Partition is the hosts that a process is cut off from, by direction.
type Partition struct{ To, From map[string]bool }

// Parse reads lines "to HOST", "from HOST" and "both HOST". Empty lines and those that begin with # say nothing.
func Parse(text string) (Partition, error) {
	c := Partition{map[string]bool{}, map[string]bool{}}
	n := 0
	for line := range strings.Lines(text) {
		n++
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		way := words[0]
		if len(words) != 2 || way != "to" && way != "from" && way != "both" {
			return c, fmt.Errorf("line %d: not \"to HOST\", \"from HOST\" or \"both HOST\"", n)
		}
		if way != "from" {
			c.To[words[1]] = true
		}
		if way != "to" {
			c.From[words[1]] = true
		}
	}
	return c, nil
}

// Injector opens connections that obey the file.
type Injector struct{ cuts atomic.Pointer[Partition] }

// NewInjector goes by a file, for as long as the process runs. The file is replaced whole; one that cannot be read later on changes nothing.
func NewInjector(path string) (*Injector, error) {
	read := func() (Partition, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return Partition{}, err
		}
		return Parse(string(text))
	}
	c, err := read()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	l := &Injector{}
	l.cuts.Store(&c)
	go func() {
		for range time.Tick(lookEvery) {
			if c, err := read(); err == nil {
				l.cuts.Store(&c)
			}
		}
	}()
	return l, nil
}

// Dialer returns a dialer that obeys the file, over another one; over a nil Links, that one.
func (l *Injector) Dialer(dial func(ctx context.Context, addr string) (net.Conn, error)) func(ctx context.Context, addr string) (net.Conn, error) {
	if l == nil {
		return dial
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		for cut := l.cuts.Load(); cut.To[host] || cut.From[host]; cut = l.cuts.Load() {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(lookEvery):
			}
		}
		nc, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc, links: l, host: host, closed: make(chan struct{})}, nil
	}
}

// conn is a connection to a host.
type conn struct {
	net.Conn
	links       *Injector
	host        string
	read, write atomic.Int64 // deadlines, as Unix nanoseconds; 0: none
	once        sync.Once
	closed      chan struct{}
}

// hold waits while the link is cut that way.
func (c *conn) hold(cut func(*Partition) bool, deadline *atomic.Int64) error {
	for cut(c.links.cuts.Load()) {
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(lookEvery):
		}
		if at := deadline.Load(); at != 0 && time.Now().UnixNano() > at {
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// Read takes what has come, unless it is held.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if late := c.hold(func(x *Partition) bool { return x.From[c.host] }, &c.read); late != nil {
		return 0, errors.Join(late, c.Conn.Close()) // what has come is lost with it
	}
	return n, err
}

// Write sends, once it may.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.hold(func(x *Partition) bool { return x.To[c.host] }, &c.write); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func (c *conn) SetDeadline(t time.Time) error {
	c.read.Store(nanos(t))
	c.write.Store(nanos(t))
	return c.Conn.SetDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.Store(nanos(t))
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.write.Store(nanos(t))
	return c.Conn.SetWriteDeadline(t)
}
