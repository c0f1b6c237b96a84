package upstream

import (
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstreamconn"
)

// answer is an answer that was read from a server.
type answer struct {
	upstreamconn.Answer
	head *http1.Response
	body []byte // nil if the body is streamed
}

// streams reports whether an answer's body is streamed to the client.
func (p *Pool) streams(m *Message, head *http1.Response) bool {
	return head != nil && head.Large() && p.meaning(m, head) == Served
}

// read reads the answer to a request, with its body unless that is streamed. It skips answers to other requests
// (Foreign) as long as the connection's state machine allows it. With an error, the result has the head of the answer
// that could not be read completely or is malformed, if its head was read.
func (p *Pool) read(c *conn, m *Message) (answer, error) {
	for {
		head, err := c.reader.Response(m.Method == "HEAD")
		if err != nil {
			return answer{}, err
		}
		meaning := p.meaning(m, head)
		a := answer{Answer: newAnswer(head, meaning), head: head}
		if meaning == Served && head.Large() { // Stream.Close checks for trailing bytes once the body has been read
			return a, nil
		}
		if a.body, err = c.reader.Body(head); err != nil {
			return a, err
		}
		switch {
		case meaning == Foreign && c.ForeignAnswer():
			continue
		case meaning == Foreign, meaning == Broken:
			return a, errMalformedAnswer
		}
		a.TrailingBytes = c.reader.Buffered() > 0
		return a, nil
	}
}

// newAnswer translates an answer for the connection's state machine, which knows only the statuses of the standalone
// ingress's dialect (see upstreamconn.Answer).
func newAnswer(head *http1.Response, meaning AnswerMeaning) upstreamconn.Answer {
	a := upstreamconn.Answer{Status: head.Status, NotProcessed: meaning == NotExecuted, Close: head.Close}
	switch meaning {
	case Served:
		a.Status = 200
	case NotExecuted:
		a.Status = 503
	}
	return a
}
