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

// relay passes a served answer's body from the quote server to the client as it comes, each piece written before the
// next is read: nothing is held back, and nothing is kept but one piece. The head tells the length where the quote
// server's did, else the body is chunked; a client whose answer is cut can tell: errAnswerCut.
func (c *conn) relay(head *http1.Response, st *upstream.Stream, last bool) error {
	defer st.Close()
	reports := c.server.dialect.ServerFields
	b := http1.AppendStatus(c.out[:0], head.Status)
	chunked := st.Length < 0 && !c.http10
	if chunked || st.Length >= 0 {
		b = http1.AppendFraming(b, st.Length)
	} // else the body ends with the connection: HTTP/1.0 knows no chunks
	b = http1.AppendFields(b, head.Header, reports)
	b = c.endHead(b, last)
	c.out = b
	if err := c.writePiece(b); err != nil {
		return err
	}
	buf := upstream.ChunkPool.Get().(*[]byte)
	defer upstream.ChunkPool.Put(buf)
	for {
		n, rerr := st.Read((*buf)[http1.ChunkPrefix : http1.ChunkPrefix+upstream.ChunkSize])
		ended := errors.Is(rerr, io.EOF)
		out := (*buf)[http1.ChunkPrefix : http1.ChunkPrefix+n]
		if chunked {
			if out = http1.FrameChunk(*buf, n); ended {
				out = http1.AppendLastChunk(out, st.Trailer(), reports)
			}
		}
		if len(out) > 0 {
			if err := c.writePiece(out); err != nil {
				return err
			}
		}
		if ended {
			c.SetWriteDeadline(time.Time{})
			return nil
		}
		if rerr != nil {
			// The quote server stopped in the middle: the client can tell the answer is not whole when it ends here.
			return fmt.Errorf("%w: %w", errAnswerCut, rerr)
		}
	}
}

var errAnswerCut = errors.New("the quote server's answer broke off")

// push writes a piece of an answer, with as long as a slow client may take for it.
func (c *conn) writePiece(b []byte) error {
	c.enter(clientconn.Answering) // from now: a client that takes longer over this piece holds the connection for nothing
	c.SetWriteDeadline(time.Now().Add(upstream.MaxStall))
	_, err := c.Write(b)
	return err
}
