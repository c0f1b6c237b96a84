package ingress

import "sync/atomic"

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Answered           Outcome = iota // a server's success, or its refusal of what the client asked
	ServerFailed                      // a server's own failure was passed on
	Failed                            // it may have run, and no answer can be given
	OverQuota                         // it is beyond its tenant's quota, and has not run
	NoServer                          // no server took it in time, and it has not run
	Invalid                           // it is none that could be served: unknown route or key, or not well-formed
	ClientDisconnected                // nobody waits for the answer
	outcomeCount                      // not one itself
)

var outcomeNames = [outcomeCount]string{"answered", "server_failed", "failed", "refused_quota", "refused_no_server", "rejected", "client_gone"}

func (o Outcome) String() string { return outcomeNames[o] }

// totals counts requests by their outcome, and the times that attempts were written whole.
type totals struct {
	outcomes [outcomeCount]atomic.Int64
	attempts atomic.Int64
}

// Totals are counts since the process started.
type Totals struct {
	Outcomes [outcomeCount]int64 // by Outcome
	Attempts int64
	InFlight int64 // requests in hand now
	Clients  int   // connections now
}

// Totals returns the counts.
func (s *Server) Totals() (t Totals) {
	for o := range t.Outcomes {
		t.Outcomes[o] = s.totals.outcomes[o].Load()
	}
	t.Attempts, t.InFlight = s.totals.attempts.Load(), s.stats.inFlight.Load()
	s.mu.Lock()
	t.Clients = len(s.conns)
	s.mu.Unlock()
	return t
}

// ended counts a request that has ended.
func (s *Server) countOutcome(o Outcome) { s.totals.outcomes[o].Add(1) }
