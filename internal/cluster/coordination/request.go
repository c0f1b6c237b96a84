package coordination

import (
	"strings"

	"mulleinrouter/internal/cluster/shard"
)

// Kind is what a request asks for.
type Kind uint8

// The kinds of requests. Their numbers are on the wire.
const (
	AcquireLock Kind = 1
	RenewLock   Kind = 2
	ReleaseLock Kind = 3
	NextNumber  Kind = 4
	PutCell     Kind = 5
	GetCell     Kind = 6
	Watch       Kind = 7
)

// Bounds of requests.
const (
	MaxNameBytes  = 256       // length of a name
	MaxValueBytes = 4 << 10   // length of a cell's value
	MaxHoldMs     = 3_600_000 // hold of a lock, milliseconds
	MaxWaitMs     = 15_000    // wait of a watch, milliseconds
)

// Request is a call of an application.
type Request struct {
	Kind  Kind   `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`           // name of the lock, number or cell; for a watch, the group with its dot
	Owner string `cbor:"3,keyasint,omitempty"` // owner of the lock
	Fence uint64 `cbor:"4,keyasint,omitempty"` // fencing token of the hold to be renewed or released
	// HoldMs is how long the owner is to have the lock, in milliseconds.
	HoldMs int64  `cbor:"5,keyasint,omitempty"`
	Value  string `cbor:"6,keyasint,omitempty"` // value to put
	// Expected is the revision that the cell must have for a put. 0 means that the cell must not exist; nil means any.
	Expected *uint64 `cbor:"7,keyasint,omitempty"`
	// After is the revision after which a watch begins. With 0 the watch only returns the present revision.
	After  uint64 `cbor:"8,keyasint,omitempty"`
	WaitMs int64  `cbor:"9,keyasint,omitempty"` // time for which a watch waits for an event, milliseconds
	// SentAfter is the latest state of the hold that the caller is known to have been answered about before it sent a
	// release. nil means that no state is known.
	SentAfter *HoldState `cbor:"10,keyasint,omitempty"`
}

// HoldState is a version of a hold. It changes whenever the owner prolongs the hold, and at each new term.
type HoldState struct {
	Term          uint64 `cbor:"1,keyasint"` // term of the leaseholder
	Prolongations uint64 `cbor:"2,keyasint"` // calls of the owner after the grant that have prolonged the hold
}

// ReadOnly reports whether a request changes nothing. Such a request has had no effect, even if its answer is lost.
func (r Request) ReadOnly() bool { return r.Kind == GetCell || r.Kind == Watch }

// Scope returns the kind of record and the name, or for cells the group, which determine the shard. Therefore all cells
// of a group are in one shard.
func (r Request) Scope() string {
	switch r.Kind {
	case PutCell, GetCell, Watch:
		return "cell/" + groupOf(r.Name)
	case NextNumber:
		return "number/" + r.Name
	}
	return "lock/" + r.Name
}

// groupOf returns a cell's name up to and including its first dot. A cell whose name has no dot is a group by itself.
func groupOf(name string) string {
	if group, _, found := strings.Cut(name, "."); found {
		return group + "."
	}
	return name
}

// Code is the outcome of a request.
type Code uint8

// The codes of results. Their numbers are on the wire.
const (
	OK          Code = 1
	Conflict    Code = 2 // another owner has the lock, or the hold has ended
	NotFound    Code = 3 // the cell does not exist
	Mismatch    Code = 4 // the cell does not have the expected revision; a revision that has passed never returns
	Compacted   Code = 5 // events after the requested revision have been removed
	TooMany     Code = 6 // the shard has too many records or bytes of values; the request had no effect
	TooManyOpen Code = 7 // too many calls are in flight; the request had no effect
	// Unconfirmed means that a release had no effect, because it may have been sent before the last call that prolonged
	// the hold. A caller that still waits for the answer repeats it with the HoldState of the result as SentAfter.
	Unconfirmed Code = 8
)

// Event is a put, as a watch reports it.
type Event struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Value    string `cbor:"2,keyasint" json:"payload"`
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
}

// Result answers a request.
type Result struct {
	Code     Code    `cbor:"1,keyasint"`
	Fence    uint64  `cbor:"2,keyasint,omitempty"`
	Number   uint64  `cbor:"3,keyasint,omitempty"`
	Revision uint64  `cbor:"4,keyasint,omitempty"` // of the cell; for a watch, the revision up to which it is complete
	Value    string  `cbor:"5,keyasint,omitempty"`
	Events   []Event `cbor:"6,keyasint,omitempty"` // in order of their revisions
	// Hold is the state of the hold after a call that has granted or prolonged it, and with Unconfirmed.
	Hold *HoldState `cbor:"7,keyasint,omitempty"`
}

// Outcome is what the caller of Evaluate must do with a request.
type Outcome struct {
	Result Result
	// Writes must be proposed as one batch, with the number that was passed to Evaluate.
	Writes []shard.Write
	// CommitBefore is the number of the batch that must be committed before the result may be returned. Otherwise the
	// application could see a value that a take-over loses.
	CommitBefore uint64
	// Pending means that a watch has no events yet. Result is its answer if none arrive within its wait.
	Pending bool
}
