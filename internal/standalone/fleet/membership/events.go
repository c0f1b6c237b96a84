package membership

// Event is an input of View.Step.
type Event interface{ event() }

// Update is a report of the SWIM protocol about a member. If State is Dead or Left, only the member's name is used.
type Update struct {
	Member Member
	State  State
}

// Message is a probe or its acknowledgement, received from a member directly.
type Message struct {
	From             string
	Addr             string // address of the sender, to which the acknowledgement goes
	Incarnation      Incarnation
	Seq              uint64      // grows with each message of an incarnation
	AckedSeq         uint64      // sequence number of the acknowledged probe; 0: the message is a probe
	KnownIncarnation Incarnation // in an acknowledgement: the latest incarnation known under the receiver's name
}

// Paused reports that this process was suspended. Missing messages from that time prove nothing about other members.
type Paused struct{ Duration Seconds }

// PhaseChanged is a change of this process's own phase.
type PhaseChanged struct{ Phase Phase }

// ProtocolRestarted reports that this process restarted the SWIM protocol, which doesn't know any member yet. Members
// that it doesn't report again within restartGracePeriod count as dead.
type ProtocolRestarted struct{}

// Tick reports the passing of time. It is expected about ten times a second.
type Tick struct{}

func (Update) event() {}

func (Message) event() {}

func (Paused) event() {}

func (PhaseChanged) event() {}

func (ProtocolRestarted) event() {}

func (Tick) event() {}

// Action is an output of View.Step, which the caller executes.
type Action interface{ action() }

// SendMessage sends a message to an address. The message may be lost.
type SendMessage struct {
	To      string
	Addr    string
	Message Message
}

// Rejoin exchanges the complete state with a member, so that two parts of a partitioned fleet join again.
type Rejoin struct {
	Name string
	Addr string
}

// RaiseIncarnation asks for a higher boot count, because peers know a later incarnation under this name. The caller
// calls View.SetIncarnation once the count is on disk.
type RaiseIncarnation struct{ Boot uint64 }

// NameConflict reports that another process has taken this one's name. This process has to leave the fleet without
// announcing it, because the announcement would report the name as left.
type NameConflict struct{ Winner Incarnation }

// ViewChanged reports a change of the view.
type ViewChanged struct {
	Change       Change
	Reachability bool // the reachability level has changed, not the state of a member
}

// PersistView asks for AgreedMembers to be written to disk. This is an optimization, because a process without them
// finds the fleet through its seeds.
type PersistView struct{}

func (SendMessage) action() {}

func (Rejoin) action() {}

func (RaiseIncarnation) action() {}

func (NameConflict) action() {}

func (ViewChanged) action() {}

func (PersistView) action() {}

// Kinds of changes, as reports and logs show them.
const (
	changedState       = "state"
	changedPhase       = "phase"
	changedIncarnation = "claim"
)

// Change is one recorded change of the view.
type Change struct {
	View uint64 // version of the view after the change; a change of the reachability doesn't increase it
	At   Seconds
	Name string
	From State
	To   State
	New  bool   // the member was not known before
	Boot uint64 // boot count of the member's incarnation; 0 for a change of the reachability
	What string // "state", "phase" or "claim" (the incarnation); for the reachability: the name of the level
}
