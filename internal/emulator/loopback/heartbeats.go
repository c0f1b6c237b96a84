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
	t := time.NewTicker(s.f.o.HeartbeatInterval)
	defer t.Stop()
	for {
		if !s.dark.Load() && !s.draining.Load() {
			s.tell(http.MethodPut, "serving", ackMost)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// tell calls the control nodes until one acknowledges, for a span; it may ask each a few times.
func (s *server) tell(method, phase string, most time.Duration) (acked bool) {
	until := time.Now().Add(most)
	s.mu.Lock()
	first := s.target
	at := s.rng.IntN(len(s.f.core))
	s.mu.Unlock()
	for n := 0; ; n++ {
		addr := s.f.core[(at+n)%len(s.f.core)].at(s.f.ports.control)
		if n == 0 && first != "" {
			addr = first
		}
		by, target, ok := s.call(addr, method, phase)
		s.mu.Lock()
		if ok {
			s.target = target
		} else if addr == first {
			s.target = ""
		}
		s.mu.Unlock()
		if ok {
			if phase != "serving" {
				s.f.recorder.departure(invariants.Departure{Instance: s.id, At: s.f.now(), By: by})
			}
			return true
		}
		if time.Now().After(until) || s.ctx.Err() != nil {
			return false
		}
		s.f.pause(50 * time.Millisecond)
	}
}

// call makes one call; by names the machine that acknowledged.
func (s *server) call(addr, method, phase string) (by, target string, ok bool) {
	var body io.Reader
	if method == http.MethodPut {
		seq := s.calls.Add(1)
		slowStart := max(0, slowStartTime-time.Since(s.began))
		text, _ := json.Marshal(map[string]any{"address": s.addr,
			"summary":  map[string]any{"backend": s.service, "generation": s.generation, "zone": s.zone, "capacity": s.slots},
			"observed": map[string]any{"phase": phase, "callSeq": seq, "coldLeftMs": slowStart.Milliseconds()}})
		body = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(s.ctx, ackMost)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/instances/"+s.id, body)
	if err != nil {
		panic(err) // we have composed it
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := s.f.control.Do(r)
	if err != nil {
		return "", "", false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, ackBytes+1))
	if err != nil || len(text) > ackBytes || answer.StatusCode/100 != 2 {
		if answer.StatusCode/100 == 4 {
			s.f.recorder.note("%s %s of %s got %d: %.100s", method, phase, s.id, answer.StatusCode, text)
		}
		return "", "", false
	}
	var said struct {
		BeatTarget string `json:"beatTarget"`
	}
	json.Unmarshal(text, &said) // an empty or another body names none
	host, _, _ := strings.Cut(answer.Request.URL.Host, ":")
	return s.f.nameOf(host), said.BeatTarget, true
}

// leave has it end in order: it says so, serves on, says that it is gone, and ends.
func (s *server) leave() {
	s.draining.Store(true)
	if s.tell(http.MethodPut, "draining", leaveMost) {
		s.f.hold(time.Duration(s.f.o.Bounds.Drain*float64(time.Second)) + behind)
		s.tell(http.MethodDelete, "gone", leaveMost)
	} else {
		s.f.recorder.note("%s: no acknowledgement of its leave", s.id)
	}
	s.end()
}
