package decision

// Lifecycle tracks the phase of an ingress process, which its operators and the platform change. The phase
// determines whether the load balancer in front sends it clients (readiness), whether it answers its
// operators' PING, whether connections stay open after an answer, and whether connections are accepted. It
// is a pure state machine like Gateway: the host carries out its decisions. The simulator does not replace
// processes, so Lifecycle is not part of the simulator's policy. The zero value is in the phase Starting.
type Lifecycle struct {
	phase Phase
}

// Phase is the phase of an ingress process.
type Phase int

// The phases, in the order in which a process goes through them. A process may return from LameDuck to
// Serving.
const (
	Starting Phase = iota // it listens but does not serve yet
	Serving               // it serves, and the load balancer may send it clients
	LameDuck              // an operator drains it: it serves its clients until they move to other processes
	Stopping              // after SIGTERM: it serves while the load balancer still sends clients
	Closing               // its listener is closed: it finishes its pending requests and exits
)

var phaseNames = [...]string{"starting", "serving", "lame-duck", "stopping", "closing"}

func (p Phase) String() string { return phaseNames[p] }

// LifecycleEvent is an event that may move a process to another phase.
type LifecycleEvent int

// The events.
const (
	Started       LifecycleEvent = iota // the process can serve
	EnterLameDuck                       // an operator's LAMEDUCK
	Rejoin                              // an operator's REJOIN
	Terminate                           // SIGTERM
	Close                               // after SIGTERM, the load balancer sends no more clients
)

// Phase returns the present phase.
func (l *Lifecycle) Phase() Phase { return l.phase }

// Handle applies an event, and reports whether it was accepted. The phase Stopping accepts only Terminate and
// Close, the phase Closing only Close. The phase Starting rejects Rejoin. A rejected event changes nothing.
// An event that does not change the phase, such as a second EnterLameDuck, is still accepted.
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

// Ready reports whether the readiness page is positive, so that the load balancer sends new clients.
func (l *Lifecycle) Ready() bool { return l.phase == Serving }

// KeepOpen reports whether a client's connection may stay open after an answer. While an operator drains
// the process, each connection is closed after its next answer, or at once if it is idle, because an open
// connection would keep its client on this process. After SIGTERM, connections stay open as long as the
// load balancer still sends clients, because it would send disconnected clients back to this process.
func (l *Lifecycle) KeepOpen() bool { return l.phase != LameDuck && l.phase != Closing }

// Accepts reports whether a new connection is served. A connection that was accepted while the listener
// closed is closed before any request is read, so its client safely connects to another process.
func (l *Lifecycle) Accepts() bool { return l.phase != Closing }

// Alive reports whether a process in this phase answers its operators' PING, which means that it can serve.
func (p Phase) Alive() bool { return p == Serving || p == LameDuck }
