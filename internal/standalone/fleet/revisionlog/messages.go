package revisionlog

// Limits on entries and peers, which bound the size of messages and of the log.
const (
	// MaxEntries is the number of revisions that a log retains. Those with the lowest numbers are pruned first.
	MaxEntries = 16
	// MaxTextBytes is the maximum length of a revision's text in bytes.
	MaxTextBytes = 1 << 20

	maxPeers      = 1024 // peers whose state a lease holder tracks; it ignores further ones
	maxNameLength = 64   // bytes of a peer's name
)

// Entry is a revision as it was announced.
type Entry struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Token  uint64 `cbor:"2,keyasint" json:"token"` // fencing token of the announcement
	Digest string `cbor:"3,keyasint" json:"digest"`
	Text   []byte `cbor:"4,keyasint" json:"text,omitempty"`
}

// withoutText returns the entry as inventories list it.
func (e Entry) withoutText() Entry {
	e.Text = nil
	return e
}

// validText reports whether the entry has a number and a text within bounds.
func (e Entry) validText() bool {
	return e.Number > 0 && len(e.Text) > 0 && len(e.Text) <= MaxTextBytes
}

// Record is the state that an ingress stores on disk. Its JSON names are those of the first version.
type Record struct {
	LastToken uint64  `json:"Taken"` // newest fencing token seen
	Entries   []Entry `json:"Entries"`
}

// MessageKind is the kind of a message. Its values are on the wire.
type MessageKind uint8

// Kinds of messages.
const (
	Query       MessageKind = 1 // from the lease holder: asks for an Inventory
	Inventory   MessageKind = 2 // to the lease holder: lists the stored entries, without texts
	Announce    MessageKind = 3 // from the lease holder: entries to apply
	Submit      MessageKind = 4 // to the lease holder: new revisions of the sender's own file
	Reject      MessageKind = 5 // from the lease holder: the number of a submitted revision is in use or too low
	Fetch       MessageKind = 6 // from the lease holder: asks for the texts of entries
	FetchResult MessageKind = 7 // to the lease holder: the response to a Fetch
)

// Message is a message between ingresses.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	Token   uint64      `cbor:"2,keyasint,omitempty"` // Inventory: newest known; Submit: 0; else the lease holder's
	Entries []Entry     `cbor:"3,keyasint,omitempty"`
}

// FromLeaseHolder reports whether only the lease holder sends messages of the kind.
func (mk MessageKind) FromLeaseHolder() bool {
	switch mk {
	case Query, Announce, Reject, Fetch:
		return true
	default:
		return false
	}
}
