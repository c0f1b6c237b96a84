package singleton

// Identity is one incarnation of a process that holds a role or is a candidate for it.
type Identity struct {
	Name  string `cbor:"Name"`  // of the ingress
	Boot  uint64 `cbor:"Boot"`  // count of its starts
	Nonce uint64 `cbor:"Nonce"` // drawn at its start
}

// CommandKind is what a command does.
type CommandKind uint8

// Kinds of commands. Their values are stored in the voters' logs.
const (
	Grant   CommandKind = 1 // a free role goes to To, under a new token
	Renew   CommandKind = 2 // To still holds the role
	Release CommandKind = 3 // To gives the role up
	Expire  CommandKind = 4 // the lease has ended, unless it was renewed since: nobody holds the role
)

// Command changes a LeaseTable. It is an entry of the voters' log.
type Command struct {
	Kind         CommandKind `cbor:"1,keyasint"`
	Role         string      `cbor:"2,keyasint"`
	To           Identity    `cbor:"3,keyasint"`
	Token        uint64      `cbor:"4,keyasint"`           // of the role as the proposer knew it
	RenewedIndex uint64      `cbor:"5,keyasint,omitempty"` // of Expire: the last renewal that the proposer saw
}
