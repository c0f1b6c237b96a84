package upstream

import (
	"net/textproto"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

// Message is a request as it goes to a backend.
type Message struct {
	Method, Target, ID string
	Fields             []byte // further fields of its head, in wire format
	Body               []byte
	Host, Tenant       string               // in a dialect that knows them
	AtMostOnce         bool                 // it must run at most once, whatever its method
	Trailer            textproto.MIMEHeader // after Body, which is then sent as one chunk; nil: none
	Upload             Upload               // a body that is streamed; Body is then nil
	SlowAttempt        SlowAttempt          // for the next attempt

	writtenTo []string // servers to which it was written completely
}

// safe reports whether its method is safe to repeat, and has no body as a rule.
func (m *Message) safe() bool { return m.Method == "GET" || m.Method == "HEAD" }

// Result is how an attempt ended.
type Result struct {
	Outcome  decision.Outcome
	Answered bool            // a complete answer followed a request that was written completely: it had arrived
	Writes   int             // how often the request was written completely, each time to another connection
	Head     *http1.Response // of the answer; nil: there was none
	Body     []byte          // of the answer, if it is not streamed
	// Stream is the body of a served answer that is too long to be buffered (Body is then nil): it is to be read as it
	// arrives, and closed. Nil: Body is all of it.
	Stream *Stream
}
