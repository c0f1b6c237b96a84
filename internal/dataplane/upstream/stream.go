package upstream

import (
	"errors"
	"io"
	"net/textproto"
	"sync"
	"time"

	"mulleinrouter/internal/dataplane/http1"
)

// MaxStall is how long a streamed body may make no progress, in either direction, before it is given up. A body over
// 64 KiB is timed to its first bytes; after them, only a peer that stops is cut off.
const MaxStall = 10 * time.Second

// ChunkSize is the most of a streamed body that is held at once, in either direction.
const ChunkSize = 32 << 10

// ChunkPool are the buffers of streamed bodies: PieceSize bytes from http1.ChunkRoom on, with room for a chunk's framing.
var ChunkPool = sync.Pool{New: func() any { b := make([]byte, http1.ChunkPrefix+ChunkSize+http1.ChunkSuffix); return &b }}

// Stream is the body of a served answer, read from the quote server's connection as it comes.
type Stream struct {
	// Length is the body's length as the head tells it; -1: the head does not tell (chunked, or until the close).
	Length int64

	pool     *Pool
	conn     *conn
	body     *http1.Body
	complete bool // read to its end
	closed   bool
}

// Read reads what has come of the body. io.EOF: it has all come.
func (s *Stream) Read(p []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(MaxStall))
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete = true
	}
	return n, err
}

// Trailer are the fields behind a chunked body, once it has been read to its end; nil: there are none.
func (s *Stream) Trailer() textproto.MIMEHeader { return s.body.Trailer() }

// Close gives the connection back where the body was read to its end and nothing followed it; else it ends it.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	if v := s.conn.StreamEnded(s.complete, s.conn.reader.Buffered() > 0); v.Reusable {
		s.pool.put(s.conn)
	} else {
		s.pool.close(s.conn, v.Code, nil)
	}
}
