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

// beats tells the control nodes of it until it ends.
func (s *server) sendHeartbeats() {
	t := time.NewTicker(s.cluster.options.HeartbeatInterval)
	defer t.Stop()
	for {
		if !s.unresponsive.Load() && !s.draining.Load() {
			s.notify(http.MethodPut, "serving", heartbeatTimeout)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// notify calls the control nodes until one acknowledges, for a span; it may ask each a few times.
func (s *server) notify(method, phase string, most time.Duration) (acked bool) {
	until := time.Now().Add(most)
	s.mu.Lock()
	first := s.heartbeatTarget
	at := s.rng.IntN(len(s.cluster.core))
	s.mu.Unlock()
	for n := 0; ; n++ {
		addr := s.cluster.core[(at+n)%len(s.cluster.core)].address(s.cluster.ports.control)
		if n == 0 && first != "" {
			addr = first
		}
		by, target, ok := s.callControl(addr, method, phase)
		s.mu.Lock()
		if ok {
			s.heartbeatTarget = target
		} else if addr == first {
			s.heartbeatTarget = ""
		}
		s.mu.Unlock()
		if ok {
			if phase != "serving" {
				s.cluster.recorder.departure(invariants.Departure{Instance: s.id, At: s.cluster.now(), By: by})
			}
			return true
		}
		if time.Now().After(until) || s.ctx.Err() != nil {
			return false
		}
		s.cluster.sleep(50 * time.Millisecond)
	}
}

// callControl makes one callControl; by names the machine that acknowledged.
func (s *server) callControl(addr, method, phase string) (by, target string, ok bool) {
	var body io.Reader
	if method == http.MethodPut {
		seq := s.callSeq.Add(1)
		slowStart := max(0, slowStartTime-time.Since(s.startedAt))
		text, _ := json.Marshal(map[string]any{"address": s.addr,
			"summary":  map[string]any{"backend": s.service, "generation": s.generation, "zone": s.zone, "capacity": s.slots},
			"observed": map[string]any{"phase": phase, "callSeq": seq, "coldLeftMs": slowStart.Milliseconds()}})
		body = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/instances/"+s.id, body)
	if err != nil {
		panic(err) // we have composed it
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := s.cluster.httpClient.Do(r)
	if err != nil {
		return "", "", false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAckBytes+1))
	if err != nil || len(text) > maxAckBytes || answer.StatusCode/100 != 2 {
		if answer.StatusCode/100 == 4 {
			s.cluster.recorder.notef("%s %s of %s got %d: %.100s", method, phase, s.id, answer.StatusCode, text)
		}
		return "", "", false
	}
	var said struct {
		BeatTarget string `json:"beatTarget"`
	}
	json.Unmarshal(text, &said) // an empty or another body names none
	host, _, _ := strings.Cut(answer.Request.URL.Host, ":")
	return s.cluster.machineName(host), said.BeatTarget, true
}

// depart has it end in order: it says so, serves on, says that it is gone, and ends.
func (s *server) depart() {
	s.draining.Store(true)
	if s.notify(http.MethodPut, "draining", departureTimeout) {
		s.cluster.sleepInTraffic(time.Duration(s.cluster.options.Bounds.Drain*float64(time.Second)) + drainMargin)
		s.notify(http.MethodDelete, "gone", departureTimeout)
	} else {
		s.cluster.recorder.notef("%s: no acknowledgement of its leave", s.id)
	}
	s.stop()
}
