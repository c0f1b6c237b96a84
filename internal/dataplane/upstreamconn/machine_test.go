package upstreamconn

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mulleinrouter/internal/decision"
)

// The functions below run a machine through an attempt, up to the verdict at its end.

func write(m *Machine) {
	m.Begin()
	m.Written()
}

func answered(a Answer, cancelled bool) func(*Machine) Verdict {
	return func(m *Machine) Verdict {
		write(m)
		return m.Answered(a, cancelled)
	}
}

func failedAwaiting(failure Failure) func(*Machine) Verdict {
	return func(m *Machine) Verdict {
		write(m)
		return m.FailedAwaiting(failure)
	}
}

func failedWriting(failure Failure) func(*Machine) Verdict {
	return func(m *Machine) Verdict {
		m.Begin()
		return m.FailedWriting(failure)
	}
}

func failedIncomplete(failure Failure) func(*Machine) Verdict {
	return func(m *Machine) Verdict {
		m.Begin()
		m.MayExecute()
		return m.FailedWriting(failure)
	}
}

func notBegun(m *Machine) Verdict {
	m.Begin()
	return m.NotBegun()
}

func answeredWithoutRequest(m *Machine) Verdict { return m.Answered(Answer{Status: 200}, false) }

// Each row of PROTOCOL's table of outcomes leads to its verdict, also with a cancellation at the same time.
func TestVerdicts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		reused bool // the connection has answered before
		end    func(*Machine) Verdict
		want   Verdict
		state  State
	}{
		{
			name:  "200",
			end:   answered(Answer{Status: 200}, false),
			want:  Verdict{Outcome: decision.Succeeded, Answered: true, Reusable: true},
			state: Idle,
		},
		{
			name:  "200 and a cancellation",
			end:   answered(Answer{Status: 200}, true),
			want:  Verdict{Outcome: decision.Succeeded, Answered: true, Code: "upstream-not-needed"},
			state: Ended,
		},
		{
			name:   "200 and its close",
			reused: true,
			end:    answered(Answer{Status: 200, Close: true}, false),
			want:   Verdict{Outcome: decision.Succeeded, Answered: true, Code: "upstream-close"},
			state:  Ended,
		},
		{
			name:   "200 and trailing bytes",
			reused: true,
			end:    answered(Answer{Status: 200, TrailingBytes: true}, false),
			want:   Verdict{Outcome: decision.Succeeded, Answered: true, Code: "upstream-bad-answer"},
			state:  Ended,
		},
		{
			name:  "500",
			end:   answered(Answer{Status: 500}, false),
			want:  Verdict{Outcome: decision.Failed, Answered: true, Reusable: true},
			state: Idle,
		},
		{
			name:  "500 not processed",
			end:   answered(Answer{Status: 500, NotProcessed: true}, false),
			want:  Verdict{Outcome: decision.Failed, Answered: true, Reusable: true},
			state: Idle,
		},
		{
			name:  "503",
			end:   answered(Answer{Status: 503}, false),
			want:  Verdict{Outcome: decision.Failed, Answered: true, Reusable: true},
			state: Idle,
		},
		{
			name:  "503 not processed",
			end:   answered(Answer{Status: 503, NotProcessed: true}, false),
			want:  Verdict{Outcome: decision.Rejected, Answered: true, Reusable: true},
			state: Idle,
		},
		{
			name:  "504 not processed and a cancellation",
			end:   answered(Answer{Status: 504, NotProcessed: true}, true),
			want:  Verdict{Outcome: decision.Rejected, Answered: true, Code: "upstream-not-needed"},
			state: Ended,
		},
		{
			name:  "lost before the last byte, new",
			end:   failedWriting(ConnectionLost),
			want:  Verdict{Outcome: decision.ConnectionRefused, Code: "upstream-write-failed"},
			state: Ended,
		},
		{
			name:   "lost while writing, but it may be executed",
			reused: true,
			end:    failedIncomplete(ConnectionLost),
			want:   Verdict{Outcome: decision.ConnectionReset, Code: "upstream-reset"},
			state:  Ended,
		},
		{
			name:  "cancelled while writing, but it may be executed",
			end:   failedIncomplete(Cancelled),
			want:  Verdict{Outcome: decision.Cancelled, Code: "upstream-cancelled"},
			state: Ended,
		},
		{
			name:  "malformed early answer",
			end:   failedIncomplete(Malformed),
			want:  Verdict{Outcome: decision.Failed, Code: "upstream-bad-answer"},
			state: Ended,
		},
		{
			name:   "lost before the last byte, reused",
			reused: true,
			end:    failedWriting(ConnectionLost),
			want: Verdict{
				Outcome:           decision.ConnectionRefused,
				TryNextConnection: true,
				Code:              "upstream-write-failed",
			},
			state: Ended,
		},
		{
			name:   "cancelled before the last byte",
			reused: true,
			end:    failedWriting(Cancelled),
			want:   Verdict{Outcome: decision.NotSent, Code: "upstream-not-needed"},
			state:  Ended,
		},
		{
			name:  "lost after the last byte",
			end:   failedAwaiting(ConnectionLost),
			want:  Verdict{Outcome: decision.ConnectionReset, Code: "upstream-reset"},
			state: Ended,
		},
		{
			name:   "silent",
			reused: true,
			end:    failedAwaiting(TimedOut),
			want:   Verdict{Outcome: decision.TimedOut, Code: "upstream-timeout"},
			state:  Ended,
		},
		{
			name:   "cancelled after the last byte",
			reused: true,
			end:    failedAwaiting(Cancelled),
			want:   Verdict{Outcome: decision.Cancelled, Code: "upstream-cancelled"},
			state:  Ended,
		},
		{
			name:   "malformed answer",
			reused: true,
			end:    failedAwaiting(Malformed),
			want:   Verdict{Outcome: decision.Failed, Code: "upstream-bad-answer"},
			state:  Ended,
		},
		{
			name:   "not begun",
			reused: true,
			end:    notBegun,
			want:   Verdict{Outcome: decision.NotSent, Reusable: true},
			state:  Idle,
		},
		{
			name:   "an answer without a request",
			reused: true,
			end:    answeredWithoutRequest,
			want:   Verdict{Outcome: decision.ConnectionReset, Code: "upstream-illegal", Err: ErrState},
			state:  Ended,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := &Machine{}
			if tc.reused {
				answered(Answer{Status: 200}, false)(m)
			}
			if diff := cmp.Diff(tc.want, tc.end(m), cmpopts.EquateErrors()); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
			if m.State() != tc.state {
				t.Errorf("state %v, want %v", m.State(), tc.state)
			}
			if m.State() == Ended && (m.Begin() == nil || m.Written() == nil) {
				t.Error("used again after its end")
			}
		})
	}
}

// A connection is reused if the IDs of answers distinguish the awaited answer from a duplicate of an earlier one.
func TestMayReuse(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reuse ReuseConditions
		want  bool
	}{
		{"idempotent", ReuseConditions{}, true},
		{"at most once", ReuseConditions{AtMostOnce: true}, true},
		{"idempotent, saw an unidentified answer", ReuseConditions{SawUnidentified: true}, true},
		{"at most once, saw an unidentified answer", ReuseConditions{AtMostOnce: true, SawUnidentified: true}, false},
		{"resent", ReuseConditions{Resent: true}, false},
		{"resent, at most once", ReuseConditions{Resent: true, AtMostOnce: true}, false},
		{"resent, saw an unidentified answer", ReuseConditions{Resent: true, SawUnidentified: true}, false},
		{"all three", ReuseConditions{Resent: true, AtMostOnce: true, SawUnidentified: true}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := MayReuse(tc.reuse); got != tc.want {
				t.Errorf("%+v: got %v, want %v", tc.reuse, got, tc.want)
			}
		})
	}
}

// A connection is reused after a streamed body only if the body is complete, no bytes follow it, no answer to another
// request has arrived, and neither side closes the connection.
func TestForeignAnswersAndStreams(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		foreign                 int
		close, cancel           bool
		complete, trailingBytes bool
		want                    Verdict
	}{
		{name: "complete", complete: true, want: Verdict{Reusable: true}},
		{name: "cut off", want: Verdict{Code: "upstream-stream-cut"}},
		{name: "trailing bytes", complete: true, trailingBytes: true, want: Verdict{Code: "upstream-stream-ended"}},
		{name: "closed by the server", close: true, complete: true, want: Verdict{Code: "upstream-stream-ended"}},
		{name: "cancelled meanwhile", cancel: true, complete: true, want: Verdict{Code: "upstream-stream-ended"}},
		{name: "after a foreign answer", foreign: 1, complete: true, want: Verdict{Code: "upstream-stream-ended"}},
		{name: "after four", foreign: 4, complete: true, want: Verdict{Code: "upstream-stream-ended"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := &Machine{}
			if m.ForeignAnswer() || m.StreamEnded(true, false).Reusable {
				t.Error("an answer or a stream was accepted before anything was written")
			}
			*m = Machine{}
			write(m)
			for n := range tc.foreign {
				if !m.ForeignAnswer() {
					t.Errorf("foreign answer %d not skipped", n)
				}
			}
			v := m.BeginStreaming(Answer{Status: 200, Close: tc.close}, tc.cancel)
			if v.Reusable || v.Outcome != decision.Succeeded || m.State() != Streaming || m.Begin() == nil {
				t.Errorf("streaming begins with %+v in state %v", v, m.State())
			}
			got := m.StreamEnded(tc.complete, tc.trailingBytes)
			if got != tc.want || (m.State() == Idle) != tc.want.Reusable {
				t.Errorf("stream ends with %+v in state %v, want %+v", got, m.State(), tc.want)
			}
		})
	}
}

// Up to maxForeignAnswers answers to other requests are skipped. Further ones are not, since a server could send them
// without end.
func TestForeignAnswersAreBounded(t *testing.T) {
	m := &Machine{}
	write(m)
	for n := range 6 {
		if got, want := m.ForeignAnswer(), n < maxForeignAnswers; got != want {
			t.Errorf("foreign answer %d: skipped %v, want %v", n, got, want)
		}
	}
}
