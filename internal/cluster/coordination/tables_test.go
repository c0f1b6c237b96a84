package coordination

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"mulleinrouter/internal/cluster/shard"
)

// history is how long watches may rely on events in these tests, in seconds.
const history = 20.0

// leaseholder is tables together with the records that their writes have produced.
type leaseholder struct {
	t       failer
	tables  *Tables
	records map[string][]byte
	seq     uint64 // number of the last batch
	commit  uint64 // number of the last committed batch
	now     float64
}

// failer receives the failures of a scenario. It is a test, or a counter of the failures under a seeded fault.
type failer interface {
	Errorf(format string, args ...any)
}

func newLeaseholder(t failer) *leaseholder {
	l := &leaseholder{t: t, records: map[string][]byte{}, seq: 1, commit: 1, now: 100}
	l.takeOver()
	return l
}

// takeOver begins another term with the present records.
func (l *leaseholder) takeOver() {
	tables, err := Load(l.records, l.seq, l.now, history)
	if err != nil {
		l.t.Errorf("load: %v", err)
	}
	l.tables = tables
	l.seq++
	l.commit = l.seq
}

// evaluate evaluates a request, and commits its writes.
func (l *leaseholder) evaluate(r Request) Result {
	out := l.propose(r)
	l.commit = l.seq
	return out.Result
}

// propose evaluates a request. Its writes are not committed yet.
func (l *leaseholder) propose(r Request) Outcome {
	out := l.tables.Evaluate(r, l.now, l.seq+1, l.commit)
	l.write(out.Writes)
	return out
}

func (l *leaseholder) write(writes []shard.Write) {
	if len(writes) == 0 {
		return
	}
	l.seq++
	for _, w := range writes {
		if w.Value == nil {
			delete(l.records, w.Key)
		} else {
			l.records[w.Key] = w.Value
		}
	}
}

func (l *leaseholder) upkeep() { l.write(l.tables.Upkeep(l.now, l.commit)) }

// expect evaluates a request and compares its result.
func (l *leaseholder) expect(what string, r Request, want Result) {
	if got := l.evaluate(r); !reflect.DeepEqual(got, want) {
		l.t.Errorf("%s: got %+v, want %+v", what, got, want)
	}
}

func acquire(owner string, holdMs int64) Request {
	return Request{Kind: AcquireLock, Name: "l", Owner: owner, HoldMs: holdMs}
}

func renew(fence uint64, holdMs int64) Request {
	return Request{Kind: RenewLock, Name: "l", Owner: "a", Fence: fence, HoldMs: holdMs}
}

func release(owner string, fence uint64) Request {
	return Request{Kind: ReleaseLock, Name: "l", Owner: owner, Fence: fence}
}

// inState is a result with the state of the hold after a number of prolongations in the present term.
func (l *leaseholder) inState(r Result, prolongations uint64) Result {
	r.Hold = &HoldState{Term: l.tables.term, Prolongations: prolongations}
	return r
}

func putValue(name, value string) Request { return Request{Kind: PutCell, Name: name, Value: value} }

func watch(after uint64) Request { return Request{Kind: Watch, Name: "g.", After: after} }

// scenarios check the rules of the tables by name. Each seeded fault makes at least one of them fail.
var scenarios = map[string]func(*leaseholder){
	"one holder at a time": func(l *leaseholder) {
		first := l.evaluate(acquire("a", 3000))
		l.expect("another", acquire("b", 3000), Result{Code: Conflict})
		l.expect("the holder again", acquire("a", 3000), l.inState(first, 1))
		l.expect("renewal under another fence", renew(first.Fence+1, 3000), Result{Code: Conflict})
		l.now += 2
		l.expect("renewal", renew(first.Fence, 3000), l.inState(first, 2))
		l.now += 2.9
		l.expect("another, within the renewed time", acquire("b", 3000), Result{Code: Conflict})
		l.now += 0.5
		l.expect("renewal after the time", renew(first.Fence, 3000), Result{Code: Conflict})
		if second := l.evaluate(acquire("b", 3000)); second.Code != OK || second.Fence <= first.Fence {
			l.t.Errorf("after the time: got %+v, want a fence above %d", second, first.Fence)
		}
	},
	"a late release does nothing": func(l *leaseholder) {
		first := l.evaluate(acquire("a", 3000))
		l.expect("release", release("a", first.Fence), Result{Code: OK})
		second := l.evaluate(acquire("a", 3000))
		if second.Fence <= first.Fence {
			l.t.Errorf("a new hold has fence %d, the one before had %d", second.Fence, first.Fence)
		}
		l.expect("release again", release("a", first.Fence), Result{Code: OK})
		l.expect("another", acquire("b", 3000), Result{Code: Conflict})
	},
	"a hold outlives a take-over": func(l *leaseholder) {
		first := l.evaluate(acquire("a", 3000))
		l.now += 2.9
		l.expect("renewal from memory", renew(first.Fence, 3000), l.inState(first, 1))
		l.takeOver()
		l.now += 2.9
		l.expect("another", acquire("b", 3000), Result{Code: Conflict})
		l.expect("the holder", acquire("a", 1000), l.inState(first, 2))
		l.now += 5
		l.upkeep()
		l.takeOver()
		if second := l.evaluate(acquire("b", 3000)); second.Code != OK || second.Fence <= first.Fence {
			l.t.Errorf("a hold that ended exists again after a take-over: got %+v, first %+v", second, first)
		}
	},
	"a release that was sent before the last prolongation has no effect": func(l *leaseholder) {
		prolong := map[string]func(fence uint64){
			"POST":      func(uint64) { l.evaluate(acquire("a", 3000)) },
			"PUT":       func(fence uint64) { l.evaluate(renew(fence, 3000)) },
			"take-over": func(uint64) { l.takeOver() }, // the former leaseholder may have answered a renewal
		}
		for call, again := range prolong {
			first := l.evaluate(acquire("a", 3000))
			again(first.Fence)
			delayed := release("a", first.Fence)
			unconfirmed := l.inState(Result{Code: Unconfirmed}, 1)
			l.expect("delayed until after a "+call, delayed, unconfirmed)
			l.expect("another, after a "+call, acquire("b", 3000), Result{Code: Conflict})
			delayed.SentAfter = unconfirmed.Hold
			again(first.Fence)
			if got := l.evaluate(delayed); got.Code != Unconfirmed {
				l.t.Errorf("confirmed, and delayed until after another %s: got %+v, want Unconfirmed", call, got)
			}
			confirmed := release("a", first.Fence)
			confirmed.SentAfter = l.evaluate(confirmed).Hold
			l.expect("confirmed after a "+call, confirmed, Result{Code: OK})
		}
	},
	"a release of a hold that was only granted needs no confirmation": func(l *leaseholder) {
		first := l.evaluate(acquire("a", 3000))
		l.expect("at once", release("a", first.Fence), Result{Code: OK})
		second := l.evaluate(acquire("b", 3000))
		l.expect("repeated", release("a", first.Fence), Result{Code: OK})
		l.evaluate(acquire("b", 3000))
		l.now += 4
		l.expect("after the end of the hold", release("b", second.Fence), Result{Code: OK})
	},
	"a longer hold is replicated": func(l *leaseholder) {
		first := l.evaluate(acquire("a", 1000))
		if out := l.propose(renew(first.Fence, 9000)); out.CommitBefore != l.seq || len(out.Writes) == 0 {
			l.t.Errorf("got %+v, want writes and to wait for batch %d", out, l.seq)
		}
		l.takeOver()
		l.now += 8
		l.expect("another", acquire("b", 1000), Result{Code: Conflict})
	},
	"numbers increase across a take-over": func(l *leaseholder) {
		last := uint64(0)
		for n := range 2500 {
			out := l.propose(Request{Kind: NextNumber, Name: "n"})
			if out.Result.Number <= last {
				l.t.Errorf("got %d after %d", out.Result.Number, last)
			}
			if len(out.Writes) > 0 && out.CommitBefore != l.seq {
				l.t.Errorf("number %d does not wait for its reservation", out.Result.Number)
			}
			if last = out.Result.Number; n%700 == 0 {
				l.takeOver()
			}
			l.commit = l.seq
		}
	},
	"a repeated put gets its first revision": func(l *leaseholder) {
		first := l.evaluate(putValue("g.a", "v1"))
		l.evaluate(putValue("g.a", "v2"))
		l.expect("repeated", putValue("g.a", "v1"), first)
		l.takeOver()
		l.expect("repeated after a take-over", putValue("g.a", "v1"), first)
		l.expect("the value", Request{Kind: GetCell, Name: "g.a"}, Result{Code: OK, Value: "v2", Revision: 2})
	},
	"a put compares the revision": func(l *leaseholder) {
		none, one := uint64(0), uint64(1)
		put := func(value string, expected *uint64) Request {
			return Request{Kind: PutCell, Name: "g.a", Value: value, Expected: expected}
		}
		l.expect("absent, expected", put("v0", &one), Result{Code: Mismatch})
		l.expect("absent", put("v1", &none), Result{Code: OK, Revision: 1})
		l.expect("no more absent", put("v2", &none), Result{Code: Mismatch, Revision: 1})
		l.expect("matching", put("v3", &one), Result{Code: OK, Revision: 2})
		l.expect("matched before", put("v4", &one), Result{Code: Mismatch, Revision: 2})
	},
	"answers wait for the batches that they depend on": func(l *leaseholder) {
		out := l.propose(putValue("g.a", "v1"))
		for _, r := range []Request{
			{Kind: GetCell, Name: "g.a"}, putValue("g.a", "v1"),
			{Kind: PutCell, Name: "g.a", Value: "x", Expected: new(uint64)},
		} {
			if got := l.propose(r); got.CommitBefore != out.CommitBefore {
				l.t.Errorf("%+v waits for batch %d, want %d", r, got.CommitBefore, out.CommitBefore)
			}
		}
		if got := l.propose(watch(0)); got.Result.Revision != 0 {
			l.t.Errorf("a watch returns revision %d, which is not committed", got.Result.Revision)
		}
	},
	"watches skip no events": func(l *leaseholder) {
		for n := range 5 {
			l.evaluate(putValue(fmt.Sprint("g.", n), fmt.Sprint("v", n)))
		}
		l.takeOver()
		got := l.evaluate(watch(2))
		if got.Revision != 5 || len(got.Events) != 3 || got.Events[0] != (Event{"g.2", "v2", 3}) {
			l.t.Errorf("behind 2: got %+v", got)
		}
		if out := l.propose(watch(5)); !out.Pending || out.Result.Revision != 5 {
			l.t.Errorf("behind the last: got %+v", out)
		}
		l.now += history + 5
		l.upkeep()
		if got := l.evaluate(watch(1)); got.Code != OK || len(got.Events) != 4 {
			l.t.Errorf("within the history: got %+v", got)
		}
		l.now += retentionMargin
		l.upkeep()
		l.expect("older than the history", watch(1), Result{Code: Compacted})
		l.expect("the present one", watch(0), Result{Code: OK, Revision: 5})
		l.takeOver()
		l.expect("older, after a take-over", watch(1), Result{Code: Compacted})
	},
	"records are bounded": func(l *leaseholder) {
		for n := range maxRecords {
			l.evaluate(putValue(fmt.Sprint("g.", n), "v"))
		}
		l.expect("one more", putValue("g.x", "v"), Result{Code: TooMany})
		l.expect("an old one", putValue("g.0", "w"), Result{Code: OK, Revision: maxRecords + 1})
	},
	"values are bounded": func(l *leaseholder) {
		value, stored := strings.Repeat("v", MaxValueBytes), 0
		for n := range 2000 {
			if l.evaluate(putValue(fmt.Sprint("g.", n%10), fmt.Sprint(n, value))).Code == OK {
				stored++
			}
		}
		if stored > maxValueBytes/MaxValueBytes {
			l.t.Errorf("%d values of %d bytes were stored, of %d bytes", stored, MaxValueBytes, maxValueBytes)
		}
		before := l.tables.bytes
		l.takeOver()
		if l.tables.bytes != before {
			l.t.Errorf("after a take-over %d bytes are counted, before %d", l.tables.bytes, before)
		}
		l.now += history + retentionMargin + 1
		for range 20 {
			l.upkeep()
		}
		if got := l.evaluate(putValue("g.0", "w")); got.Code != OK {
			l.t.Errorf("once the events are old: got %+v", got)
		}
	},
}

func TestScenarios(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) { scenario(newLeaseholder(t)) })
	}
}

// Random bytes instead of records are rejected, and never make the reader panic.
func TestLoadRejectsOtherRecords(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		value := make([]byte, rnd.IntN(12))
		for i := range value {
			value[i] = byte(rnd.IntN(256))
		}
		key := string("lncgex"[rnd.IntN(6)]) + string(value[:min(len(value), rnd.IntN(12))])
		_, err := Load(map[string][]byte{key: value}, 1, 0, history)
		if err != nil && !errors.Is(err, ErrRecord) {
			t.Fatalf("%q = %x: %v", key, value, err)
		}
	}
	if _, err := Load(map[string][]byte{"la": {2, 1, 'a'}}, 1, 0, history); !errors.Is(err, ErrRecord) {
		t.Errorf("record of a later version: got %v, want ErrRecord", err)
	}
}

// Records are encoded byte for byte as the first version wrote them, so that stored records stay readable.
func TestGoldenRecords(t *testing.T) {
	l := newLeaseholder(t)
	l.evaluate(acquire("a.1", 3000))
	l.evaluate(Request{Kind: NextNumber, Name: "n"})
	l.evaluate(putValue("g.a", "ü"))
	want := map[string]string{
		"ll":                      "0103612e3103b817",
		"nn":                      "01e807",
		"cg.a":                    "0102c3bc01",
		"gg.":                     "0101",
		"eg.\x000000000000000001": "0103672e6102c3bc",
	}
	for key, value := range l.records {
		if got := fmt.Sprintf("%x", value); got != want[key] {
			t.Errorf("%q: got %s, want %s", key, got, want[key])
		}
	}
	if len(l.records) != len(want) {
		t.Errorf("got %d records, want %d", len(l.records), len(want))
	}
}
