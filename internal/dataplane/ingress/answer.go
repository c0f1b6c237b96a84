package ingress

import (
	"errors"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

const (
	lingerShort = time.Second     // for a client to read why it is rejected, or to send more of what is discarded
	lingerLong  = 5 * time.Second // for the rest of a streamed body to be discarded

	// maxKeptBuffer is the size in bytes up to which a connection keeps the buffer of its answers: many connections
	// must not each keep that of a large one.
	maxKeptBuffer = 8 << 10
)

// closesConnection reports whether an answer is the last on its connection because of its request: the client asks
// for it, or too much of a body would have to be discarded.
func closesConnection(r *http1.Request) bool {
	if r.Close {
		return true
	}
	unread := r.Streamed != nil && !r.Streamed.Ended()
	return unread && r.Streamed.Length >= 0 && r.Streamed.Remaining() > maxDiscard
}

// rejectMessage answers what is no request, and returns the log code of the connection's end: where the next request
// would begin is not known. "": the connection itself ended.
func (c *conn) rejectMessage(err error) (code string) {
	requestErr := messageError(err)
	if requestErr == nil && c.closeCode() == clientconn.CodeSlowRequest {
		requestErr = errSlowRequest
	}
	if requestErr == nil {
		return ""
	}
	c.rejectWith(requestErr, true)
	c.lingerFor = lingerShort
	return requestErr.Code
}

// afterAnswer returns the log code for which the connection ends with an answer, err being that of writing it; "": it
// does not.
func (c *conn) afterAnswer(r *http1.Request, err error) (string, error) {
	if errors.Is(err, errAnswerCut) {
		return "client-answer-cut", err
	}
	if err != nil {
		return "client-write-failed", err
	}
	unread := r.Streamed != nil && !r.Streamed.Ended()
	if unread && (closesConnection(r) || !c.discardBody(r.Streamed)) {
		c.lingerFor = lingerLong
		return "client-body-unread", nil
	}
	if r.Close {
		return "client-asked", nil
	}
	return "", nil
}

// forward forwards a backend's complete answer. One to HEAD states the length of a body that is not sent.
func (c *conn) forward(head *http1.Response, body []byte, last bool) error {
	b := http1.AppendStatus(c.out[:0], head.Status)
	if !c.bodiless {
		b = http1.AppendLength(b, len(body))
	} else if length := head.Header.Get("Content-Length"); length != "" {
		b = http1.AppendField(b, "Content-Length", length)
	}
	b = http1.AppendFields(b, head.Header, c.server.dialect.ServerFields)
	return c.send(b, body, last)
}

// answer writes an answer of the ingress itself.
func (c *conn) answer(status int, retryAfter decision.Seconds, body []byte, last bool) error {
	b := http1.AppendHead(c.out[:0], status, len(body))
	if retryAfter > 0 {
		b = http1.AppendSeconds(b, "Retry-After", retryAfter)
	}
	return c.send(b, body, last)
}

// answerError writes the answer to a request that was not submitted.
func (c *conn) rejectWith(e *RequestError, last bool) error {
	body := []byte(e.Error() + "\n")
	b := http1.AppendHead(c.out[:0], e.Status, len(body))
	b = http1.AppendField(b, "Content-Type", "text/plain")
	if e.Allow != "" {
		b = http1.AppendField(b, "Allow", e.Allow)
	}
	if e.RetryAfter > 0 {
		b = http1.AppendSeconds(b, "Retry-After", e.RetryAfter)
	}
	return c.send(b, body, last)
}

// send ends the head of an answer and writes it with its body at once.
func (c *conn) send(head, body []byte, last bool) error {
	b := c.endHead(head, last)
	if !c.bodiless {
		b = append(b, body...)
	}
	c.out = b
	if cap(b) > maxKeptBuffer {
		c.out = nil
	}
	c.enter(clientconn.Answering)
	_, err := c.Write(b)
	return err
}

// endHead ends the head of an answer, with Connection: close where it is the last on its connection.
func (c *conn) endHead(b []byte, last bool) []byte {
	if last || c.closesAfterAnswer() {
		b = http1.AppendField(b, "Connection", "close")
	} else if c.http10 {
		b = http1.AppendField(b, "Connection", "keep-alive")
	}
	return append(b, "\r\n"...)
}
