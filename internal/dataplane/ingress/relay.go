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

// relay forwards the body of a successful answer from the backend to the client as it arrives. Each read is written
// before the next one, so that at most upstream.ChunkSize bytes are buffered. The head states the length if the
// backend's head does; otherwise the body is chunked. If the backend's answer ends early, relay returns errAnswerCut
// and the connection is closed, by which the client recognises the truncated answer.
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

// appendStreamedHead returns the head of a streamed answer, which it writes into the connection's buffer.
func (c *conn) appendStreamedHead(head *http1.Response, stream *upstream.Stream, last bool) []byte {
	b := http1.AppendStatus(c.out[:0], head.Status)
	if stream.Length >= 0 || !c.http10 { // HTTP/1.0 has no chunks: there the end of the connection ends the body
		b = http1.AppendFraming(b, stream.Length)
	}
	b = http1.AppendFields(b, head.Header, c.server.dialect.ServerFields)
	return c.endHead(b, last)
}

// writeAnswer writes a part of a streamed answer. The client must accept it within upstream.MaxStall.
func (c *conn) writeAnswer(b []byte) error {
	c.enter(clientconn.Answering) // entered again for each part, which restarts the timeout of the state
	c.SetWriteDeadline(time.Now().Add(upstream.MaxStall))
	_, err := c.Write(b)
	return err
}
