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

// earlyAnswerWait is how long an answer is awaited after a write has failed or an early answer has begun to arrive. A
// server that rejects a body sends its answer and closes the connection while the body is still being written.
const earlyAnswerWait = 100 * time.Millisecond

// Upload is a request's body that is streamed from the client. It is not stored, so it can be sent to one server only.
type Upload interface {
	// Read reads the bytes that have arrived. It returns io.EOF with the last bytes or after them. It is called by one
	// goroutine at a time.
	Read(p []byte) (int, error)
	// Length returns the length in bytes as stated in the client's head; -1 if it is not stated, and the body is sent
	// chunked.
	Length() int64
	// AppendTrailer appends the last chunk and the client's trailer.
	AppendTrailer(b []byte) []byte
	// Consumed reports whether a part of the body has been read. After that, it cannot be sent to another server.
	Consumed() bool
	// Uploaded is called when the body has been written completely.
	Uploaded()
	// Abort interrupts the current Read and makes later ones fail. It may be called by another goroutine.
	Abort()
}

// upload writes a request with a streamed body, and reads from the server at the same time. It returns nil once the
// body has been written completely, or an error if the attempt ended before that. The result answered reports whether
// an answer has begun to arrive.
func (p *Pool) upload(
	ctx context.Context, c *conn, m *Message, head []byte, deadline time.Time,
) (answered bool, err error) {
	stop := context.AfterFunc(ctx, func() {
		c.SetDeadline(pastDeadline)
		m.Upload.Abort()
	})
	defer stop()
	split := len(head) - 1 // before the last byte of the head
	if _, err := c.Write(head[:split]); err != nil {
		return false, fmt.Errorf("%w: %w", errServerUpload, err)
	}
	// A server that has dropped the connection resets it now. Nothing of the body has been read yet, so the request can
	// still be sent over another connection.
	p.hold(c, m.AtMostOnce)
	if err := p.mayRelease(ctx, c); err != nil {
		if errors.Is(err, errDraining) {
			return false, err
		}
		return errors.Is(err, errEarlyAnswer), fmt.Errorf("%w: %w", errServerUpload, err)
	}
	if _, err := c.Write(head[split:]); err != nil {
		return false, fmt.Errorf("%w: %w", errServerUpload, err)
	}
	uploaded := make(chan error, 1)
	go func() { uploaded <- copyUpload(c, m.Upload) }()
	readErr := c.reader.Wait() // returns at an answer, the end of the connection, or a deadline
	select {
	case err = <-uploaded: // the usual case: the upload ended before an answer arrived
	default:
		err = interruptUpload(c, m.Upload, uploaded, readErr)
	}
	if readErr == nil && ctx.Err() == nil {
		c.SetReadDeadline(deadline) // copyUpload may have changed it
	}
	return readErr == nil, err
}

// copyUpload copies a body to a server. If that fails, it shortens or interrupts the wait for an answer.
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

// interruptUpload interrupts an upload during which the server answered or closed the connection, and waits until the
// upload has ended. It returns nil if the body was written completely at the same moment. Otherwise, if the connection
// ended, its error is returned as the cause.
func interruptUpload(c *conn, u Upload, uploaded <-chan error, readErr error) error {
	u.Abort()
	c.SetWriteDeadline(pastDeadline)
	err := <-uploaded
	if err != nil && readErr != nil && !isTimeout(readErr) {
		return fmt.Errorf("%w: %w", errServerUpload, readErr)
	}
	return err
}

// copyChunks copies a body in parts. Each part is written before the next is read, so that the client can send no
// faster than the server reads.
func copyChunks(c *conn, u Upload) error {
	buf := ChunkPool.Get().(*[]byte)
	defer ChunkPool.Put(buf)
	chunked := u.Length() < 0
	for {
		// The buffer has space for a chunk's framing before and after the part, so that a single write sends both.
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

// failureUploading returns how an upload failed before its last byte was written. The failure counts against the server
// only if the server broke the connection.
func failureUploading(ctx context.Context, err error) upstreamconn.Failure {
	switch {
	case ctx.Err() != nil, errors.Is(err, errClientUpload), errors.Is(err, errDraining):
		return upstreamconn.Cancelled
	case isTimeout(err):
		return upstreamconn.Cancelled // the deadline passed during the upload
	}
	return upstreamconn.ConnectionLost
}
