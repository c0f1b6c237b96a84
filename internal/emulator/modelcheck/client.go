package modelcheck

import (
	"fmt"

	clientconn "mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/decision"
)

// clientWorld is one client's connection, and the few steps of the ingress between those of its machine.
type clientWorld struct {
	machine clientconn.Machine
	now     decision.Seconds
	keep    bool // connections stay open
	hears   bool // one that was not told to end is not ended over what has begun to come
	crowded bool

	next         bool // while a request is in hand, the first bytes of the next one have been read
	cut          bool // its reads are cut short, and nobody has noticed yet
	rest         bool // of a long body, something is not read
	finalAnswers bool // that its answer is the last
	ended        bool
	endedIn      clientconn.State // where it was ended from outside
	requests     int
	begun        decision.Seconds // when what is read now began, or its last piece came
	waited       decision.Seconds // for the body, in all
	got          int

	violation *Violation
}

func (w *clientWorld) violate(property, format string, args ...any) {
	if w.violation == nil {
		w.violation = &Violation{property, fmt.Sprintf(format, args...)}
	}
}

func (w *clientWorld) enter(to clientconn.State) (on bool) {
	on, freed, err := w.machine.Enter(to, w.now, w.keep)
	if err != nil {
		w.violate("legal", "%v", err)
	}
	if freed {
		w.cut = false
	}
	if w.cut && (to == clientconn.ReadingHead || to == clientconn.ReadingBody || to == clientconn.Uploading) {
		w.violate("taken-is-taken", "a request has begun, and its reads are cut")
	}
	return on
}

// take begins a body, or goes on with it.
func (w *clientWorld) take(to clientconn.State) {
	w.enter(to)
	w.waited, w.got = 0, 0
	w.wait()
}

func (w *clientWorld) wait() {
	w.machine.AwaitBody(w.now)
	w.begun = w.now
}

func (w *clientWorld) sendChunk(n int) {
	w.waited += w.now - w.begun
	w.got += n
	w.machine.BodyReceived(w.now, n)
}

// answer is what ingress does once a request has its answer.
func (w *clientWorld) answer() {
	w.finalAnswers = w.machine.CloseAfterAnswer(w.crowded, w.keep)
	if w.machine.CloseCode() != "" && !w.finalAnswers {
		w.violate("last-is-told", "it is being ended (%s), and its answer does not say so", w.machine.CloseCode())
	}
	w.enter(clientconn.Answering)
}

// refuse answers what does not come to its end, or is broken.
func (w *clientWorld) refuse() {
	w.enter(clientconn.Answering)
	w.enter(clientconn.Lingering)
	w.ended = true
}

// noticed is a read that was cut short.
func (w *clientWorld) noticed() {
	if code := w.machine.CloseCode(); w.machine.State() == clientconn.Idle {
		w.ended = true
	} else if code == clientconn.CodeEvicted && w.endedIn == w.machine.State() {
		w.ended = true // slow as it is, it made room: nothing was taken yet
	} else if code != clientconn.CodeSlowRequest {
		w.violate("taken-is-taken", "a request that was coming in was ended as %s", code)
	} else if w.machine.State() == clientconn.Discarding {
		w.ended = true
	} else {
		w.refuse()
	}
}

// end ends it from outside.
func (w *clientWorld) end(code string) {
	if st := w.machine.State(); st == clientconn.Deciding {
		w.violate("taken-is-answered", "ended as %s while %v", code, st)
	}
	w.endedIn = w.machine.State()
	c := w.machine.Close(code)
	w.cut = w.cut || c.Reads
	if w.machine.State() == clientconn.Answering {
		if !c.Writes {
			w.violate("stuck-ends", "an answer that nobody reads is written for ever")
		}
		w.ended = true
	}
}

// pass lets time go by, with the sweeps in it.
func (w *clientWorld) pass(seconds decision.Seconds) {
	for end := w.now + seconds; w.now < end && !w.ended; {
		if w.cut { // a read that is cut short does not take its time
			w.noticed()
			return
		}
		w.now += 0.25
		if code := w.machine.TimeoutCode(w.now); code != "" {
			w.end(code)
		}
	}
	if w.cut && !w.ended {
		w.noticed()
	}
	if w.ended {
		return
	}
	switch still := w.now - w.begun; w.machine.State() {
	case clientconn.Idle:
		if still > 3 {
			w.violate("silent-ends", "idle for %.1f s", still)
		}
	case clientconn.ReadingHead:
		if still > 3 {
			w.violate("slow-ends", "a head comes for %.1f s", still)
		}
	case clientconn.ReadingBody, clientconn.Uploading, clientconn.Discarding:
		if still > 3 && w.machine.State() == clientconn.ReadingBody {
			w.violate("stall-ends", "nothing came of a body for %.1f s", still)
		}
		if w.waited+still > 2.5+float64(w.got)/(32<<10) {
			w.violate("trickle-ends", "%d bytes in %.1f s", w.got, w.waited+still)
		}
	}
}

// events are those that may happen now, in a fixed order.
func (w *clientWorld) events() (all []string) {
	if w.ended {
		return nil
	}
	all = []string{"second", "while", "room"}
	if w.keep {
		all = append(all, "drain")
	}
	if !w.crowded {
		all = append(all, "crowd")
	}
	if w.cut {
		all = append(all, "cut-noticed")
	}
	return append(all, map[clientconn.State][]string{
		clientconn.Idle:        {"begins"},
		clientconn.ReadingHead: {"no-body", "body", "long-body", "broken"},
		clientconn.ReadingBody: {"piece", "byte", "body-whole", "broken"},
		clientconn.Deciding:    {"answer", "upload", "next"},
		clientconn.Uploading:   {"piece", "byte", "up", "early-answer", "broken"},
		clientconn.Answering:   {"written", "next"},
		clientconn.Discarding:  {"piece", "byte", "rest-read"},
	}[w.machine.State()]...)
}

func (w *clientWorld) step(event string) {
	switch event {
	case "second":
		w.pass(1)
	case "while":
		w.pass(4)
	case "room":
		if w.machine.Evictable(w.now) {
			w.end(clientconn.CodeEvicted)
		}
	case "drain":
		w.keep = false
		if w.machine.ClosesOnDrain() {
			w.end(clientconn.CodeDrain)
		}
	case "crowd":
		w.crowded = true
	case "cut-noticed":
		w.noticed()
	case "begins": // where its reads are cut, the first byte came before anybody noticed
		if w.requests++; w.requests > 1 {
			w.begun = w.now
		}
		w.enter(clientconn.ReadingHead)
	case "no-body":
		w.enter(clientconn.Deciding)
	case "body":
		w.take(clientconn.ReadingBody)
	case "long-body":
		w.rest = true
		w.enter(clientconn.ReadingBody)
		w.enter(clientconn.Deciding)
	case "broken":
		w.refuse()
	case "piece", "byte":
		w.sendChunk(map[string]int{"piece": 256 << 10, "byte": 1}[event])
		w.wait()
	case "body-whole":
		w.sendChunk(1)
		w.enter(clientconn.Deciding)
	case "upload":
		if w.rest {
			w.take(clientconn.Uploading)
		}
	case "next":
		w.next = true
	case "up":
		w.sendChunk(1)
		w.rest = false
		w.enter(clientconn.Deciding)
	case "answer", "early-answer":
		w.answer()
	case "written":
		if w.finalAnswers {
			w.enter(clientconn.Lingering)
			w.ended = true
		} else if w.rest {
			w.take(clientconn.Discarding)
		} else {
			w.idle()
		}
	case "rest-read":
		w.sendChunk(1)
		w.rest = false
		w.idle()
	}
	if !w.ended && !w.keep && w.machine.State() == clientconn.Idle && w.machine.CloseCode() == "" {
		w.violate("drained-ends", "idle in a drain, and nothing ends it")
	}
}

func (w *clientWorld) idle() {
	w.begun = w.now
	on := w.enter(clientconn.Idle)
	switch hears := w.machine.ServesPending(); {
	case on && w.finalAnswers:
		w.violate("last-is-last", "it goes on after its last answer")
	case w.next && (on || hears):
		w.next, w.cut = false, w.cut || !on
		w.step("begins")
	case !on:
		if w.next && !w.finalAnswers && w.hears {
			w.violate("read-is-taken", "a request has been read, its client was not told to go, and it is dropped")
		}
		w.ended = true
	}
}

// Clients drives the machine of a client's connection, as it is in service and where it hears what has begun to come,
// through every order of so many events. It returns how many orders there were, and the shortest one that violates a
// property, with what it violates; nil: none does.
func Clients(depth int) (orders int, trace []string, violation *Violation) {
	type run struct {
		world clientWorld
		trace []string
	}
	hears := clientWorld{machine: clientconn.Accepted(0), keep: true, hears: true}
	hears.machine.SetTimeouts(&clientconn.Timeouts{FirstByte: 2, Idle: 2, Head: 2.5, ServePending: true})
	level := []run{{world: clientWorld{machine: clientconn.Accepted(0), keep: true}}, {world: hears}}
	for range depth {
		var next []run
		for _, r := range level {
			for _, e := range r.world.events() {
				w := r.world // a copy: the machine points to nothing that changes
				w.step(e)
				trace := append(r.trace[:len(r.trace):len(r.trace)], e)
				if w.violation != nil {
					return orders, trace, w.violation
				}
				orders++
				next = append(next, run{w, trace})
			}
		}
		level = next
	}
	return orders, nil, nil
}
