package ingress

import (
	"errors"
	"fmt"
	"io"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstream"
)

// relay forwards a served answer's body from the backend to the client as it arrives, each piece written before the
// next is read: only one piece is buffered. The head states the length where the backend's does, else the body is
// chunked. A client whose answer is cut off (errAnswerCut) can tell.
func (c *conn) relay(head *http1.Response, stream *upstream.Stream, last bool) error {
	defer stream.Close()
	chunked := stream.Length < 0 && !c.http10
	c.out = c.appendStreamedHead(head, stream, last)
	if err := c.writeAnswer(c.out); err != nil {
		return err
	}
	buf := upstream.ChunkPool.Get().(*[]byte)
	defer upstream.ChunkPool.Put(buf)
	for {
		n, readErr := stream.Read((*buf)[http1.ChunkPrefix : http1.ChunkPrefix+upstream.ChunkSize])
		ended := errors.Is(readErr, io.EOF)
		out := (*buf)[http1.ChunkPrefix : http1.ChunkPrefix+n]
		if chunked {
			out = http1.FrameChunk(*buf, n)
			if ended {
				out = http1.AppendLastChunk(out, stream.Trailer(), c.server.dialect.ServerFields)
			}
		}
		if len(out) > 0 {
			if err := c.writeAnswer(out); err != nil {
				return err
			}
		}
		if ended {
			c.SetWriteDeadline(time.Time{})
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("%w: %w", errAnswerCut, readErr)
		}
	}
}

// appendStreamedHead writes the head of a streamed answer into the connection's buffer.
func (c *conn) appendStreamedHead(head *http1.Response, stream *upstream.Stream, last bool) []byte {
	b := http1.AppendStatus(c.out[:0], head.Status)
	if stream.Length >= 0 || !c.http10 { // else the body ends with the connection: HTTP/1.0 has no chunks
		b = http1.AppendFraming(b, stream.Length)
	}
	b = http1.AppendFields(b, head.Header, c.server.dialect.ServerFields)
	return c.endHead(b, last)
}

// writePiece writes a piece of an answer, within the time that a slow client may take for it.
func (c *conn) writeAnswer(b []byte) error {
	c.enter(clientconn.Answering) // again for each piece: the timeout of the state begins anew
	c.SetWriteDeadline(time.Now().Add(upstream.MaxStall))
	_, err := c.Write(b)
	return err
}
