package consensus

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions. The comment on each names the methods with which the caller reports the result. The proposer
// waits for one of them or, except after Backoff, for Timeout.
const (
	// None requests nothing, because the proposer still waits for outstanding answers.
	None ActionKind = iota
	// Prepare requests that Ballot is sent to the voters in To. Results: Promised, NoReply.
	Prepare
	// Read requests that a read is sent to the voters in To. Results: Promised, NoReply.
	Read
	// Fetch requests catch-up from Source, at least to Epoch. Result: Fetched.
	Fetch
	// Compose requests the content of a proposal that builds on the local chosen snapshot. Results: Composed, or
	// RequireConfirmation unless Confirmed is set. Confirmed means that no newer snapshot was acknowledged before the
	// run began.
	Compose
	// Accept requests that Proposal is sent to the voters in To. Results: Accepted, NoReply.
	Accept
	// Apply reports that Proposal is chosen, and requests that the caller applies it and notifies all other nodes.
	// Result: Applied.
	Apply
	// Backoff requests a wait of Delay. Result: Resumed.
	Backoff
	// Done ends the run. After a read, the local snapshot is as new as any that was acknowledged before the run began.
	Done
)

// Action is what a proposer asks its caller to do. Answers to it carry its Attempt; answers to earlier attempts are
// ignored.
type Action struct {
	Kind      ActionKind
	Attempt   uint64
	To        []string // addresses of the voters, host:port
	Source    string   // address of the node to catch up from, host:port
	Ballot    Ballot
	Epoch     uint64
	Proposal  Proposal
	Confirmed bool
	Delay     float64 // seconds
}
