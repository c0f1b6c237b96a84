package decision

// Lifecycle decides what an ingress process reports and does as its operators and the platform move it:
// whether the load balancer in front is to send it clients (readiness), whether it is alive for its
// operators, whether connections are kept open after an answer, and whether connections are accepted. It is a
// pure state machine like Gateway: the host carries out what it decides. In the simulator processes are not
// replaced, so it is no part of the simulator's policy. The zero value is in the phase Starting.
type Lifecycle struct {
	phase Phase
}

// Phase is the phase of an ingress process.
type Phase int

// The phases, in the order in which a process goes through them. LameDuck may go back to Serving.
const (
	Starting Phase = iota // it listens and does not serve yet
	Serving               // it serves, and the load balancer may send it clients
	LameDuck              // an operator drains it: it serves what it has, and clients are to go elsewhere
	Stopping              // after SIGTERM: it serves while the load balancer still sends clients
	Closing               // its listener is closed: it finishes what it has and exits
)

var phaseNames = [...]string{"starting", "serving", "lame-duck", "stopping", "closing"}

func (p Phase) String() string { return phaseNames[p] }

// LifecycleEvent is what moves a process from one phase to another.
type LifecycleEvent int

// The events.
const (
	Started       LifecycleEvent = iota // it can serve
	EnterLameDuck                       // an operator's LAMEDUCK
	Rejoin                              // an operator's REJOIN
	Terminate                           // SIGTERM
	Close                               // after SIGTERM, no more clients are sent: the listener closes
)

// Phase returns the present phase.
func (l *Lifecycle) Phase() Phase { return l.phase }

// Handle applies an event. It reports whether the event was accepted: Rejoin and EnterLameDuck are rejected
// once the process stops, and Rejoin before it serves. What is rejected changes nothing. An event that leaves
// the phase as it is, is accepted.
func (l *Lifecycle) Handle(e LifecycleEvent) (accepted bool) {
	switch {
	case e == Close:
		l.phase = Closing
	case l.phase == Closing:
		return false
	case e == Terminate:
		l.phase = Stopping
	case l.phase == Stopping:
		return false
	case e == Started:
		if l.phase == Starting {
			l.phase = Serving
		}
	case e == EnterLameDuck:
		l.phase = LameDuck
	case e == Rejoin:
		if l.phase == Starting {
			return false
		}
		l.phase = Serving
	}
	return true
}

// Ready reports whether the readiness page is positive: the load balancer is to send new clients.
func (l *Lifecycle) Ready() bool { return l.phase == Serving }

// KeepOpen reports whether a client's connection may stay open after an answer. While an operator drains the
// process, each connection ends with its next answer, or at once where it is idle: an open connection would
// keep its client here. After SIGTERM, connections stay open while the load balancer still sends clients:
// those that were disconnected could only come back.
func (l *Lifecycle) KeepOpen() bool { return l.phase != LameDuck && l.phase != Closing }

// Accepts reports whether a new connection is served. A connection that was accepted while the listener
// closed is closed unread: its client connects elsewhere.
func (l *Lifecycle) Accepts() bool { return l.phase != Closing }

// Alive reports whether a process in this phase answers its operators' PING: it can serve.
func (p Phase) Alive() bool { return p == Serving || p == LameDuck }
