package upstream

import (
	"net/textproto"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

// Message is a request to a backend.
type Message struct {
	Method, Target, ID string
	Fields             []byte // further header fields, in wire format
	Body               []byte
	Host, Tenant       string               // empty in a dialect that does not use them
	AtMostOnce         bool                 // whether the request must run at most once, whatever its method
	Trailer            textproto.MIMEHeader // trailer fields after Body, which is then sent as one chunk; nil: none
	Upload             Upload               // streamed body; Body is then nil
	SlowAttempt        SlowAttempt          // when to abandon the next attempt as too slow

	writtenTo []string // servers to which the request was written completely
}

// hasSafeMethod reports whether the request's method is safe to repeat. Requests with such methods rarely have a body.
func (m *Message) hasSafeMethod() bool { return m.Method == "GET" || m.Method == "HEAD" }

// Result is how an attempt ended.
type Result struct {
	Outcome  decision.Outcome
	Answered bool            // whether an answer proves that the request arrived completely (see upstreamconn.Verdict)
	Writes   int             // how often the request was written completely, each time to another connection
	Head     *http1.Response // head of the answer; nil: there was no answer
	Body     []byte          // body of the answer, unless it is streamed
	// Stream is the body of a successful answer that may be too long to be buffered. Body is then nil. The caller must
	// read it as it arrives, and close it. Nil: Body is the complete body.
	Stream *Stream
}
