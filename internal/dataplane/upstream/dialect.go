package upstream

import (
	"time"

	"mulleinrouter/internal/dataplane/http1"
)

// Dialect is the protocol spoken with backends. Its zero value is the dialect of the standalone ingress; package proxy
// sets another one.
type Dialect struct {
	// AppendHead appends the request line and the fields that concern the attempt. Nil: those of the standalone
	// ingress.
	AppendHead func(b []byte, m *Message, backend string, left time.Duration) []byte
	// Meaning returns what an answer means for the request that was written before it. Nil: the rules of the
	// standalone ingress.
	Meaning func(m *Message, a *http1.Response) AnswerMeaning
	// IDField is the field in which an answer returns the ID of its request, in textproto's canonical form. "": answers
	// have no such field, as with the standalone ingress.
	IDField string
	// ExecutesFromHead means that a server may start to execute a request when its head has arrived, and not only when
	// its body has. Once the head has been written, only an answer proves that the request was not executed.
	ExecutesFromHead bool
	// MaxStallAfterDeadline is how long the body of a streamed answer may make no progress once the deadline of the
	// attempt has passed. 0: no shorter than before it.
	MaxStallAfterDeadline time.Duration
	// MinHoldIdle is the minimum time for which the last byte of a request is held back, if the request must run at
	// most once and the connection has been idle. 0: no longer than on any other connection.
	MinHoldIdle time.Duration
}

// AnswerMeaning is what an answer means for the request that awaits it.
type AnswerMeaning uint8

// The meanings.
const (
	Served      AnswerMeaning = iota // answer to the request, whatever its status
	NotExecuted                      // proof that the request was not executed
	Failed                           // failure of the server; the request may have been executed
	Foreign                          // answer to another request; the awaited answer may follow
	Broken                           // not a valid answer in the dialect
)

// meaning returns what an answer to a request means in the pool's dialect.
func (p *Pool) meaning(m *Message, head *http1.Response) AnswerMeaning {
	if p.Dialect.Meaning != nil {
		return p.Dialect.Meaning(m, head)
	}
	switch {
	case head.Status == 200:
		return Served
	case (head.Status == 503 || head.Status == 504) && head.Header.Get("X-Not-Processed") == "1":
		return NotExecuted
	}
	return Failed
}
