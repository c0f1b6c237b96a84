package revisionlog

// Bounds of entries, in messages and in the log.
const (
	// MaxEntries is how many revisions a log keeps; those with lower numbers are dropped.
	MaxEntries = 16
	// MaxTextBytes bounds the text of a revision.
	MaxTextBytes = 1 << 20

	maxPeers      = 1024
	maxNameLength = 64 // bytes, of a peer's name
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

// Record is what an ingress stores. Its JSON names are those of the first version.
type Record struct {
	LastToken uint64  `json:"Taken"` // the newest fencing token of a message
	Entries   []Entry `json:"Entries"`
}

// MessageKind is the kind of a message. Its values are on the wire.
type MessageKind uint8

// Kinds of messages.
const (
	Query       MessageKind = 1 // from the lease holder: which entries do you have?
	Inventory   MessageKind = 2 // to the lease holder: the stored entries, without texts
	Announce    MessageKind = 3 // from the lease holder: these entries apply
	Submit      MessageKind = 4 // to the lease holder: new revisions of the sender's own file
	Reject      MessageKind = 5 // from the lease holder: the number of a submitted revision stands for another content
	Fetch       MessageKind = 6 // from the lease holder: send the texts of these entries
	FetchResult MessageKind = 7 // to the lease holder: the response to a Fetch
)

// Message is a message between ingresses.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	Token   uint64      `cbor:"2,keyasint,omitempty"` // of an Inventory: the newest known; else the lease holder's
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
