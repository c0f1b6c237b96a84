package upstream

import (
	"errors"
	"io"
	"net/textproto"
	"sync"
	"time"

	"mulleinrouter/internal/dataplane/http1"
)

// MaxStall is how long a streamed body may make no progress, in either direction. An upload must also end by the
// deadline of the attempt. That deadline does not apply to the body of an answer, so that a long transfer may go on,
// and only a peer that stalls is disconnected; after the deadline sooner (Dialect.MaxStallAfterDeadline).
const MaxStall = 10 * time.Second

// ChunkSize is the maximum number of bytes of a streamed body that are buffered, in either direction.
const ChunkSize = 32 << 10

// ChunkPool holds buffers for streamed bodies. Each has ChunkSize bytes that begin at http1.ChunkPrefix, with space for
// the framing of a chunk before and after them.
var ChunkPool = sync.Pool{New: func() any {
	b := make([]byte, http1.ChunkPrefix+ChunkSize+http1.ChunkSuffix)
	return &b
}}

// Stream is the body of a served answer, read from the backend's connection as it arrives.
type Stream struct {
	// Length is the body's length in bytes as stated in the head. -1: it is not stated, since the body is chunked or
	// ends with the connection.
	Length int64

	pool     *Pool
	conn     *conn
	deadline time.Time // deadline of the attempt
	body     *http1.Body
	complete bool // whether the body was read to its end
	closed   bool // whether Close was called
}

// newStream returns the body of an answer whose head has been read.
func newStream(p *Pool, c *conn, head *http1.Response, deadline time.Time) *Stream {
	body := c.reader.Stream(head)
	return &Stream{Length: body.Length, pool: p, conn: c, deadline: deadline, body: body}
}

// stallEnd returns until when the next bytes must arrive.
func (s *Stream) stallEnd(now time.Time) time.Time {
	end := now.Add(MaxStall)
	limit := s.pool.Dialect.MaxStallAfterDeadline
	if limit == 0 {
		return end
	}
	latest := s.deadline
	if latest.Before(now) {
		latest = now
	}
	if latest = latest.Add(limit); latest.Before(end) {
		return latest
	}
	return end
}

// Read reads the bytes of the body that have arrived. It returns io.EOF when the body is complete.
func (s *Stream) Read(p []byte) (int, error) {
	s.conn.SetReadDeadline(s.stallEnd(time.Now()))
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete = true
	}
	return n, err
}

// Trailer returns the trailer fields of a chunked body that has been read to its end; nil if there are none.
func (s *Stream) Trailer() textproto.MIMEHeader { return s.body.Trailer() }

// Close returns the connection to the pool if the body was read to its end and no bytes followed it. Otherwise it
// closes the connection. It may be called more than once.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	verdict := s.conn.StreamEnded(s.complete, s.conn.reader.Buffered() > 0)
	if verdict.Reusable {
		s.pool.put(s.conn)
	} else {
		s.pool.close(s.conn, verdict.Code, nil)
	}
}
