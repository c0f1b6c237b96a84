package membership

// Event is what happened.
type Event interface{ event() }

// Update is what the protocol says of a member. Where it is Dead or Left, only the name counts.
type Update struct {
	Member Member
	State  State
}

// Message is a question or an answer that came from a member directly.
type Message struct {
	From             string
	Addr             string // where it wants the answer
	Incarnation      Incarnation
	Seq              uint64      // grows with each word of a claim
	AckedSeq         uint64      // the question that it answers; 0: it is one
	KnownIncarnation Incarnation // in answers: the latest start that it knows under the name of whom it answers
}

// Paused tells that this process stood still for so long: what it did not hear meanwhile proves nothing.
type Paused struct{ Duration Seconds }

// PhaseChanged is this process's own phase.
type PhaseChanged struct{ Phase Phase }

// ProtocolRestarted tells that the protocol begins anew here and knows nobody yet: whom it does not tell of again within a while has
// died meanwhile.
type ProtocolRestarted struct{}

// Tick lets time pass; it comes ten times a second or so.
type Tick struct{}

func (Update) event() {}

func (Message) event() {}

func (Paused) event() {}

func (PhaseChanged) event() {}

func (ProtocolRestarted) event() {}

func (Tick) event() {}

// Action is what is to be done.
type Action interface{ action() }

// SendMessage sends a word to an address.
type SendMessage struct {
	To, Addr string
	Message  Message
}

// Rejoin asks a member at its address for the whole state, so that two parts of a fleet find each other again.
type Rejoin struct{ Name, Addr string }

// RaiseIncarnation is to be answered by a new View.Raised once the count is on disk: peers know a later start under this name.
type RaiseIncarnation struct{ Boot uint64 }

// NameConflict tells that another process took this one's name: it leaves the fleet, without goodbye.
type NameConflict struct{ Winner Incarnation }

// ViewChanged is a change of the view, or of the judgement.
type ViewChanged struct {
	Change       Change
	Reachability bool // it is the judgement's
}

// PersistView asks for the view to be kept on disk. It is no promise: a fleet is found again without it.
type PersistView struct{}

func (SendMessage) action() {}

func (Rejoin) action() {}

func (RaiseIncarnation) action() {}

func (NameConflict) action() {}

func (ViewChanged) action() {}

func (PersistView) action() {}

// Change is one step of the view.
type Change struct {
	View uint64 // number of the view that it made
	At   Seconds
	Name string
	From State
	To   State
	New  bool // it was not known before
	Boot uint64
	What string // "state", "phase" or "claim"
}
