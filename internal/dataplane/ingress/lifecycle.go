package ingress

import (
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

// Started makes the readiness page answer 200, since the process serves.
func (s *Server) Started() { s.transition(decision.Started) }

// Shutdown makes the readiness page answer 503 from now on. It is called when a SIGTERM is received. Until Drain, new
// connections are still served, and connections stay open after an answer (see decision.Lifecycle.KeepOpen).
func (s *Server) Shutdown() { s.transition(decision.Terminate) }

// LameDuck drains the process without stopping it. The readiness page answers 503. Idle connections are closed at once,
// the others after their next answer. New connections are still served, but only for one request each. LameDuck reports
// whether it took effect.
func (s *Server) LameDuck() bool { return s.transition(decision.EnterLameDuck) }

// Rejoin ends a drain that LameDuck began: the readiness page answers 200 again, and connections stay open after an
// answer. It reports whether it took effect, which it does not in the phases Starting, Stopping and Closing.
func (s *Server) Rejoin() bool { return s.transition(decision.Rejoin) }

// Phase returns the phase of the process.
func (s *Server) Phase() decision.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.Phase()
}

// transition handles an event of the process's life cycle, closes the idle connections if they are not to stay open,
// and reports whether the event took effect.
func (s *Server) transition(event decision.LifecycleEvent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.lifecycle.Phase()
	effective := s.lifecycle.Handle(event)
	if !s.lifecycle.KeepOpen() {
		for c := range s.conns {
			if c.machine.ClosesOnDrain() && !c.isServedBeforeClose() {
				c.close(clientconn.CodeDrain)
			}
		}
	}
	if after := s.lifecycle.Phase(); after != before {
		level.Info(s.log).Log("msg", "process phase changed",
			"code", "process-phase", "phase", after.String(), "was", before.String(),
		)
	}
	return effective
}

// Drain closes the idle connections and waits for the others to end. After the timeout it cancels the attempts in
// flight, so that each request still gets an answer, and waits for the grace period.
func (s *Server) Drain(timeout, grace time.Duration) {
	s.transition(decision.Close)
	if !s.awaitConns(timeout) {
		s.cancel()
		s.awaitConns(grace)
	}
	s.cancel()
	s.sweeping.Wait()
}

// awaitConns reports whether all connections have ended within a timeout.
func (s *Server) awaitConns(timeout time.Duration) bool {
	expired := false // guarded by s.mu
	timer := time.AfterFunc(timeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		expired = true
		s.changed.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && !expired {
		s.changed.Wait()
	}
	return len(s.conns) == 0
}

// answerReadiness answers a request for the readiness page, by which the load balancer finds the ingresses that serve:
// 200 while the process serves, and 503 before it serves, as a lame duck and once it is stopping.
func (c *conn) answerReadiness(r *http1.Request) (code string, err error) {
	c.skipWatch(r)
	status := 503
	if c.server.ready() {
		status = 200
	}
	last := closesConnection(r)
	if fleetStatus := c.server.FleetStatus; fleetStatus != nil {
		b := http1.AppendHead(c.out[:0], status, 0)
		b = http1.AppendField(b, "X-Fleet", fleetStatus())
		return c.afterAnswer(r, c.send(b, nil, last))
	}
	return c.afterAnswer(r, c.answer(status, 0, nil, last))
}

func (s *Server) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.Ready()
}
