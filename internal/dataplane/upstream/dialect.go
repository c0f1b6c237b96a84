package upstream

import (
	"time"

	"mulleinrouter/internal/dataplane/http1"
)

// Dialect is the protocol spoken with backends. Its zero value is that of the deployments in service.
type Dialect struct {
	// AppendHead appends a request's line and the fields that concern the attempt. Nil: as in service.
	AppendHead func(b []byte, m *Message, backend string, left time.Duration) []byte
	// Meaning returns what an answer means to the request that was written before it. Nil: as in service.
	Meaning func(m *Message, a *http1.Response) AnswerMeaning
	// IDField is the field in which an answer returns the ID of its request, in textproto's canonical form; "": none
	// does, as in service.
	IDField string
	// MinHoldIdle is for how long the last byte of a request that must run at most once is held back at least, on a
	// connection that has been idle; 0: no longer than on any other.
	MinHoldIdle time.Duration
}

// AnswerMeaning is what an answer means.
type AnswerMeaning uint8

// The meanings.
const (
	Served      AnswerMeaning = iota // it is the answer to the request, whatever its status
	NotExecuted                      // it proves that the request has not run
	Failed                           // the server failed, and the request may have run
	Foreign                          // it answers another request; the awaited answer may follow
	Broken                           // it is no answer in the protocol
)

// meaning returns what an answer means in the pool's dialect.
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
