package revisionlog

// Event is an input of Log.Step.
type Event interface{ event() }

// Events of the Log.
type (
	// LocalRevision is a revision in this ingress's own file.
	LocalRevision struct{ Entry Entry }
	// LeaseGained reports that this ingress now holds the catalogue lease, under a new fencing token.
	LeaseGained struct{ Token uint64 }
	// LeaseLost reports that this ingress no longer holds the catalogue lease.
	LeaseLost struct{}
	// MessageReceived is a message of another ingress. The caller has checked that the texts match their digests and
	// numbers.
	MessageReceived struct {
		From    string
		Message Message
	}
	// RecordStored reports that a record is durable on disk.
	RecordStored struct{ Record Record }
	// Tick reports that time has passed, and the current members of the fleet.
	Tick struct {
		LivePeers   []string // names of the other ingresses that are alive
		LeaseHolder string   // name of the ingress that holds the catalogue lease; empty if unknown
	}
)

func (LocalRevision) event()   {}
func (LeaseGained) event()     {}
func (LeaseLost) event()       {}
func (MessageReceived) event() {}
func (RecordStored) event()    {}
func (Tick) event()            {}

// Action is an action that the caller of Log.Step must carry out.
type Action interface{ action() }

// Actions of the Log.
type (
	// Send sends a message, which may be lost. A message of a kind that only the lease holder sends must be dropped
	// unless this ingress holds the lease under Message.Token.
	Send struct {
		To      string
		Message Message
	}
	// Apply puts a revision into effect. It replaces any other content of the same number.
	Apply struct{ Entry Entry }
	// StoreRecord replaces the record on disk. The caller reports RecordStored once it is durable.
	StoreRecord struct{ Record Record }
	// ReportConflict reports that a revision of this ingress's own file is not announced, because its number is already
	// in use for other content or is too low to be retained.
	ReportConflict struct{ Entry Entry }
)

func (Send) action()           {}
func (Apply) action()          {}
func (StoreRecord) action()    {}
func (ReportConflict) action() {}
