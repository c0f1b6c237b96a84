package ingress

import "sync/atomic"

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Answered           Outcome = iota // a backend's success, or its rejection of what the client asked for
	ServerFailed                      // a backend's own failure was forwarded
	Failed                            // it may have run, and there is no answer
	OverQuota                         // it exceeded its tenant's quota, and has not run
	NoServer                          // no backend took it in time, and it has not run
	Invalid                           // it could not be served: unknown route or key, or not well-formed
	ClientDisconnected                // nobody waits for the answer

	outcomeCount
)

// outcomeNames are labels of metrics.
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

// totals counts requests by their outcome, and the times that attempts were written completely.
type totals struct {
	outcomes [outcomeCount]atomic.Int64
	attempts atomic.Int64
}

// Totals are counts since the process started, and current numbers.
type Totals struct {
	Outcomes [outcomeCount]int64 // by Outcome
	Attempts int64               // written completely
	InFlight int64               // requests now
	Clients  int                 // connections now
}

// Totals returns the counts.
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

// countOutcome counts a request that has ended.
func (s *Server) countOutcome(o Outcome) { s.totals.outcomes[o].Add(1) }
