package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstreamconn"
)

// Upload is a request's body that is passed on as it comes: it is sent to one server at the most.
type Upload interface {
	// Read reads what has come; with the last of it, or behind it, io.EOF. It is called by one goroutine at a time.
	Read(p []byte) (int, error)
	// Length is what the client's head tells; -1: not told, it goes out chunked.
	Length() int64
	// AppendLast ends a chunked one, with the client's trailer.
	AppendTrailer(b []byte) []byte
	// Spent tells whether something of it has been read: it cannot be sent to another server.
	Consumed() bool
	// Arrived tells that it has gone out whole.
	Uploaded()
	// Abort has a Read that is out, and any later one, end at once. It may be called from another goroutine.
	Abort()
}

var (
	errClientUpload = errors.New("the client's body did not come to its end")
	errServerUpload = errors.New("the server took no more of the body")
)

// early is how long an answer may take to show after a write has failed: a server that refuses a body answers, and ends
// the connection under what is still being written.
const earlyAnswerWait = 100 * time.Millisecond

// upload writes a request with a long body, and listens meanwhile. It returns once the body has gone out whole (err nil)
// or the attempt has ended before that; answered: an answer has begun to come, whole or not.
func (p *Pool) upload(ctx context.Context, c *conn, m *Message, head []byte, until time.Time) (answered bool, err error) {
	stop := context.AfterFunc(ctx, func() {
		c.SetDeadline(expired)
		m.Upload.Abort()
	})
	defer stop()
	if _, err := c.Write(head); err != nil {
		return false, fmt.Errorf("%w: %w", errServerUpload, err)
	}
	// Nothing of the body is gone yet: a server that has forgotten the connection shows it now, and the request goes
	// to another.
	p.hold(c, m.AtMostOnce)
	if code := c.stale(c.addr); code != "" || ctx.Err() != nil {
		return false, fmt.Errorf("%w: %w: %s", errServerUpload, errConnectionEnded, code)
	}
	if _, serving := p.lookup(c.backend); !upstreamconn.MayRelease(serving, ctx.Err() != nil) {
		return false, errDraining
	}
	pumped := make(chan error, 1)
	go func() {
		err := pump(c, m.Upload)
		switch {
		case err == nil:
		case errors.Is(err, errServerUpload):
			c.SetReadDeadline(time.Now().Add(earlyAnswerWait))
		default:
			c.SetReadDeadline(expired)
		}
		pumped <- err
	}()
	waited := c.reader.Wait() // for an answer, the end of the connection, or of the time
	select {
	case err = <-pumped: // as it should be: the body has gone out before the answer came
	default:
		m.Upload.Abort()
		c.SetWriteDeadline(expired)
		// It may have gone out whole at the same moment. Else, what ended it is what was heard from the server.
		var timeout net.Error
		if err = <-pumped; err != nil && waited != nil && !(errors.As(waited, &timeout) && timeout.Timeout()) {
			err = fmt.Errorf("%w: %w", errServerUpload, waited)
		}
	}
	if waited == nil && ctx.Err() == nil {
		c.SetReadDeadline(until) // which the end of the pump may have moved
	}
	return waited == nil, err
}

// pump copies a body in pieces, each written before the next is read: what the server does not take, the client cannot
// send.
func pump(c *conn, u Upload) error {
	buf := ChunkPool.Get().(*[]byte)
	defer ChunkPool.Put(buf)
	chunked := u.Length() < 0
	for {
		// A chunk's head stands before the piece and its line end behind it, so that one write sends all.
		n, err := u.Read((*buf)[http1.ChunkPrefix : http1.ChunkPrefix+ChunkSize])
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: %w", errClientUpload, err)
		}
		out := (*buf)[http1.ChunkPrefix : http1.ChunkPrefix+n]
		if chunked {
			if out = http1.FrameChunk(*buf, n); err != nil {
				out = u.AppendTrailer(out)
			}
		}
		if len(out) > 0 {
			c.SetWriteDeadline(time.Now().Add(MaxStall))
			if _, werr := c.Write(out); werr != nil {
				return fmt.Errorf("%w: %w", errServerUpload, werr)
			}
		}
		if err != nil {
			u.Uploaded()
			return nil
		}
	}
}

// uploadTrouble is how an upload failed before its last byte was written: nothing ran. The server is to blame only where
// it broke the connection.
func failureUploading(ctx context.Context, err error) upstreamconn.Failure {
	var timeout net.Error
	switch {
	case ctx.Err() != nil, errors.Is(err, errClientUpload), errors.Is(err, errDraining):
		return upstreamconn.Cancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		return upstreamconn.Cancelled // the time ran out on the body's way
	}
	return upstreamconn.ConnectionLost
}
