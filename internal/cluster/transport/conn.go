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
	// KeepaliveInterval is the longest time between two updates of a source. A subscriber sends a renewal after an
	// update, but not after each one if they are closer together, so its renewals may be up to twice as far apart.
	KeepaliveInterval = 500 * time.Millisecond
	IdleTimeout       = 2 * time.Second         // without a byte received for this long, a connection ends
	WriteTimeout      = 1500 * time.Millisecond // a single write that takes longer ends the connection
)

const (
	readBufferBytes = 1 << 10 // buffer of the reader, bytes; most of a long frame bypasses it
	// maxRetainedBuffer is the largest buffer that is kept after use, in bytes. Larger ones are dropped, because a
	// control node has thousands of connections.
	maxRetainedBuffer = 4 << 10
	maxWriteBytes     = 64 << 10  // most bytes in a single write, which must end within WriteTimeout
	maxQueuedBytes    = 256 << 10 // bytes in the queue at which callers of Send begin to wait for the peer to read
)

// Conn is a connection that carries frames. Receive and Run may be called by one goroutine at a time, all other methods
// by any number of goroutines.
type Conn struct {
	nc       net.Conn
	reader   *bufio.Reader
	readBuf  []byte // used by the receiving goroutine only
	maxFrame int

	sender  sender
	pending pendingCalls

	closeOnce sync.Once
	done      chan struct{}
}

// NewConn wraps a network connection, which the Conn owns from then on. Frames of up to MaxFrame are received; see
// SetMaxFrame.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{nc: nc, maxFrame: MaxFrame, done: make(chan struct{})}
	c.reader = bufio.NewReaderSize(deadlineReader{nc}, readBufferBytes)
	c.sender.init(nc, c.Close)
	c.pending.replies = map[uint64]chan *Frame{}
	return c
}

// SetMaxFrame sets the length of the longest frame that is accepted, in bytes. Between control nodes it is
// MaxControlFrame. It must be called before the first Receive.
func (c *Conn) SetMaxFrame(maxBytes int) { c.maxFrame = maxBytes }

// deadlineReader fails a read if no byte arrives for IdleTimeout.
type deadlineReader struct{ net.Conn }

func (d deadlineReader) Read(b []byte) (int, error) {
	if err := d.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return 0, err
	}
	return d.Conn.Read(b)
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection. Pending calls and sends fail at once.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.done)
		err = c.nc.Close()
		c.pending.close()
		c.sender.close()
	})
	return err
}

// Send sends a frame. While one caller writes, other callers only add their frames to the queue, so that many small
// frames are sent in one write. A nil error doesn't mean that the frame has arrived. ErrClosed, or the error that ended
// the connection, means that it will not arrive.
func (c *Conn) Send(f *Frame) error { return c.sender.send(f) }

// SendEncoded sends frames that were encoded by Append, as Send does. The frames may be sent on several connections.
// They must not be changed afterwards.
func (c *Conn) SendEncoded(frames []byte) error { return c.sender.sendEncoded(frames) }

// Receive waits for the next frame. After an error the connection is closed. ErrClosed means that one of the sides has
// closed it.
func (c *Conn) Receive() (*Frame, error) {
	f, buf, err := readFrame(c.reader, c.maxFrame, c.readBuf)
	if c.readBuf = nil; cap(buf) <= maxRetainedBuffer {
		c.readBuf = buf
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

// Dial connects to an address within the timeout. The address is host:port with a numeric host.
func Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	d.SetMultipathTCP(false)
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen listens on an address of the form host:port.
func Listen(addr string) (net.Listener, error) {
	l := net.ListenConfig{KeepAlive: -1}
	l.SetMultipathTCP(false)
	return l.Listen(context.Background(), "tcp4", addr)
}
