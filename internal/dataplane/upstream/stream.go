package upstream

import (
	"errors"
	"io"
	"net/textproto"
	"sync"
	"time"

	"mulleinrouter/internal/dataplane/http1"
)

// MaxStall is for how long a streamed body may make no progress, in either direction. The deadline of the attempt holds
// until its first bytes; after them, only a peer that stalls is disconnected.
const MaxStall = 10 * time.Second

// ChunkSize is how many bytes of a streamed body are buffered at most, in either direction.
const ChunkSize = 32 << 10

// ChunkPool holds buffers for streamed bodies: ChunkSize bytes from http1.ChunkPrefix on, with space for the framing
// of a chunk around them.
var ChunkPool = sync.Pool{New: func() any {
	b := make([]byte, http1.ChunkPrefix+ChunkSize+http1.ChunkSuffix)
	return &b
}}

// Stream is the body of a served answer, read from the backend's connection as it arrives.
type Stream struct {
	// Length is the body's length in bytes as the head states it; -1: it does not (chunked, or until the close).
	Length int64

	pool     *Pool
	conn     *conn
	body     *http1.Body
	complete bool // read to its end
	closed   bool
}

// newStream returns the body of an answer whose head has been read.
func newStream(p *Pool, c *conn, head *http1.Response) *Stream {
	body := c.reader.Stream(head)
	return &Stream{Length: body.Length, pool: p, conn: c, body: body}
}

// Read reads what has arrived of the body. With io.EOF, it is complete.
func (s *Stream) Read(p []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(MaxStall))
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete = true
	}
	return n, err
}

// Trailer returns the fields after a chunked body that has been read to its end; nil: there are none.
func (s *Stream) Trailer() textproto.MIMEHeader { return s.body.Trailer() }

// Close returns the connection to the pool if the body was read to its end and nothing followed it, and else closes it.
// It may be called more than once.
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
