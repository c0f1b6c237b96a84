package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Times of a connection.
const (
	HeartbeatInterval = 500 * time.Millisecond  // at least so often each side sends something
	IdleTimeout       = 2 * time.Second         // without a byte for so long a connection is at its end
	WriteTimeout      = 1500 * time.Millisecond // a write of one piece that takes longer ends the connection
)

const (
	maxWriteBytes     = 64 << 10  // most bytes in one write
	maxQueuedBytes    = 256 << 10 // bytes that may wait for a peer that does not read; who sends more waits too
	maxRetainedBuffer = 4 << 10   // a buffer that grew over this is not kept: a control node has thousands of connections
	maxBlockingCalls  = 32        // calls that may wait for a disk, of one connection
)

// Why a call or a frame failed.
var (
	ErrClosed  = errors.New("connection closed")
	ErrNoReply = errors.New("no answer in time")
)

// Conn is a connection that frames go over. Receive and Run are for one goroutine at a time, all else for any number.
type Conn struct {
	nc       net.Conn
	r        *bufio.Reader
	in       []byte
	maxFrame int

	out struct {
		sync.Mutex
		room    sync.Cond
		buf     []byte // waits for being written
		spare   []byte
		writing bool // one of the senders writes, for all
		err     error
	}
	calls struct {
		sync.Mutex
		last    uint64
		pending map[uint64]chan *Frame // nil: at its end
	}
	end  sync.Once
	done chan struct{}
}

// NewConn wraps a connection. Frames of up to MaxFrame are taken (see Bound).
func NewConn(nc net.Conn) *Conn {
	c := &Conn{nc: nc, maxFrame: MaxFrame, done: make(chan struct{})}
	c.r = bufio.NewReaderSize(deadlineReader{nc}, 1<<10) // of long frames, most goes past it
	c.out.room.L = &c.out
	c.calls.pending = map[uint64]chan *Frame{}
	return c
}

// SetMaxFrame sets the most bytes of a frame that is taken; MaxWhole between control nodes. Before the first Receive.
func (c *Conn) SetMaxFrame(most int) { c.maxFrame = most }

// deadlineReader is the reading side: each read that brings no byte for Quiet fails.
type deadlineReader struct{ net.Conn }

func (t deadlineReader) Read(b []byte) (int, error) {
	if err := t.Conn.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return 0, err
	}
	return t.Conn.Read(b)
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection. Calls that wait fail at once.
func (c *Conn) Close() error {
	var err error
	c.end.Do(func() {
		close(c.done)
		err = c.nc.Close()
		c.calls.Lock()
		c.calls.pending = nil
		c.calls.Unlock()
		c.out.Lock()
		if c.out.err == nil {
			c.out.err = ErrClosed
		}
		c.out.buf, c.out.spare = nil, nil
		c.out.room.Broadcast()
		c.out.Unlock()
	})
	return err
}

// Send sends a frame. While one sender writes, others only leave their frames with it, so that many small ones go in
// one write. Nil does not mean that the frame has arrived; ErrClosed, or the first error of the connection, that it
// will not.
func (c *Conn) Send(f *Frame) error {
	o := &c.out
	o.Lock()
	defer o.Unlock()
	if err := c.awaitRoom(); err != nil {
		return err
	}
	if o.buf == nil {
		o.buf, o.spare = o.spare, nil
	}
	buf, err := Append(o.buf, f)
	o.buf = buf
	if err != nil || o.writing {
		return err
	}
	return c.flush(nil)
}

// SendEncoded sends frames that Append has made, as Send does. They may be shared among connections; nobody may
// change them.
func (c *Conn) SendEncoded(frames []byte) error {
	o := &c.out
	o.Lock()
	defer o.Unlock()
	if err := c.awaitRoom(); err != nil {
		return err
	}
	if o.writing {
		o.buf = append(o.buf, frames...)
		return nil
	}
	return c.flush(frames)
}

// awaitRoom waits, with out held, until a peer that does not read has taken enough of what waits for it.
func (c *Conn) awaitRoom() error {
	o := &c.out
	for o.err == nil && o.writing && len(o.buf) >= maxQueuedBytes {
		o.room.Wait()
	}
	return o.err
}

// flush writes, with out held, these frames and whatever waits.
func (c *Conn) flush(first []byte) error {
	o := &c.out
	o.writing = true
	for o.err == nil && (len(first) > 0 || len(o.buf) > 0) {
		all, own := first, len(first) == 0
		if first = nil; own {
			all = o.buf
			o.buf, o.spare = o.spare, nil
		}
		o.Unlock()
		err := c.write(all)
		if err != nil {
			c.Close()
		}
		o.Lock()
		if err != nil {
			o.err = err
		}
		if o.err == nil && own && cap(all) <= maxRetainedBuffer {
			o.spare = all[:0]
		}
		o.room.Broadcast()
	}
	o.writing = false
	return o.err
}

func (c *Conn) write(all []byte) error {
	for len(all) > 0 {
		n := min(len(all), maxWriteBytes)
		if err := c.nc.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
			return err
		}
		if _, err := c.nc.Write(all[:n]); err != nil {
			return err
		}
		all = all[n:]
	}
	return nil
}

// Receive waits for the next frame. After an error the connection is closed.
func (c *Conn) Receive() (*Frame, error) {
	f, buf, err := read(c.r, c.maxFrame, c.in)
	if cap(buf) <= maxRetainedBuffer {
		c.in = buf
	} else {
		c.in = nil
	}
	if err != nil {
		c.Close()
		if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
			err = ErrClosed
		}
		return nil, err
	}
	return f, nil
}

// Call sends a frame as a call and waits for its answer, which Run must be there to take. The frame itself is left as
// it is and may go to others too. Its errors are ErrNoReply, and what ended the connection. Never call from within a
// handler of the same connection that is not for slow calls.
func (c *Conn) Call(timeout time.Duration, f *Frame) (*Frame, error) {
	answer := make(chan *Frame, 1)
	c.calls.Lock()
	if c.calls.pending == nil {
		c.calls.Unlock()
		return nil, ErrClosed
	}
	c.calls.last++
	call := *f
	call.Call = c.calls.last
	c.calls.pending[call.Call] = answer
	c.calls.Unlock()
	defer func() {
		c.calls.Lock()
		delete(c.calls.pending, call.Call)
		c.calls.Unlock()
	}()
	if err := c.Send(&call); err != nil {
		return nil, err
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case a := <-answer:
		return a, nil
	case <-c.done:
		return nil, ErrClosed
	case <-t.C:
		return nil, ErrNoReply
	}
}

// Run takes frames until the connection ends, and returns why. Answers go to the calls that wait for them; late ones
// are passed over. All others go to handle, and what it returns is sent back with the number of the call. Handle runs
// in the order of the frames and must not wait, but for calls that may need a disk (Prepare, Accept, Chosen, Since,
// Hold): each of those has a goroutine of its own, and they may overtake one another. While 32 of them are at work,
// nothing more is taken.
func (c *Conn) Run(handle func(*Frame) *Frame) error {
	defer c.Close()
	var room chan struct{}
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		if f.IsReply() {
			c.calls.Lock()
			answer := c.calls.pending[f.Call]
			delete(c.calls.pending, f.Call)
			c.calls.Unlock()
			if answer != nil {
				answer <- f
			}
			continue
		}
		if handle == nil {
			continue
		}
		if !f.mayBlock() {
			c.reply(f.Call, handle(f))
			continue
		}
		if room == nil {
			room = make(chan struct{}, maxBlockingCalls)
		}
		select {
		case room <- struct{}{}:
		case <-c.done:
			return ErrClosed
		}
		go func() {
			defer func() { <-room }()
			c.reply(f.Call, handle(f))
		}()
	}
}

// reply sends an answer; a connection that takes none has ended, which Run hears of by itself.
func (c *Conn) reply(call uint64, f *Frame) {
	if f == nil {
		return
	}
	a := *f
	a.Call = call
	_ = c.Send(&a)
}

// Dial connects to host:port, a number and no name, within the time.
func Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	d.SetMultipathTCP(false)
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen listens on host:port.
func Listen(addr string) (net.Listener, error) {
	l := net.ListenConfig{KeepAlive: -1}
	l.SetMultipathTCP(false)
	return l.Listen(context.Background(), "tcp4", addr)
}
