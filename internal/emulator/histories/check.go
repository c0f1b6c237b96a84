package histories

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Call is a call of an application and its answer. Times are measured from the start of the workload.
type Call struct {
	App      int
	Kind     Kind
	Sent     time.Duration
	Received time.Duration
	Status   int           // HTTP status; 0 if no answer came in time, in which case the call may have taken effect
	Hold     time.Duration // requested time to hold a lock
	Fence    uint64        // fencing token of the lock that was acquired, renewed or released
	Value    string        // value of a cell
	Expected *uint64       // revision that the cell must have for a put to take effect; nil means any revision
	Number   uint64        // number or revision in the answer
}

// Kind is the kind of a call.
type Kind string

// The kinds of calls.
const (
	Acquire Kind = "acquire"
	Renew   Kind = "renew"
	Release Kind = "release"
	Number  Kind = "number"
	Put     Kind = "put"
	Get     Kind = "get"
)

// never is the return time of a call without a definite answer, because such a call may take effect at any later time.
const never = time.Duration(math.MaxInt64)

// holdInterval is a time interval in which an application considers itself the holder of a lock.
type holdInterval struct {
	app      int
	fence    uint64
	from, to time.Duration
	sent     time.Duration // time at which the call that acquired the lock was sent
}

// holdIntervals derives from the calls for one lock when each application considered itself the holder. An interval
// begins with the answer that grants the lock. It ends when the hold time has passed since the last successful call was
// sent, when the release was sent, or when a conflict was received.
func holdIntervals(calls []Call) (intervals []holdInterval) {
	open := map[int]*holdInterval{}
	end := func(app int, at time.Duration) {
		if interval := open[app]; interval != nil {
			interval.to = min(interval.to, at)
			intervals = append(intervals, *interval)
			delete(open, app)
		}
	}
	for _, c := range calls {
		current := open[c.App]
		switch {
		case c.Kind == Release:
			end(c.App, c.Sent)
		case c.Status != http.StatusOK:
			if c.Status == http.StatusConflict {
				end(c.App, c.Received)
			}
		case current != nil && c.Received <= current.to && c.Fence == current.fence:
			current.to = max(current.to, c.Sent+c.Hold)
		case c.Kind == Acquire && c.Received < c.Sent+c.Hold:
			end(c.App, never)
			open[c.App] = &holdInterval{c.App, c.Fence, c.Received, c.Sent + c.Hold, c.Sent}
		}
	}
	for app := range open {
		end(app, never)
	}
	return intervals
}

// checkLock checks that no two applications consider themselves the holder at the same time, and that fencing tokens
// increase.
func checkLock(name string, calls []Call) string {
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.Sent, b.Sent) })
	intervals := holdIntervals(calls)
	for i, a := range intervals {
		for _, b := range intervals[i+1:] {
			if a.app != b.app && a.from < b.to && b.from < a.to {
				return fmt.Sprintf("%s: two holders at the same time: %+v and %+v", name, a, b)
			}
			if a.app != b.app && a.fence == b.fence {
				return fmt.Sprintf("%s: one fencing token for two holders: %+v and %+v", name, a, b)
			}
			if a.from < b.sent && b.fence < a.fence || b.from < a.sent && a.fence < b.fence {
				return fmt.Sprintf("%s: the fencing token decreases: %+v and %+v", name, a, b)
			}
		}
	}
	return ""
}

// numberModel is a counter that strictly increases and may skip values.
var numberModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		last, number := state.(uint64), output.(uint64)
		return number > last, number
	},
}

// cellState is the state of a cell in cellModel.
type cellState struct {
	value    string
	revision uint64 // 0 if the cell does not exist; unknownRevision after a put without a definite answer
}

// cellModel is a register whose puts have increasing revisions. A put without a definite answer may have taken effect
// under a revision that no application has seen.
var cellModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{cellState{}} },
	Step: func(state, input, _ any) []any {
		s, c := state.(cellState), input.(Call)
		switch {
		case c.Kind == Get && c.Status == http.StatusNotFound:
			return stateIf(s.revision == 0, s)
		case c.Kind == Get:
			return stateIf(s.mayHave(c.Number) && s.value == c.Value, cellState{s.value, c.Number})
		case c.Status == http.StatusPreconditionFailed:
			return stateIf(s.mayHave(c.Number) && *c.Expected != c.Number, s)
		case c.Status == http.StatusOK:
			rises := s.revision == unknownRevision || c.Number > s.revision
			return stateIf(rises && s.allows(c.Expected), cellState{c.Value, c.Number})
		case s.allows(c.Expected):
			return []any{s, cellState{c.Value, unknownRevision}} // no definite answer: it may have taken effect or not
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

// mayHave reports whether the current revision of the cell may be the given one.
func (cs cellState) mayHave(revision uint64) bool {
	return cs.revision == revision || cs.revision == unknownRevision
}

// allows reports whether a put that expects a revision may take effect.
func (cs cellState) allows(expected *uint64) bool { return expected == nil || cs.mayHave(*expected) }

// unknownRevision is the revision of a cell after a put without a definite answer.
const unknownRevision = math.MaxUint64

// stateIf returns a state as the only possible next one if ok is set, and no state otherwise.
func stateIf(ok bool, s cellState) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

// checkCell checks the calls for one cell against cellModel. Each value must be put only once, because values identify
// puts.
func checkCell(name string, calls []Call) string {
	var operations []porcupine.Operation
	for _, c := range mergePutAttempts(calls) {
		// A read without an answer proves nothing. A call that got a 503 had no effect, because control nodes answer
		// 504 if they do not know whether it had one.
		if c.Status == 0 && c.Kind == Get || c.Status == http.StatusServiceUnavailable {
			continue
		}
		returned := c.Received
		if c.Status != http.StatusOK && c.Status != http.StatusNotFound &&
			c.Status != http.StatusPreconditionFailed {
			returned = never
		}
		operations = append(operations, porcupine.Operation{
			ClientId: c.App, Input: c, Output: nil, Call: int64(c.Sent), Return: int64(returned),
		})
	}
	if !porcupine.CheckOperations(cellModel.ToModel(), operations) {
		return name + ": the cell's history is not linearizable"
	}
	return ""
}

// mergePutAttempts merges the attempts of each put into one operation, from the first time the put was sent to its
// definite answer, because the attempts must take effect as a single put. It ignores answers after a definite one.
func mergePutAttempts(calls []Call) (joined []Call) {
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.Sent, b.Sent) })
	puts := map[string]int{}
	for _, c := range calls {
		if c.Kind != Put {
			joined = append(joined, c)
			continue
		}
		at, again := puts[c.Value]
		if !again {
			puts[c.Value] = len(joined)
			joined = append(joined, c)
			continue
		}
		if first := &joined[at]; first.Status != http.StatusOK && first.Status != http.StatusPreconditionFailed {
			first.Status, first.Number, first.Received = c.Status, c.Number, c.Received
		}
	}
	return joined
}

// checkNumbers checks that the numbers that were assigned under one name strictly increase.
func checkNumbers(name string, calls []Call) string {
	var operations []porcupine.Operation
	for _, c := range calls {
		if c.Status == http.StatusOK {
			operations = append(operations, porcupine.Operation{
				ClientId: c.App, Output: c.Number, Call: int64(c.Sent), Return: int64(c.Received),
			})
		}
	}
	if !porcupine.CheckOperations(numberModel, operations) {
		return name + ": the numbers do not strictly increase"
	}
	return ""
}

// Watch is the answer to a watch call: all puts in a group after one revision, up to and including another.
type Watch struct {
	After, Until uint64
	Events       []Event
}

// Event is a put in the answer to a watch call.
type Event struct {
	Name     string `json:"name"`
	Payload  string `json:"payload"`
	Revision uint64 `json:"revision"`
}

// checkWatches checks that the events of each watch have increasing revisions within the range of the watch, and that
// no acknowledged put is missing.
func checkWatches(group string, puts map[uint64]string, watches []Watch) string {
	for _, w := range watches {
		last, seen := w.After, map[uint64]string{}
		for _, e := range w.Events {
			if e.Revision <= last || e.Revision > w.Until {
				return fmt.Sprintf("%s: event %d in a watch, want one after %d and up to %d",
					group, e.Revision, last, w.Until)
			}
			last = e.Revision
			seen[e.Revision] = e.Payload
		}
		for revision, value := range puts {
			if revision > w.After && revision <= w.Until && seen[revision] != value {
				return fmt.Sprintf("%s: a watch after %d up to %d has %q at revision %d, want %q",
					group, w.After, w.Until, seen[revision], revision, value)
			}
		}
	}
	return ""
}
