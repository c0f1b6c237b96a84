package ingress

import (
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

// Started makes the readiness page say yes: the process serves.
func (s *Server) Started() { s.transition(decision.Started) }

// Shutdown makes the readiness page say no, for good: a SIGTERM was received. Idle connections are closed at once, the
// others after their next answer.
func (s *Server) Shutdown() { s.transition(decision.Terminate) }

// LameDuck drains without stopping: the readiness page says no, idle connections are closed at once and the others
// after their next answer; new connections are still served, each for one request. It reports whether it took effect.
func (s *Server) LameDuck() bool { return s.transition(decision.EnterLameDuck) }

// Rejoin ends a drain that LameDuck began: the readiness page says yes again, and connections stay open. It reports
// whether it took effect: not once the process stops.
func (s *Server) Rejoin() bool { return s.transition(decision.Rejoin) }

// Phase returns the phase of the process.
func (s *Server) Phase() decision.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.Phase()
}

// transition handles an event of the process's life cycle, and reports whether it took effect.
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

// Drain closes the idle connections and waits for the others to end. At the end of a timeout it cancels the attempts in
// flight, so that each request still gets its answer, and waits for a grace period more.
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
	expired := false // guarded by the mutex
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

// answerReadiness answers the load balancer: 200 while the process serves, 503 before, as a lame duck and once it
// stops.
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
