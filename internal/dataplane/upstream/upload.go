package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstreamconn"
)

// earlyAnswerWait is how long an answer may take to arrive after a write has failed: a server that rejects a body
// answers, and closes the connection while the body is still being written.
const earlyAnswerWait = 100 * time.Millisecond

// Upload is a request's body that is streamed from the client: it can be sent to one server only.
type Upload interface {
	// Read reads what has arrived; with the last of it, or after it, io.EOF. It is called by one goroutine at a time.
	Read(p []byte) (int, error)
	// Length is what the client's head states, in bytes; -1: nothing, it is sent chunked.
	Length() int64
	// AppendTrailer appends the last chunk, with the client's trailer.
	AppendTrailer(b []byte) []byte
	// Consumed reports whether a part of it has been read: it cannot be sent to another server.
	Consumed() bool
	// Uploaded reports that it has been written completely.
	Uploaded()
	// Abort interrupts a Read, and any later one. It may be called by another goroutine.
	Abort()
}

// upload writes a request with a streamed body, and listens meanwhile. It returns once the body has been written
// completely (err nil) or the attempt has ended before that. Answered: an answer has begun to arrive.
func (p *Pool) upload(
	ctx context.Context, c *conn, m *Message, head []byte, deadline time.Time,
) (answered bool, err error) {
	stop := context.AfterFunc(ctx, func() {
		c.SetDeadline(pastDeadline)
		m.Upload.Abort()
	})
	defer stop()
	if _, err := c.Write(head); err != nil {
		return false, fmt.Errorf("%w: %w", errServerUpload, err)
	}
	// Nothing of the body has been read yet: a server that has forgotten the connection shows it now, and the request
	// is sent over another.
	p.hold(c, m.AtMostOnce)
	if err := p.mayRelease(ctx, c); err != nil {
		if errors.Is(err, errDraining) {
			return false, err
		}
		return errors.Is(err, errEarlyAnswer), fmt.Errorf("%w: %w", errServerUpload, err)
	}
	uploaded := make(chan error, 1)
	go func() { uploaded <- copyUpload(c, m.Upload) }()
	readErr := c.reader.Wait() // for an answer, the end of the connection, or a deadline
	select {
	case err = <-uploaded: // as a rule, before the answer arrived
	default:
		err = interruptUpload(c, m.Upload, uploaded, readErr)
	}
	if readErr == nil && ctx.Err() == nil {
		c.SetReadDeadline(deadline) // copyUpload may have changed it
	}
	return readErr == nil, err
}

// copyUpload copies a body to a server, and interrupts the wait for an answer if that fails.
func copyUpload(c *conn, u Upload) error {
	err := copyChunks(c, u)
	switch {
	case err == nil:
	case errors.Is(err, errServerUpload):
		c.SetReadDeadline(time.Now().Add(earlyAnswerWait))
	default:
		c.SetReadDeadline(pastDeadline)
	}
	return err
}

// interruptUpload ends an upload under which the server answered or closed the connection, and waits for its end. The
// body may have been written completely at the same moment. Else, what the server did is the cause.
func interruptUpload(c *conn, u Upload, uploaded <-chan error, readErr error) error {
	u.Abort()
	c.SetWriteDeadline(pastDeadline)
	err := <-uploaded
	if err != nil && readErr != nil && !isTimeout(readErr) {
		return fmt.Errorf("%w: %w", errServerUpload, readErr)
	}
	return err
}

// copyChunks copies a body in pieces, each written before the next is read: what the server does not take, the client
// cannot send.
func copyChunks(c *conn, u Upload) error {
	buf := ChunkPool.Get().(*[]byte)
	defer ChunkPool.Put(buf)
	chunked := u.Length() < 0
	for {
		// The piece leaves space for a chunk's framing on both sides, so that one write sends it.
		n, err := u.Read((*buf)[http1.ChunkPrefix : http1.ChunkPrefix+ChunkSize])
		last := err != nil
		if last && !errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: %w", errClientUpload, err)
		}
		out := (*buf)[http1.ChunkPrefix : http1.ChunkPrefix+n]
		if chunked {
			out = http1.FrameChunk(*buf, n)
			if last {
				out = u.AppendTrailer(out)
			}
		}
		if len(out) > 0 {
			c.SetWriteDeadline(time.Now().Add(MaxStall))
			if _, err := c.Write(out); err != nil {
				return fmt.Errorf("%w: %w", errServerUpload, err)
			}
		}
		if last {
			u.Uploaded()
			return nil
		}
	}
}

// failureUploading returns how an upload failed before its last byte was written: nothing has run. The server is to
// blame only where it broke the connection.
func failureUploading(ctx context.Context, err error) upstreamconn.Failure {
	switch {
	case ctx.Err() != nil, errors.Is(err, errClientUpload), errors.Is(err, errDraining):
		return upstreamconn.Cancelled
	case isTimeout(err):
		return upstreamconn.Cancelled // the deadline passed during the upload
	}
	return upstreamconn.ConnectionLost
}
