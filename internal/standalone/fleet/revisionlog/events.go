package revisionlog

// Event is an event of the Log.
type Event interface{ event() }

// Events of the Log.
type (
	// LocalRevision is a revision in this ingress's own file.
	LocalRevision struct{ Entry Entry }
	// LeaseGained says that this ingress holds the lease of the catalogue from now on.
	LeaseGained struct{ Token uint64 }
	// LeaseLost says that it does not hold the lease any more.
	LeaseLost struct{}
	// MessageReceived is a message of another ingress. The host has checked that texts match their digests and numbers.
	MessageReceived struct {
		From    string
		Message Message
	}
	// RecordStored says that a record is on disk.
	RecordStored struct{ Record Record }
	// Tick says that time has passed.
	Tick struct {
		LivePeers   []string // names of the other ingresses that are alive
		LeaseHolder string   // of the catalogue, as far as is known; empty: none
	}
)

func (LocalRevision) event()   {}
func (LeaseGained) event()     {}
func (LeaseLost) event()       {}
func (MessageReceived) event() {}
func (RecordStored) event()    {}
func (Tick) event()            {}

// Action is what the Log wants done.
type Action interface{ action() }

// Actions of the Log.
type (
	// Send sends a message, which may be lost. One of the lease holder is sent only while the lease is held under
	// Message.Token.
	Send struct {
		To      string
		Message Message
	}
	// Apply has a revision take effect, in place of any other of its number.
	Apply struct{ Entry Entry }
	// StoreRecord replaces the record on disk. RecordStored is to follow.
	StoreRecord struct{ Record Record }
	// ReportConflict reports that a revision of this ingress's own file is not announced: its number stands for another
	// content.
	ReportConflict struct{ Entry Entry }
)

func (Send) action()           {}
func (Apply) action()          {}
func (StoreRecord) action()    {}
func (ReportConflict) action() {}
