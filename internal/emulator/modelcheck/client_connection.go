package modelcheck

import (
	"fmt"

	clientconn "mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/decision"
)

// clientConnection is one client's connection, and the few steps of the ingress between those of its machine.
type clientConnection struct {
	machine       clientconn.Machine
	now           decision.Seconds
	keepOpen      bool // connections stay open
	servesPending bool // one that was not told to end is not ended over what has begun to come
	crowded       bool

	nextReceived     bool // while a request is in hand, the first bytes of the next one have been read
	readsInterrupted bool // its reads are cut short, and nobody has noticed yet
	bodyUnread       bool // of a long body, something is not read
	lastAnswer       bool // that its answer is the last
	closed           bool
	closedIn         clientconn.State // where it was ended from outside
	requests         int
	waitingSince     decision.Seconds // when what is read now began, or its last piece came
	bodyWait         decision.Seconds // for the body, in all
	bodyBytes        int

	violation *Violation
}

func (cc *clientConnection) violate(property, format string, args ...any) {
	if cc.violation == nil {
		cc.violation = &Violation{property, fmt.Sprintf(format, args...)}
	}
}

func (cc *clientConnection) enter(to clientconn.State) (on bool) {
	on, freed, err := cc.machine.Enter(to, cc.now, cc.keepOpen)
	if err != nil {
		cc.violate("legal", "%v", err)
	}
	if freed {
		cc.readsInterrupted = false
	}
	if cc.readsInterrupted && (to == clientconn.ReadingHead || to == clientconn.ReadingBody || to == clientconn.Uploading) {
		cc.violate("taken-is-taken", "a request has begun, and its reads are cut")
	}
	return on
}

// beginBody begins a body, or goes on with it.
func (cc *clientConnection) beginBody(to clientconn.State) {
	cc.enter(to)
	cc.bodyWait, cc.bodyBytes = 0, 0
	cc.awaitBody()
}

func (cc *clientConnection) awaitBody() {
	cc.machine.AwaitBody(cc.now)
	cc.waitingSince = cc.now
}

func (cc *clientConnection) receiveBody(n int) {
	cc.bodyWait += cc.now - cc.waitingSince
	cc.bodyBytes += n
	cc.machine.BodyReceived(cc.now, n)
}

// answer is what ingress does once a request has its answer.
func (cc *clientConnection) answer() {
	cc.lastAnswer = cc.machine.CloseAfterAnswer(cc.crowded, cc.keepOpen)
	if cc.machine.CloseCode() != "" && !cc.lastAnswer {
		cc.violate("last-is-told", "it is being ended (%s), and its answer does not say so", cc.machine.CloseCode())
	}
	cc.enter(clientconn.Answering)
}

// rejectRequest answers what does not come to its end, or is broken.
func (cc *clientConnection) rejectRequest() {
	cc.enter(clientconn.Answering)
	cc.enter(clientconn.Lingering)
	cc.closed = true
}

// readInterrupted is a read that was cut short.
func (cc *clientConnection) readInterrupted() {
	if code := cc.machine.CloseCode(); cc.machine.State() == clientconn.Idle {
		cc.closed = true
	} else if code == clientconn.CodeEvicted && cc.closedIn == cc.machine.State() {
		cc.closed = true // slow as it is, it made room: nothing was taken yet
	} else if code != clientconn.CodeSlowRequest {
		cc.violate("taken-is-taken", "a request that was coming in was ended as %s", code)
	} else if cc.machine.State() == clientconn.Discarding {
		cc.closed = true
	} else {
		cc.rejectRequest()
	}
}

// close ends it from outside.
func (cc *clientConnection) close(code string) {
	if st := cc.machine.State(); st == clientconn.Deciding {
		cc.violate("taken-is-answered", "ended as %s while %v", code, st)
	}
	cc.closedIn = cc.machine.State()
	c := cc.machine.Close(code)
	cc.readsInterrupted = cc.readsInterrupted || c.Reads
	if cc.machine.State() == clientconn.Answering {
		if !c.Writes {
			cc.violate("stuck-ends", "an answer that nobody reads is written for ever")
		}
		cc.closed = true
	}
}

// advance lets time go by, with the sweeps in it.
func (cc *clientConnection) advance(seconds decision.Seconds) {
	for end := cc.now + seconds; cc.now < end && !cc.closed; {
		if cc.readsInterrupted { // a read that is cut short does not take its time
			cc.readInterrupted()
			return
		}
		cc.now += 0.25
		if code := cc.machine.TimeoutCode(cc.now); code != "" {
			cc.close(code)
		}
	}
	if cc.readsInterrupted && !cc.closed {
		cc.readInterrupted()
	}
	if cc.closed {
		return
	}
	switch still := cc.now - cc.waitingSince; cc.machine.State() {
	case clientconn.Idle:
		if still > 3 {
			cc.violate("silent-ends", "idle for %.1f s", still)
		}
	case clientconn.ReadingHead:
		if still > 3 {
			cc.violate("slow-ends", "a head comes for %.1f s", still)
		}
	case clientconn.ReadingBody, clientconn.Uploading, clientconn.Discarding:
		if still > 3 && cc.machine.State() == clientconn.ReadingBody {
			cc.violate("stall-ends", "nothing came of a body for %.1f s", still)
		}
		if cc.bodyWait+still > 2.5+float64(cc.bodyBytes)/(32<<10) {
			cc.violate("trickle-ends", "%d bytes in %.1f s", cc.bodyBytes, cc.bodyWait+still)
		}
	}
}

// events are those that may happen now, in a fixed order.
func (cc *clientConnection) events() (all []string) {
	if cc.closed {
		return nil
	}
	all = []string{"second", "while", "room"}
	if cc.keepOpen {
		all = append(all, "drain")
	}
	if !cc.crowded {
		all = append(all, "crowd")
	}
	if cc.readsInterrupted {
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
	}[cc.machine.State()]...)
}

func (cc *clientConnection) step(event string) {
	switch event {
	case "second":
		cc.advance(1)
	case "while":
		cc.advance(4)
	case "room":
		if cc.machine.Evictable(cc.now) {
			cc.close(clientconn.CodeEvicted)
		}
	case "drain":
		cc.keepOpen = false
		if cc.machine.ClosesOnDrain() {
			cc.close(clientconn.CodeDrain)
		}
	case "crowd":
		cc.crowded = true
	case "cut-noticed":
		cc.readInterrupted()
	case "begins": // where its reads are cut, the first byte came before anybody noticed
		if cc.requests++; cc.requests > 1 {
			cc.waitingSince = cc.now
		}
		cc.enter(clientconn.ReadingHead)
	case "no-body":
		cc.enter(clientconn.Deciding)
	case "body":
		cc.beginBody(clientconn.ReadingBody)
	case "long-body":
		cc.bodyUnread = true
		cc.enter(clientconn.ReadingBody)
		cc.enter(clientconn.Deciding)
	case "broken":
		cc.rejectRequest()
	case "piece", "byte":
		cc.receiveBody(map[string]int{"piece": 256 << 10, "byte": 1}[event])
		cc.awaitBody()
	case "body-whole":
		cc.receiveBody(1)
		cc.enter(clientconn.Deciding)
	case "upload":
		if cc.bodyUnread {
			cc.beginBody(clientconn.Uploading)
		}
	case "next":
		cc.nextReceived = true
	case "up":
		cc.receiveBody(1)
		cc.bodyUnread = false
		cc.enter(clientconn.Deciding)
	case "answer", "early-answer":
		cc.answer()
	case "written":
		if cc.lastAnswer {
			cc.enter(clientconn.Lingering)
			cc.closed = true
		} else if cc.bodyUnread {
			cc.beginBody(clientconn.Discarding)
		} else {
			cc.becomeIdle()
		}
	case "rest-read":
		cc.receiveBody(1)
		cc.bodyUnread = false
		cc.becomeIdle()
	}
	if !cc.closed && !cc.keepOpen && cc.machine.State() == clientconn.Idle && cc.machine.CloseCode() == "" {
		cc.violate("drained-ends", "idle in a drain, and nothing ends it")
	}
}

func (cc *clientConnection) becomeIdle() {
	cc.waitingSince = cc.now
	on := cc.enter(clientconn.Idle)
	switch hears := cc.machine.ServesPending(); {
	case on && cc.lastAnswer:
		cc.violate("last-is-last", "it goes on after its last answer")
	case cc.nextReceived && (on || hears):
		cc.nextReceived, cc.readsInterrupted = false, cc.readsInterrupted || !on
		cc.step("begins")
	case !on:
		if cc.nextReceived && !cc.lastAnswer && cc.servesPending {
			cc.violate("read-is-taken", "a request has been read, its client was not told to go, and it is dropped")
		}
		cc.closed = true
	}
}

// ExploreClientConnections drives the machine of a client's connection, as it is in service and where it hears what has begun to come,
// through every order of so many events. It returns how many orders there were, and the shortest one that violates a
// property, with what it violates; nil: none does.
func ExploreClientConnections(depth int) (orders int, trace []string, violation *Violation) {
	type run struct {
		world clientConnection
		trace []string
	}
	hears := clientConnection{machine: clientconn.Accepted(0), keepOpen: true, servesPending: true}
	hears.machine.SetTimeouts(&clientconn.Timeouts{FirstByte: 2, Idle: 2, Head: 2.5, ServePending: true})
	level := []run{{world: clientConnection{machine: clientconn.Accepted(0), keepOpen: true}}, {world: hears}}
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
