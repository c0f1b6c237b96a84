package upstreamconn

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mulleinrouter/internal/decision"
)

// Each row of PROTOCOL's table of outcomes, and each with a cancel at the same time.
func TestVerdicts(t *testing.T) {
	written := func(l *Machine) {
		l.Begin()
		l.Written()
	}
	kept := func(l *Machine) { // a connection that has answered before
		written(l)
		l.Answered(Answer{Status: 200}, false)
	}
	answered := func(a Answer, cancelled bool) func(*Machine) Verdict {
		return func(l *Machine) Verdict {
			written(l)
			return l.Answered(a, cancelled)
		}
	}
	unanswered := func(tr Failure) func(*Machine) Verdict {
		return func(l *Machine) Verdict {
			written(l)
			return l.FailedAwaiting(tr)
		}
	}
	unwritten := func(tr Failure) func(*Machine) Verdict {
		return func(l *Machine) Verdict {
			l.Begin()
			return l.FailedWriting(tr)
		}
	}
	for _, tc := range []struct {
		name  string
		kept  bool
		do    func(*Machine) Verdict
		want  Verdict
		state State
	}{
		{"200", false, answered(Answer{Status: 200}, false), Verdict{Outcome: decision.Succeeded, Answered: true, Reusable: true}, Idle},
		{"200 and a cancel", false, answered(Answer{Status: 200}, true), Verdict{Outcome: decision.Succeeded, Answered: true, Code: "upstream-not-needed"}, Ended},
		{"200 and its close", true, answered(Answer{Status: 200, Close: true}, false), Verdict{Outcome: decision.Succeeded, Answered: true, Code: "upstream-close"}, Ended},
		{"200 and more", true, answered(Answer{Status: 200, TrailingBytes: true}, false), Verdict{Outcome: decision.Succeeded, Answered: true, Code: "upstream-bad-answer"}, Ended},
		{"500", false, answered(Answer{Status: 500}, false), Verdict{Outcome: decision.Failed, Answered: true, Reusable: true}, Idle},
		{"500 not processed", false, answered(Answer{Status: 500, NotProcessed: true}, false), Verdict{Outcome: decision.Failed, Answered: true, Reusable: true}, Idle},
		{"503", false, answered(Answer{Status: 503}, false), Verdict{Outcome: decision.Failed, Answered: true, Reusable: true}, Idle},
		{"503 not processed", false, answered(Answer{Status: 503, NotProcessed: true}, false), Verdict{Outcome: decision.Rejected, Answered: true, Reusable: true}, Idle},
		{"504 not processed and a cancel", false, answered(Answer{Status: 504, NotProcessed: true}, true), Verdict{Outcome: decision.Rejected, Answered: true, Code: "upstream-not-needed"}, Ended},
		{"breaks before the last byte, new", false, unwritten(ConnectionLost), Verdict{Outcome: decision.ConnectionRefused, Code: "upstream-write-failed"}, Ended},
		{"breaks before the last byte, kept", true, unwritten(ConnectionLost), Verdict{Outcome: decision.ConnectionRefused, TryNextConnection: true, Code: "upstream-write-failed"}, Ended},
		{"cancelled before the last byte", true, unwritten(Cancelled), Verdict{Outcome: decision.NotSent, Code: "upstream-not-needed"}, Ended},
		{"breaks after it", true, unanswered(ConnectionLost), Verdict{Outcome: decision.ConnectionReset, Code: "upstream-reset"}, Ended},
		{"silent", true, unanswered(TimedOut), Verdict{Outcome: decision.TimedOut, Code: "upstream-timeout"}, Ended},
		{"cancelled after it", true, unanswered(Cancelled), Verdict{Outcome: decision.Cancelled, Code: "upstream-cancelled"}, Ended},
		{"no answer", true, unanswered(Malformed), Verdict{Outcome: decision.Failed, Code: "upstream-bad-answer"}, Ended},
		{"not begun", true, func(l *Machine) Verdict { l.Begin(); return l.NotBegun() }, Verdict{Outcome: decision.NotSent, Reusable: true}, Idle},
		{"an answer to nothing", true, func(l *Machine) Verdict { return l.Answered(Answer{Status: 200}, false) }, Verdict{Outcome: decision.ConnectionReset, Code: "upstream-illegal", Err: ErrState}, Ended},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &Machine{}
			if tc.kept {
				kept(l)
			}
			if diff := cmp.Diff(tc.want, tc.do(l), cmpopts.EquateErrors()); diff != "" || l.State() != tc.state {
				t.Errorf("state %v, want %v\n%s", l.State(), tc.state, diff)
			}
			if l.State() == Ended && (l.Begin() == nil || l.Written() == nil) {
				t.Error("used again after its end")
			}
		})
	}
}

// A kept connection is taken where the names of answers tell a copy of an earlier one from the request's own.
func TestFits(t *testing.T) {
	for _, tc := range []struct {
		f    Reuse
		want bool
	}{
		{Reuse{}, true}, {Reuse{AtMostOnce: true}, true}, {Reuse{SawUnidentified: true}, true}, {Reuse{AtMostOnce: true, SawUnidentified: true}, false},
		{Reuse{Resent: true}, false}, {Reuse{Resent: true, AtMostOnce: true}, false}, {Reuse{Resent: true, SawUnidentified: true}, false}, {Reuse{Resent: true, AtMostOnce: true, SawUnidentified: true}, false},
	} {
		if got := MayReuse(tc.f); got != tc.want {
			t.Errorf("%+v: %v", tc.f, got)
		}
	}
}

// Answers to others and streamed bodies: what becomes of the connection.
func TestOthersAndStreams(t *testing.T) {
	for _, tc := range []struct {
		name          string
		others        int
		close, cancel bool
		whole, more   bool
		want          Verdict
	}{
		{"whole", 0, false, false, true, false, Verdict{Reusable: true}},
		{"cut", 0, false, false, false, false, Verdict{Code: "upstream-stream-cut"}},
		{"more behind it", 0, false, false, true, true, Verdict{Code: "upstream-stream-ended"}},
		{"the server closes", 0, true, false, true, false, Verdict{Code: "upstream-stream-ended"}},
		{"given up meanwhile", 0, false, true, true, false, Verdict{Code: "upstream-stream-ended"}},
		{"behind another's answer", 1, false, false, true, false, Verdict{Code: "upstream-stream-ended"}},
		{"behind four", 4, false, false, true, false, Verdict{Code: "upstream-stream-ended"}},
	} {
		l := &Machine{}
		if l.ForeignAnswer() || l.StreamEnded(true, false).Reusable {
			t.Errorf("%s: before anything was written", tc.name)
		}
		*l = Machine{}
		l.Begin()
		l.Written()
		for range tc.others {
			if !l.ForeignAnswer() {
				t.Errorf("%s: not passed over", tc.name)
			}
		}
		v := l.BeginStreaming(Answer{Status: 200, Close: tc.close}, tc.cancel)
		if v.Reusable || v.Outcome != decision.Succeeded || l.State() != Streaming || l.Begin() == nil {
			t.Errorf("%s: %+v, %v", tc.name, v, l.State())
		}
		if got := l.StreamEnded(tc.whole, tc.more); got != tc.want || (l.State() == Idle) != tc.want.Reusable {
			t.Errorf("%s: %+v, want %+v", tc.name, got, tc.want)
		}
	}
	l := &Machine{}
	l.Begin()
	l.Written()
	for n := range 6 {
		if l.ForeignAnswer() != (n < maxForeignAnswers) {
			t.Errorf("the other answer %d", n)
		}
	}
}

func TestHold(t *testing.T) {
	var m LossHistory
	m.Record("bad", 100)
	for _, tc := range []struct {
		server string
		now    float64
		e      Evidence
		want   bool
	}{
		{"good", 101, Evidence{New: true}, false}, {"good", 101, Evidence{IdleFor: 0.5}, false}, {"good", 101, Evidence{IdleFor: 1.5}, true},
		{"good", 101, Evidence{New: true, AtMostOnce: true}, true}, {"good", 101, Evidence{IdleFor: 0.01, AtMostOnce: true}, true},
		{"bad", 101, Evidence{New: true}, true}, {"bad", 109, Evidence{IdleFor: 0.01}, true}, {"bad", 111, Evidence{IdleFor: 0.01}, false},
	} {
		if got := m.HoldLastByte(tc.server, tc.now, tc.e); got != tc.want {
			t.Errorf("%s at %g, %+v: %v", tc.server, tc.now, tc.e, got)
		}
	}
	m.Expire(105)
	if len(m.lastLoss) != 1 {
		t.Error("forgotten too early")
	}
	m.Expire(111)
	if len(m.lastLoss) != 0 {
		t.Error("kept for ever")
	}
}

// A shelf used by chance: what is up is what was taken and not told as gone, in no more places than there are.
func TestShelf(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s, next, full, spares := NewIdlePool[int](5), 0, 0, 0
	busy, idle, where := map[int]string{}, map[int]string{}, map[int]float64{}
	any := func(m map[int]string) int {
		for id := range next {
			if _, ok := m[id]; ok && rng.IntN(2) == 0 {
				return id
			}
		}
		return -1
	}
	for now := 0.0; now < 5000; now++ {
		server := fmt.Sprint("s", rng.IntN(3))
		switch rng.IntN(5) {
		case 0:
			if c, ok := s.Take(server); ok {
				if idle[c.Conn] != server {
					t.Fatalf("%d is not idle at %s", c.Conn, server)
				}
				delete(idle, c.Conn)
				busy[c.Conn] = server
			}
		case 1:
			spare, end, ok := s.Reserve()
			if !ok {
				if full++; len(idle) > 0 || len(busy) < 5 {
					t.Fatal("no room, and there is")
				}
				continue
			}
			if end {
				spares++
				for id := range idle {
					if where[id] < where[spare] {
						t.Fatalf("%d has been idle for longer than %d", id, spare)
					}
				}
				delete(idle, spare)
				s.Closed()
			}
			busy[next] = server
			next++
		case 2:
			if id := any(busy); id >= 0 {
				s.Put(busy[id], id, now)
				idle[id], where[id] = busy[id], now
				delete(busy, id)
			}
		case 3:
			if id := any(busy); id >= 0 {
				delete(busy, id)
				s.Closed()
			}
		case 4:
			for _, id := range s.TakeExpired(now-20, func(server string) bool { return server != "s2" || rng.IntN(2) == 0 }) {
				if _, ok := idle[id]; !ok || idle[id] != "s2" && where[id] >= now-20 {
					t.Fatalf("%d ended, idle since %g at %g", id, where[id], now)
				}
				delete(idle, id)
				s.Closed()
			}
		}
		if s.Open() != len(idle)+len(busy) || s.Open() > 5 || s.Idle("s0")+s.Idle("s1")+s.Idle("s2") != len(idle) {
			t.Fatalf("%d up, %d idle and %d busy", s.Open(), len(idle), len(busy))
		}
	}
	if full == 0 || spares == 0 {
		t.Errorf("full %d times, %d spares", full, spares)
	}
}
