package shards

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/logging/logtest"
)

var forwardDepth = flag.Int("forward-depth", 8, "events that TestEveryOrderOfForwardedCalls runs in every order")

const callerAddr = "10.0.0.1:81"

// forwardEvent is one step of a node that forwards calls, of the leaseholder, or of the link between them.
type forwardEvent int

const (
	forwardCall   forwardEvent = iota // the caller's process forwards a call, which arrives
	restartCaller                     // the caller's process ends, and another one starts
	reconnect                         // the leaseholder connects to the caller's present process
	answerCall                        // the leaseholder answers the oldest call that it has
	sendReplies                       // the leaseholder sends what it has queued for the caller
	receiveFrame                      // the oldest frame on the leaseholder's connection arrives
	forwardEvents = iota
)

func (e forwardEvent) String() string {
	return [forwardEvents]string{"call", "restart", "reconnect", "answer", "send", "receive"}[e]
}

// forwardingModel consists of a leaseholder, the successive processes of one node that forwards calls to it, and the
// connection between them. It implements the Peers of the leaseholder.
type forwardingModel struct {
	leaseholder *Service
	queue       *outbox // replies of the leaseholder to the caller
	caller      *Service
	callerNow   Process
	calls       map[<-chan transport.CoordinationReply]string // channels of the calls in flight of the present process
	arrived     []arrivedCall                                 // calls that the leaseholder has not answered yet

	// formerVersion means that the leaseholder is of a version that sends replies to whichever process is connected.
	formerVersion bool

	connected Process // process that the leaseholder is connected to; no incarnation means none
	frames    []*transport.Frame
	violation string
	delivered int // replies that reached the call that they are for
}

// arrivedCall is a call at the leaseholder, with the process whose connection brought it.
type arrivedCall struct {
	from  Process
	id    uint64
	label string
}

func newForwardingModel(formerVersion bool) *forwardingModel {
	m := &forwardingModel{queue: &outbox{wake: make(chan struct{}, 1)}, formerVersion: formerVersion}
	m.leaseholder = m.newService(1)
	m.leaseholder.outboxes[callerAddr] = m.queue // no goroutine sends what is queued
	m.startCaller()
	m.connected = m.callerNow
	return m
}

func (m *forwardingModel) newService(incarnation uint64) *Service {
	clock := func() time.Duration { return 0 }
	return New(Options{Incarnation: incarnation, Clock: clock, Peers: m, Log: logtest.Discard()})
}

// startCaller starts the next process of the caller. The calls and the connection of the one before end with it.
func (m *forwardingModel) startCaller() {
	m.callerNow = Process{callerAddr, m.callerNow.Incarnation + 100}
	m.caller = m.newService(m.callerNow.Incarnation)
	m.calls = map[<-chan transport.CoordinationReply]string{}
	m.connected, m.frames = Process{}, nil
}

// Send implements Peers.
func (m *forwardingModel) Send(_ string, frame *transport.Frame) error {
	if m.connected.Incarnation == 0 {
		return replication.ErrNotConnected
	}
	m.frames = append(m.frames, frame)
	return nil
}

// SendTo implements Peers.
func (m *forwardingModel) SendTo(addr string, incarnation uint64, frame *transport.Frame) error {
	if m.connected.Incarnation != incarnation && !m.formerVersion {
		return replication.ErrOtherProcess
	}
	return m.Send(addr, frame)
}

// apply applies an event. It returns false if the event is not possible now.
func (m *forwardingModel) apply(e forwardEvent) bool {
	switch e {
	case forwardCall:
		id, reply := m.caller.addForward()
		label := fmt.Sprintf("call %d of process %d", id, m.callerNow.Incarnation)
		m.calls[reply] = label
		m.arrived = append(m.arrived, arrivedCall{m.callerNow, id, label})
	case restartCaller:
		m.startCaller()
	case reconnect:
		if m.connected == m.callerNow {
			return false
		}
		m.connected = m.callerNow
	case answerCall:
		if len(m.arrived) == 0 {
			return false
		}
		call := m.arrived[0]
		m.arrived = m.arrived[1:]
		m.queue.addReply(call.from.Incarnation, transport.CoordinationReply{
			ID: call.id, Status: transport.CoordinationAnswered, Result: coordination.Result{Value: call.label},
		})
	case sendReplies:
		if m.queue.length() == 0 {
			return false
		}
		next, _ := m.queue.take(0)
		m.leaseholder.send(callerAddr, next)
	case receiveFrame:
		if len(m.frames) == 0 {
			return false
		}
		m.caller.Receive(Process{}, m.frames[0].Coordination)
		m.frames = m.frames[1:]
		m.check()
	}
	return true
}

// check requires that each reply that was delivered is the one to the call that got it.
func (m *forwardingModel) check() {
	for reply, label := range m.calls {
		select {
		case got := <-reply:
			if got.Result.Value != label {
				m.violation = fmt.Sprintf("%s got the reply to %s", label, got.Result.Value)
			}
			m.delivered++
			delete(m.calls, reply)
		default:
		}
	}
}

// exploreForwarding runs every order of depth events. It returns the number of orders in which a reply was delivered,
// and the first violation with its events.
func exploreForwarding(depth int, formerVersion bool) (delivered int, violation string) {
	var explore func(events []forwardEvent)
	explore = func(events []forwardEvent) {
		m := newForwardingModel(formerVersion)
		for n, e := range events {
			if !m.apply(e) {
				return // the order without this event is explored too
			}
			if m.violation != "" {
				violation = strings.Trim(fmt.Sprint(events[:n+1]), "[]") + ": " + m.violation
				return
			}
		}
		if m.delivered > 0 {
			delivered++
		}
		if len(events) == depth {
			return
		}
		for e := range forwardEvent(forwardEvents) {
			if violation == "" {
				explore(append(events[:len(events):len(events)], e))
			}
		}
	}
	explore(nil)
	return delivered, violation
}

// Guards against replies that reach another process of the node that forwarded the call (review/5), in every order of
// calls, answers, restarts and connections. The calls of different processes also have different numbers, because a
// leaseholder of a former version sends replies to any process.
func TestEveryOrderOfForwardedCalls(t *testing.T) {
	for _, formerVersion := range []bool{false, true} {
		delivered, violation := exploreForwarding(*forwardDepth, formerVersion)
		if violation != "" || delivered == 0 {
			t.Errorf("former version %t: %d orders with a reply, violation: %q", formerVersion, delivered, violation)
		}
		t.Logf("former version %t: %d orders with a reply", formerVersion, delivered)
	}
}
