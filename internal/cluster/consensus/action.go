package consensus

// ActionKind is what a proposer asks its caller to do.
type ActionKind uint8

// The kinds of actions. After each, the proposer waits for the calls named here, or for Timeout.
const (
	// None asks for nothing: the proposer waits for answers that are still outstanding.
	None ActionKind = iota
	// Prepare asks to send Ballot to the voters To: Promised, NoReply.
	Prepare
	// Read asks to send a read to the voters To: Promised, NoReply.
	Read
	// Fetch asks to catch up from Source, to Epoch at least: Fetched.
	Fetch
	// Compose asks what is to be proposed upon the snapshot that is chosen here: Composed, or RequireConfirmation
	// unless Confirmed is set, which means that no newer snapshot was acknowledged before the run began.
	Compose
	// Accept asks to send Proposal to the voters To: Accepted, NoReply.
	Accept
	// Apply tells that Proposal is chosen, and asks to apply it and to notify all other nodes: Applied.
	Apply
	// Backoff asks to wait for Delay: Resumed.
	Backoff
	// Done ends the run. After a read, the snapshot here is as new as any that was acknowledged before the run began.
	Done
)

// Action is what a proposer asks its caller to do. Answers to it carry its Attempt: those to earlier attempts are
// ignored.
type Action struct {
	Kind      ActionKind
	Attempt   uint64
	To        []string // addresses
	Source    string   // address
	Ballot    Ballot
	Epoch     uint64
	Proposal  Proposal
	Confirmed bool
	Delay     float64 // seconds
}
