package clientconn

import "mulleinrouter/internal/decision"

const (
	// maxIdle is the time between requests: clients may rely on no more, and many keep a connection for one request.
	maxIdle decision.Seconds = 2
	// maxSilence is the time until the first byte of a client.
	maxSilence decision.Seconds = 2
	// maxHeadTime is the time for the head of a request: clients may take 2 s, and one that takes 3 s must have been
	// answered by then.
	maxHeadTime decision.Seconds = 2.6
	// maxAnswerStall is the time for a client to read a piece of an answer.
	maxAnswerStall decision.Seconds = 10
	// promptRequest is the time in which a client that is not slow sends a complete request.
	promptRequest decision.Seconds = 0.1
)

// Timeouts are for how long a connection may make no progress.
type Timeouts struct {
	FirstByte decision.Seconds // from accepting the connection to the first byte
	Idle      decision.Seconds // between requests
	Head      decision.Seconds // for the head of a request

	// ServePending: a request whose first bytes have arrived on an idle connection is served before the connection is
	// closed, unless the last answer announced the close.
	ServePending bool
}

// defaultTimeouts are those of a deployment that configures none.
var defaultTimeouts = Timeouts{FirstByte: maxSilence, Idle: maxIdle, Head: maxHeadTime}
