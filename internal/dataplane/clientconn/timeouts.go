package clientconn

import "mulleinrouter/internal/decision"

const (
	// maxIdle, in seconds, is how long a connection may be idle between requests. Clients cannot rely on a longer time,
	// and many keep a connection open although they send one request only.
	maxIdle decision.Seconds = 2
	// maxSilence, in seconds, is how long a client may take to send its first byte.
	maxSilence decision.Seconds = 2
	// maxHeadTime, in seconds, is how long a client may take to send the head of a request. Clients may take 2 s, and a
	// client that takes 3 s must have been answered by then.
	maxHeadTime decision.Seconds = 2.6
	// maxAnswerStall, in seconds, is how long a client may take to read a chunk of an answer.
	maxAnswerStall decision.Seconds = 10
	// promptRequestTime, in seconds, is how long a client that is not slow takes to send a complete request. A new
	// connection that takes longer may be evicted.
	promptRequestTime decision.Seconds = 0.1
)

// Timeouts are the limits, in seconds, of how long a connection may make no progress. A connection that exceeds one is
// closed, so that it does not occupy a place of the server.
type Timeouts struct {
	FirstByte decision.Seconds // from accepting the connection to its first byte
	Idle      decision.Seconds // between requests
	Head      decision.Seconds // for the head of a request; for the first one, from accepting the connection

	// ServePending means that a request whose first bytes have arrived on an idle connection is served before the
	// connection is closed, unless the last answer has announced the close.
	ServePending bool
}

// defaultTimeouts apply to a deployment that configures no timeouts.
var defaultTimeouts = Timeouts{FirstByte: maxSilence, Idle: maxIdle, Head: maxHeadTime}
