// Package singleton decides which ingress does a piece of work that only one may do at a time. Register is what the voters agree
// on, applied in the order of their log; Clerk is the leader's part, which keeps the line and the leases; Holder is the part
// of each ingress, which knows until when it may act. What is done under a duty carries its token, and who receives it refuses
// older ones: that is the proof, the lease only makes refusals rare.
//
// It does no I/O, reads no clock and starts no goroutine. Times are seconds of each process's own monotonic clock.
package singleton

import (
	"cmp"
	"maps"
	"slices"
)

// Seconds are those of a process's own clock that only goes on.
type Seconds = float64

// The times, in seconds.
const (
	// LeaseDuration is for how long a holder may act behind the sending of the question that confirmed it.
	LeaseDuration = 3.0
	// MaxClockDrift bounds how much faster or slower than another a clock runs.
	MaxClockDrift = 0.05
	// SafetyMargin is what the leader waits for beyond a lease, and what a holder stops before its end.
	SafetyMargin = 0.05
	// expireAfter is how long the leader waits behind a renewal: a holder's clock may be slow by Drift and the leader's fast by it.
	expireAfter = LeaseDuration*(1+MaxClockDrift)/(1-MaxClockDrift) + SafetyMargin

	renewInterval = LeaseDuration / 6 // a holder, and one that waits, asks
	grantDelay     = 0.6       // a new leader hears who waits before it grants
	grantRetryInterval      = 1.0       // a grant that was not agreed on is proposed again
	candidateTimeout      = 1.6       // one that has not asked for so long does not wait any more

	// MaxRoles bounds the register; no command adds more.
	MaxRoles  = 256
	maxHistory = 128
	maxCandidates = 1024
	maxNameLength    = 64
)

// Identity is a process that holds a duty or wants to.
type Identity struct {
	Name  string `cbor:"Name"`
	Boot  uint64 `cbor:"Boot"`
	Nonce uint64 `cbor:"Nonce"`
}

// Command changes the register.
type Command struct {
	Kind  CommandKind     `cbor:"1,keyasint"`
	Role  string   `cbor:"2,keyasint"`
	To    Identity `cbor:"3,keyasint"`
	Token uint64   `cbor:"4,keyasint"`           // of the duty as the proposer knew it
	RenewedAt  uint64   `cbor:"5,keyasint,omitempty"` // of an Expire: the renewal that the proposer last saw agreed on
}

// CommandKind is what a command does.
type CommandKind uint8

// The kinds.
const (
	Grant  CommandKind = 1 // a duty that nobody holds is To's, under a new token
	Renew  CommandKind = 2 // To still holds it
	Release   CommandKind = 3 // To gives it up
	Expire CommandKind = 4 // nobody holds it any more: its lease has ended, unless it was renewed since
)

// Lease is a duty as the register has it.
type Lease struct {
	Holder Identity `cbor:"Holder"` // the zero value: nobody
	Token  uint64   `cbor:"Token"`  // of the last grant
	RenewedAt   uint64   `cbor:"Seen"`   // place in the log of the grant or the last renewal
}

// Tenure is one holder's time, for the history.
type Tenure struct {
	Role  string   `cbor:"Duty"`
	Token uint64   `cbor:"Token"`
	Holder    Identity `cbor:"To"`
	Index uint64   `cbor:"Index"` // of the log
}

// LeaseTable is the state that the voters agree on.
type LeaseTable struct {
	LastToken    uint64           `cbor:"Last"` // the highest token that was ever given
	Leases  map[string]Lease `cbor:"Duties"`
	History []Tenure           `cbor:"History"`
}

// NewLeaseTable returns an empty one.
func NewLeaseTable() *LeaseTable { return &LeaseTable{Leases: map[string]Lease{}} }

// Apply takes a command at its place in the log. It tells whether it changed or confirmed anything.
func (r *LeaseTable) Apply(c Command, index uint64) bool {
	e, known := r.Leases[c.Role]
	if c.Role == "" || len(c.Role) > maxNameLength || !known && (c.Kind != Grant || len(r.Leases) >= MaxRoles) {
		return false
	}
	if e.Token != c.Token && !mutated("token-unchecked") {
		return false // the proposer knew an older state
	}
	switch c.Kind {
	case Grant:
		if e.Holder != (Identity{}) && !mutated("held-granted") || c.To.Name == "" || len(c.To.Name) > maxNameLength {
			return false
		}
		r.LastToken++
		if mutated("token-again") {
			r.LastToken--
			e.Token--
		}
		r.Leases[c.Role] = Lease{Holder: c.To, Token: r.LastToken, RenewedAt: index}
		r.History = append(r.History, Tenure{c.Role, r.LastToken, c.To, index})
		if n := len(r.History) - maxHistory; n > 0 {
			r.History = slices.Delete(r.History, 0, n)
		}
		return true
	case Renew:
		if e.Holder != c.To {
			return false
		}
		e.RenewedAt = index
	case Release:
		if e.Holder != c.To || c.To == (Identity{}) {
			return false
		}
		e.Holder = Identity{}
	case Expire:
		// A leader that stood still finds a lease ended and, behind it in its queue, the renewals: these go to the log first,
		// and are answered. An expiry that was decided before them must not follow.
		if e.Holder == (Identity{}) || e.RenewedAt != c.RenewedAt && !mutated("expires-unseen") {
			return false
		}
		e.Holder = Identity{}
	default:
		return false
	}
	r.Leases[c.Role] = e
	return true
}

// Clone is a copy that shares nothing.
func (r *LeaseTable) Clone() *LeaseTable {
	return &LeaseTable{LastToken: r.LastToken, Leases: maps.Clone(r.Leases), History: slices.Clone(r.History)}
}

// Roles are those of the duties, sorted.
func (r *LeaseTable) Roles() []string { return slices.Sorted(maps.Keys(r.Leases)) }

// compareCandidates tells which of two that wait goes first: the one that was named, then the zone that is preferred, then the smaller
// load in steps of a tenth, then the name. It is asked when a duty is free alone: nobody is pushed out of one.
func compareCandidates(a, b candidate, zone string) int {
	return cmp.Or(-cmp.Compare(rank(a.zone == zone && zone != ""), rank(b.zone == zone && zone != "")),
		cmp.Compare(int(a.load*10), int(b.load*10)), cmp.Compare(a.identity.Name, b.identity.Name))
}

func rank(is bool) int {
	if is {
		return 1
	}
	return 0
}
