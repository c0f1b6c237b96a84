package decision

// Lifecycle decides what an ingress process says and does as its operators and the platform move it: whether
// the front is to send it clients (readiness), whether it is alive for its operators, whether connections are
// kept open after an answer, and whether it hands its clients' address over to a newer process. It is a
// machine without I/O or clock, like the gateway; the network carries out what it answers. It is not part of
// the simulator's policy: there are no processes to hand over there.
type Lifecycle struct {
	phase Phase
}

// Phase is where an ingress process is in its life.
type Phase int

// The phases, in the order a process goes through them; LameDuck may go back to Serving.
const (
	Starting Phase = iota // listening, not yet serving
	Serving               // serving, and the front may send it clients
	// Serving what it has; the front is to send clients elsewhere (a drain that an operator called).
	LameDuck
	// SIGTERM has come: it serves on while the front still sends and hands its address over.
	Stopping
	Closing // its listener is closed: it finishes what it has and exits
)

var phaseNames = [...]string{"starting", "serving", "lame-duck", "stopping", "closing"}

func (p Phase) String() string { return phaseNames[p] }

// LifecycleEvent is what moves a process from one phase to another.
type LifecycleEvent int

// The events.
const (
	Started       LifecycleEvent = iota // it can serve
	EnterLameDuck                       // an operator called LAMEDUCK
	Rejoin                              // an operator called REJOIN
	Terminate                           // SIGTERM
	Close                               // after SIGTERM, the front sends no more: the listener closes
)

// Phase is the phase it is in.
func (l *Lifecycle) Phase() Phase { return l.phase }

// Handle moves it by an event. It tells whether the event was taken: REJOIN and LAMEDUCK are refused once it
// stops, and REJOIN before it serves; what is refused changes nothing. An event that leaves the phase as it
// is, is taken.
func (l *Lifecycle) Handle(e LifecycleEvent) (taken bool) {
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

// Ready tells whether the readiness page says yes: the front is to send new clients.
func (l *Lifecycle) Ready() bool { return l.phase == Serving }

// KeepOpen tells whether a client's connection may stay open after an answer. Draining, each connection ends
// with its next answer, or at once where it is idle: a connection held open would keep its client here. After
// SIGTERM, connections stay open while the front still sends: clients that are told to go could only come
// back.
func (l *Lifecycle) KeepOpen() bool { return l.phase != LameDuck && l.phase != Closing }

// Accepts tells whether a new connection is served. Once the listener is to close, one that was accepted as
// it closed is ended unread: its client asks elsewhere.
func (l *Lifecycle) Accepts() bool { return l.phase != Closing }

// Alive tells whether a process in this phase says yes to its operators' PING: it can serve.
func (p Phase) Alive() bool { return p == Serving || p == LameDuck }
