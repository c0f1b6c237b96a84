package singleton

// Identity is one incarnation of a process that holds a role or is a candidate for it.
type Identity struct {
	Name  string `cbor:"Name"`  // name of the ingress
	Boot  uint64 `cbor:"Boot"`  // number of its starts
	Nonce uint64 `cbor:"Nonce"` // random number, chosen at its start
}

// CommandKind is what a command does.
type CommandKind uint8

// Kinds of commands. Their values are stored in the voters' logs.
const (
	Grant   CommandKind = 1 // grants a free role to To, under a new token
	Renew   CommandKind = 2 // renews the lease of To
	Release CommandKind = 3 // ends the lease of To at its own request
	Expire  CommandKind = 4 // ends a lease that ran out, unless it was renewed in the meantime
)

// Command changes a LeaseTable. It is an entry of the voters' log.
type Command struct {
	Kind         CommandKind `cbor:"1,keyasint"`
	Role         string      `cbor:"2,keyasint"`
	To           Identity    `cbor:"3,keyasint"`
	Token        uint64      `cbor:"4,keyasint"`           // last token of the role known to the proposer
	RenewedIndex uint64      `cbor:"5,keyasint,omitempty"` // Expire only: RenewedIndex known to the proposer
}
