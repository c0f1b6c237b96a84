package proxy

import (
	"net/http"
	"strconv"
	"time"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstream"
)

// maxStallAfterDeadline is how long a streamed answer may stall once its route's deadline has passed. Half a second
// after the deadline, the client must have a final answer or see that it breaks off (NEWS-18, CONFIG).
const maxStallAfterDeadline = 250 * time.Millisecond

// serverDialect is the protocol of the servers. They may answer before they have read a long body (NEWS-18, UNASKED),
// so a request may be executed once its head has arrived.
var serverDialect = upstream.Dialect{
	AppendHead: appendRequestHead, Meaning: classifyAnswer, IDField: headerAttemptID, ExecutesFromHead: true,
	MaxStallAfterDeadline: maxStallAfterDeadline,
}

// appendRequestHead appends the request line and the proxy's own header fields of a request to a server (PROTOCOL,
// "Requests").
func appendRequestHead(b []byte, m *upstream.Message, backend string, left time.Duration) []byte {
	b = http1.AppendRequestLine(b, m.Method, m.Target, m.Host)
	b = http1.AppendField(b, headerAttemptID, m.ID)
	b = http1.AppendField(b, headerTimeLeft, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	b = http1.AppendField(b, headerTarget, backend)
	if m.Tenant != "" {
		b = http1.AppendField(b, headerTenant, m.Tenant)
	}
	return b
}

// promisesNotExecuted reports whether a status promises a client that its request was not executed and never will be.
// A server proves that with X-Not-Executed. Without that field such a status proves nothing and is never forwarded.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// classifyAnswer returns the meaning of a server's answer (PROTOCOL, "Servers" and "Answers"). Only X-Not-Executed or a
// 421 proves that the request was not executed. An answer with a different ID belongs to another request, whatever its
// status. An answer that is delimited only by the end of the connection is complete if the connection is closed, and
// truncated if it is reset (RFC 9112, section 8; RULES, MIXED).
func classifyAnswer(m *upstream.Message, answer *http1.Response) upstream.AnswerMeaning {
	switch id := answer.Header.Get(headerAttemptID); {
	case len(answer.Header[headerAttemptID]) > 1:
		return upstream.Broken
	case id != "" && id != m.ID:
		return upstream.Foreign
	case answer.Header.Get(headerNotExecuted) != "" || answer.Status == http.StatusMisdirectedRequest:
		return upstream.NotExecuted
	case promisesNotExecuted(answer.Status):
		return upstream.Broken
	case answer.Status >= http.StatusInternalServerError:
		return upstream.Failed
	case id == "":
		return upstream.Broken
	case answer.Status/100 == 2 && !hasSeal(answer):
		return upstream.Broken
	}
	return upstream.Served
}

// hasSeal reports whether a successful answer has a valid server's seal. The seal does not cover an encoded body, so an
// answer with Content-Encoding has none.
func hasSeal(answer *http1.Response) bool {
	return answer.Header.Get(headerSeal) != "" && answer.Header.Get(headerEncoding) == ""
}
