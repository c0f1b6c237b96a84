package ingress

import "sync/atomic"

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Answered           Outcome = iota // answered with a backend's success, or its rejection of the client's request
	ServerFailed                      // failed and may have been executed; answered with a backend's own error answer
	Failed                            // failed and may have been executed; answered with 502
	OverQuota                         // rejected while its quota was exceeded; a retry is safe
	NoServer                          // rejected because no backend served it in time; a retry is safe
	Invalid                           // rejected before it was submitted: unknown route or key, or not well-formed
	ClientDisconnected                // not answered, because the client disconnected

	outcomeCount
)

// outcomeNames are the values of the metrics' label for the outcome.
var outcomeNames = [outcomeCount]string{
	"answered",
	"server_failed",
	"failed",
	"refused_quota",
	"refused_no_server",
	"rejected",
	"client_gone",
}

func (o Outcome) String() string { return outcomeNames[o] }

// totals counts requests by their outcome, and attempts that were written completely.
type totals struct {
	outcomes [outcomeCount]atomic.Int64
	attempts atomic.Int64
}

// Totals are the counters since the process started, and the current numbers of requests and connections.
type Totals struct {
	Outcomes [outcomeCount]int64 // requests that have ended, by Outcome
	Attempts int64               // attempts written completely
	InFlight int64               // requests in flight now
	Clients  int                 // open connections of clients now
}

// Totals returns the counters and the current numbers.
func (s *Server) Totals() (t Totals) {
	for o := range t.Outcomes {
		t.Outcomes[o] = s.totals.outcomes[o].Load()
	}
	t.Attempts = s.totals.attempts.Load()
	t.InFlight = s.stats.inFlight.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Clients = len(s.conns)
	return t
}

// countOutcome counts a request that has ended, by its outcome.
func (s *Server) countOutcome(o Outcome) { s.totals.outcomes[o].Add(1) }
