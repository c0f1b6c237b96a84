package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	heartbeatTimeout = time.Second            // for the acknowledgement of a heartbeat, and for each call
	departureTimeout = 6 * time.Second        // for the acknowledgement of a departure; the server then stops anyway
	drainMargin      = 300 * time.Millisecond // time for which a server keeps serving after the drain bound
	notifyInterval   = 50 * time.Millisecond  // between two attempts to reach a control node
	maxAckBytes      = 4 << 10                // maximum size of an acknowledgement, bytes
)

// phase is the lifecycle phase of a server, with the names of PROTOCOL.md.
type phase string

const (
	phaseServing  phase = "serving"
	phaseDraining phase = "draining"
	phaseRemoved  phase = "gone"
)

// heartbeat is the body of PUT /instances/ID.
type heartbeat struct {
	Address  string           `json:"address"`
	Observed observedState    `json:"observed"`
	Summary  instanceMetadata `json:"summary"`
}

type observedState struct {
	CallSeq         uint64 `json:"callSeq"`
	SlowStartLeftMs int64  `json:"coldLeftMs"`
	Phase           phase  `json:"phase"`
}

type instanceMetadata struct {
	Backend    string `json:"backend"`
	Capacity   int    `json:"capacity"` // number of requests executed concurrently
	Generation string `json:"generation"`
	Zone       string `json:"zone"`
}

// acknowledgement is the response body of a heartbeat.
type acknowledgement struct {
	HeartbeatTarget string `json:"beatTarget"` // address to send the next heartbeat to; empty: any control node
}

// sendHeartbeats sends heartbeats to the control nodes until the server stops.
func (s *server) sendHeartbeats() {
	t := time.NewTicker(s.cluster.options.HeartbeatInterval)
	defer t.Stop()
	for {
		if !s.unresponsive.Load() && !s.draining.Load() {
			s.notify(http.MethodPut, phaseServing, heartbeatTimeout)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// notify calls the control nodes in turn until one acknowledges the call, the timeout expires or the server stops. The
// first call goes to the preferred node, if the last acknowledgement named one.
func (s *server) notify(method string, p phase, timeout time.Duration) (acknowledged bool) {
	cl := s.cluster
	until := time.Now().Add(timeout)
	s.mu.Lock()
	preferred := s.heartbeatTarget
	first := s.rng.IntN(len(cl.core))
	s.mu.Unlock()
	for n := 0; ; n++ {
		addr := cl.coreAt(first + n).address(cl.ports.control)
		if n == 0 && preferred != "" {
			addr = preferred
		}
		node, target, ok := s.callControl(addr, method, p)
		if ok {
			s.setHeartbeatTarget(target)
			if p != phaseServing {
				cl.recorder.departure(invariants.Departure{Instance: s.id, At: cl.now(), By: node})
			}
			return true
		}
		if addr == preferred {
			s.setHeartbeatTarget("")
		}
		if time.Now().After(until) || s.ctx.Err() != nil {
			return false
		}
		cl.sleep(notifyInterval)
	}
}

func (s *server) setHeartbeatTarget(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeatTarget = addr
}

// heartbeatTo sends one heartbeat to one control node.
func (s *server) heartbeatTo(node *machine) (acknowledged bool) {
	_, _, ok := s.callControl(node.address(s.cluster.ports.control), http.MethodPut, phaseServing)
	return ok
}

// callControl makes one call to a control node, which may redirect it. It returns the name of the machine that
// acknowledged the call, and target, the address that the acknowledgement names for the next heartbeat.
func (s *server) callControl(addr, method string, p phase) (node, target string, ok bool) {
	cl := s.cluster
	var body io.Reader
	if method == http.MethodPut {
		text, _ := json.Marshal(s.newHeartbeat(p))
		body = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/instances/"+s.id, body)
	if err != nil {
		panic(err) // cannot happen: the method and URL are valid
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := cl.httpClient.Do(request)
	if err != nil {
		return "", "", false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAckBytes+1))
	if err != nil || len(text) > maxAckBytes || answer.StatusCode/100 != 2 {
		if answer.StatusCode/100 == 4 {
			cl.recorder.notef("%s %s of %s got %d: %.100s", method, p, s.id, answer.StatusCode, text)
		}
		return "", "", false
	}
	var acknowledged acknowledgement
	json.Unmarshal(text, &acknowledged) // if the body is invalid, no preferred node is named
	host, _, _ := strings.Cut(answer.Request.URL.Host, ":")
	return cl.machineName(host), acknowledged.HeartbeatTarget, true
}

// newHeartbeat returns a heartbeat with the next sequence number.
func (s *server) newHeartbeat(p phase) heartbeat {
	slowStartLeft := max(0, slowStartTime-time.Since(s.startedAt))
	return heartbeat{
		Address: s.addr,
		Observed: observedState{
			CallSeq:         s.callSeq.Add(1),
			SlowStartLeftMs: slowStartLeft.Milliseconds(),
			Phase:           p,
		},
		Summary: instanceMetadata{
			Backend:    s.service,
			Capacity:   s.slots,
			Generation: s.generation,
			Zone:       s.zone,
		},
	}
}

// depart shuts the server down gracefully. The server announces that it is draining, keeps serving for the drain time,
// deregisters and stops. If the announcement is not acknowledged, it stops at once.
func (s *server) depart() {
	defer s.stop()
	s.draining.Store(true)
	if !s.notify(http.MethodPut, phaseDraining, departureTimeout) {
		s.cluster.recorder.notef("%s: the announcement of its departure was not acknowledged", s.id)
		return
	}
	s.cluster.sleepInTraffic(seconds(s.cluster.options.Bounds.Drain) + drainMargin)
	s.notify(http.MethodDelete, phaseRemoved, departureTimeout)
}
