package coordination

import (
	"cmp"
	"slices"

	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/mutants"
)

// cell is the present value of a small key.
type cell struct {
	value    string
	revision uint64
	seq      uint64 // number of the batch with this value; 0 means that the value is of an earlier term
}

func loadCell(r *recordReader) *cell { return &cell{value: r.text(), revision: r.number()} }

// put is the name of a cell and a value that was put into it.
type put struct{ name, value string }

// size is the number of bytes that a put takes as a cell, and again as an event.
func (p put) size() int { return len(p.name) + len(p.value) }

// event is a put that is kept for watches, and to recognize a repeated put.
type event struct {
	put
	revision uint64
	seq      uint64  // number of the batch with the put; 0 means that the put is of an earlier term
	at       float64 // time of the put or, if it is of an earlier term, of its loading, in seconds
}

// group is the cells whose names are the same up to the first dot.
type group struct {
	revision uint64 // revision of the last put
	base     uint64 // events up to this revision have been removed
	events   []event
	byPut    map[put]event // the kept events by cell and value
}

func (t *Tables) group(name string) *group {
	g := t.groups[name]
	if g == nil {
		g = &group{byPut: map[put]event{}}
		t.groups[name] = g
	}
	return g
}

// load reads an event. Events are loaded in no particular order; finishLoading sorts them.
func (g *group) load(r *recordReader, revision uint64, now float64) {
	g.add(event{put: put{r.text(), r.text()}, revision: revision, at: now})
}

func (g *group) add(e event) {
	g.events = append(g.events, e)
	g.byPut[e.put] = e
}

func (g *group) finishLoading() {
	slices.SortFunc(g.events, func(a, b event) int { return cmp.Compare(a.revision, b.revision) })
	g.base = g.revision
	if len(g.events) > 0 {
		g.base = g.events[0].revision - 1
	}
	if mutants.On("coordination/history-cut-at-take-over") {
		g.base, g.events = g.revision, nil
	}
	if mutants.On("coordination/puts-forgotten-at-take-over") {
		g.byPut = map[put]event{}
	}
}

// trim removes committed events from before a time, at most count of them, and returns them.
func (g *group) trim(before float64, committed uint64, count int) (trimmed []event) {
	for _, e := range g.events {
		if e.at >= before || e.seq > committed || len(trimmed) >= count {
			break
		}
		trimmed = append(trimmed, e)
		g.base = e.revision
		delete(g.byPut, e.put)
	}
	if len(trimmed) > 0 {
		g.events = slices.Clone(g.events[len(trimmed):])
	}
	return trimmed
}

// put puts a value into a cell. A put that repeats a kept event is not executed again but answered with the revision
// of that event, even if other values were put since, because it may be the retry of a put whose answer was lost. A put
// of the present value is not executed either, whatever revision it expects.
func (t *Tables) put(r Request, now float64, next uint64) Outcome {
	c, p := t.cells[r.Name], put{r.Name, r.Value}
	if g := t.groups[groupOf(r.Name)]; g != nil {
		if e, ok := g.byPut[p]; ok {
			return Outcome{Result: Result{Code: OK, Revision: e.revision}, CommitBefore: e.seq}
		}
	}
	present := cell{}
	if c != nil {
		present = *c
	}
	switch {
	case c != nil && c.value == r.Value:
		return Outcome{Result: Result{Code: OK, Revision: c.revision}, CommitBefore: c.seq}
	case r.Expected != nil && *r.Expected != present.revision:
		return Outcome{Result: Result{Code: Mismatch, Revision: present.revision}, CommitBefore: present.seq}
	case c == nil && t.full() || t.bytes+2*p.size() > maxValueBytes:
		return Outcome{Result: Result{Code: TooMany}}
	}
	t.bytes += 2 * p.size()
	if c != nil {
		t.bytes -= put{r.Name, c.value}.size()
	}
	g := t.group(groupOf(r.Name))
	g.revision++
	g.add(event{p, g.revision, next, now})
	t.cells[r.Name] = &cell{r.Value, g.revision, next}
	return Outcome{
		Result: Result{Code: OK, Revision: g.revision},
		Writes: []shard.Write{
			{Key: recordKey(prefixCell, r.Name), Value: newRecord().text(r.Value).number(g.revision)},
			{Key: recordKey(prefixGroup, groupOf(r.Name)), Value: newRecord().number(g.revision)},
			{Key: eventKey(groupOf(r.Name), g.revision), Value: newRecord().text(r.Name).text(r.Value)},
		},
		CommitBefore: next,
	}
}

func (t *Tables) get(r Request) Outcome {
	c := t.cells[r.Name]
	if c == nil {
		return Outcome{Result: Result{Code: NotFound}}
	}
	out := Outcome{Result: Result{Code: OK, Value: c.value, Revision: c.revision}, CommitBefore: c.seq}
	if mutants.On("coordination/reads-uncommitted") {
		out.CommitBefore = 0
	}
	return out
}

// watch returns the committed events after a revision. If there are none, the watch is pending. With After 0 it returns
// the present revision at once.
func (t *Tables) watch(r Request, committed uint64) Outcome {
	g := t.groups[r.Name]
	if g == nil {
		g = &group{}
	}
	events := g.events
	for len(events) > 0 && events[len(events)-1].seq > committed && !mutants.On("coordination/watches-uncommitted") {
		events = events[:len(events)-1]
	}
	present := g.base
	if len(events) > 0 {
		present = events[len(events)-1].revision
	}
	switch {
	case r.After == 0:
		return Outcome{Result: Result{Code: OK, Revision: present}}
	case r.After < g.base:
		return Outcome{Result: Result{Code: Compacted}}
	case r.After >= present:
		return Outcome{Result: Result{Code: OK, Revision: r.After}, Pending: true}
	}
	out := Outcome{Result: Result{Code: OK, Revision: present}}
	for _, e := range events {
		if e.revision > r.After {
			out.Result.Events = append(out.Result.Events, Event{Name: e.name, Value: e.value, Revision: e.revision})
		}
	}
	return out
}
