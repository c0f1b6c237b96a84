package ingress

import (
	"errors"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

const (
	// lingerShort is how long the connection lingers after a malformed or late request was rejected, so that the client
	// can read the answer. It is also how long a lingering connection waits for the next bytes from the client.
	lingerShort = time.Second
	// lingerLong is how long the connection lingers to discard the rest of a streamed body.
	lingerLong = 5 * time.Second

	// maxKeptBuffer is the size in bytes up to which a connection keeps its answer buffer for reuse. Larger buffers are
	// released, so that many connections do not each hold the memory of a large answer.
	maxKeptBuffer = 8 << 10
)

// closesConnection reports whether the request makes its answer the last one on the connection: the client asked for
// that, or more than maxDiscard bytes of its body would have to be discarded.
func closesConnection(r *http1.Request) bool {
	if r.Close {
		return true
	}
	unread := r.Streamed != nil && !r.Streamed.Ended()
	return unread && r.Streamed.Length >= 0 && r.Streamed.Remaining() > maxDiscard
}

// rejectMessage answers a message that could not be read as a request. It returns the log code for which the connection
// closes, because it is unknown where the next request would begin; "" if the connection itself ended.
func (c *conn) rejectMessage(err error) (code string) { return c.rejectIncomplete(err, true) }

// rejectIncomplete is rejectMessage for a message that may have been forwarded in part. A slow request gets 408, which
// promises that it was not executed, only if a retry is safe.
func (c *conn) rejectIncomplete(err error, retryIsSafe bool) (code string) {
	requestErr := messageError(err)
	if requestErr == nil && c.closeCode() == clientconn.CodeSlowRequest {
		requestErr = errSlowRequest
		if !retryIsSafe {
			requestErr = errSlowExecuted
		}
	}
	if requestErr == nil {
		return ""
	}
	c.rejectWith(requestErr, true)
	c.lingerFor = lingerShort
	return requestErr.Code
}

// afterAnswer returns the log code for which the connection closes after an answer; "" if it stays open. The argument
// err is the error of writing the answer.
func (c *conn) afterAnswer(r *http1.Request, err error) (string, error) {
	if errors.Is(err, errAnswerCut) {
		return "client-answer-cut", err
	}
	if err != nil {
		return "client-write-failed", err
	}
	if r.Streamed != nil && !c.watched {
		unread := !r.Streamed.Ended()
		if unread && closesConnection(r) || !c.discardBody(r.Streamed) {
			c.lingerFor = lingerLong
			return "client-body-unread", nil
		}
	}
	if r.Close {
		return "client-asked", nil
	}
	return "", nil
}

// forward forwards a backend's answer that was read completely. The answer to a HEAD request keeps the backend's
// Content-Length although it has no body.
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

// answer writes an answer that the ingress itself generates.
func (c *conn) answer(status int, retryAfter decision.Seconds, body []byte, last bool) error {
	b := http1.AppendHead(c.out[:0], status, len(body))
	if retryAfter > 0 {
		b = http1.AppendSeconds(b, "Retry-After", retryAfter)
	}
	return c.send(b, body, last)
}

// rejectWith writes the answer to a request that was not submitted.
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

// send completes the head of an answer, and writes the head and the body with a single write.
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

// endHead appends the Connection field, where one is needed, and the empty line that ends the head of an answer. The
// last answer on a connection gets Connection: close.
func (c *conn) endHead(b []byte, last bool) []byte {
	if last || c.closesAfterAnswer() {
		b = http1.AppendField(b, "Connection", "close")
	} else if c.http10 {
		b = http1.AppendField(b, "Connection", "keep-alive")
	}
	return append(b, "\r\n"...)
}
