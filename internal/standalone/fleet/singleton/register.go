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
	// Lease is for how long a holder may act behind the sending of the question that confirmed it.
	Lease = 3.0
	// Drift bounds how much faster or slower than another a clock runs.
	Drift = 0.05
	// Margin is what the leader waits for beyond a lease, and what a holder stops before its end.
	Margin = 0.05
	// expiry is how long the leader waits behind a renewal: a holder's clock may be slow by Drift and the leader's fast by it.
	expiry = Lease*(1+Drift)/(1-Drift) + Margin

	renewEvery = Lease / 6 // a holder, and one that waits, asks
	gather     = 0.6       // a new leader hears who waits before it grants
	again      = 1.0       // a grant that was not agreed on is proposed again
	waits      = 1.6       // one that has not asked for so long does not wait any more

	// MostDuties bounds the register; no command adds more.
	MostDuties  = 256
	mostHistory = 128
	mostWaiting = 1024
	mostName    = 64
)

// Claimant is a process that holds a duty or wants to.
type Claimant struct {
	Name  string `cbor:"Name"`
	Boot  uint64 `cbor:"Boot"`
	Nonce uint64 `cbor:"Nonce"`
}

// Command changes the register.
type Command struct {
	Kind  Kind     `cbor:"1,keyasint"`
	Duty  string   `cbor:"2,keyasint"`
	To    Claimant `cbor:"3,keyasint"`
	Token uint64   `cbor:"4,keyasint"`           // of the duty as the proposer knew it
	Seen  uint64   `cbor:"5,keyasint,omitempty"` // of an Expire: the renewal that the proposer last saw agreed on
}

// Kind is what a command does.
type Kind uint8

// The kinds.
const (
	Grant  Kind = 1 // a duty that nobody holds is To's, under a new token
	Renew  Kind = 2 // To still holds it
	Free   Kind = 3 // To gives it up
	Expire Kind = 4 // nobody holds it any more: its lease has ended, unless it was renewed since
)

// Entry is a duty as the register has it.
type Entry struct {
	Holder Claimant `cbor:"Holder"` // the zero value: nobody
	Token  uint64   `cbor:"Token"`  // of the last grant
	Seen   uint64   `cbor:"Seen"`   // place in the log of the grant or the last renewal
}

// Term is one holder's time, for the history.
type Term struct {
	Duty  string   `cbor:"Duty"`
	Token uint64   `cbor:"Token"`
	To    Claimant `cbor:"To"`
	Index uint64   `cbor:"Index"` // of the log
}

// Register is the state that the voters agree on.
type Register struct {
	Last    uint64           `cbor:"Last"` // the highest token that was ever given
	Duties  map[string]Entry `cbor:"Duties"`
	History []Term           `cbor:"History"`
}

// NewRegister returns an empty one.
func NewRegister() *Register { return &Register{Duties: map[string]Entry{}} }

// Apply takes a command at its place in the log. It tells whether it changed or confirmed anything.
func (r *Register) Apply(c Command, index uint64) bool {
	e, known := r.Duties[c.Duty]
	if c.Duty == "" || len(c.Duty) > mostName || !known && (c.Kind != Grant || len(r.Duties) >= MostDuties) {
		return false
	}
	if e.Token != c.Token && !mutated("token-unchecked") {
		return false // the proposer knew an older state
	}
	switch c.Kind {
	case Grant:
		if e.Holder != (Claimant{}) && !mutated("held-granted") || c.To.Name == "" || len(c.To.Name) > mostName {
			return false
		}
		r.Last++
		if mutated("token-again") {
			r.Last--
			e.Token--
		}
		r.Duties[c.Duty] = Entry{Holder: c.To, Token: r.Last, Seen: index}
		r.History = append(r.History, Term{c.Duty, r.Last, c.To, index})
		if n := len(r.History) - mostHistory; n > 0 {
			r.History = slices.Delete(r.History, 0, n)
		}
		return true
	case Renew:
		if e.Holder != c.To {
			return false
		}
		e.Seen = index
	case Free:
		if e.Holder != c.To || c.To == (Claimant{}) {
			return false
		}
		e.Holder = Claimant{}
	case Expire:
		// A leader that stood still finds a lease ended and, behind it in its queue, the renewals: these go to the log first,
		// and are answered. An expiry that was decided before them must not follow.
		if e.Holder == (Claimant{}) || e.Seen != c.Seen && !mutated("expires-unseen") {
			return false
		}
		e.Holder = Claimant{}
	default:
		return false
	}
	r.Duties[c.Duty] = e
	return true
}

// Clone is a copy that shares nothing.
func (r *Register) Clone() *Register {
	return &Register{Last: r.Last, Duties: maps.Clone(r.Duties), History: slices.Clone(r.History)}
}

// Names are those of the duties, sorted.
func (r *Register) Names() []string { return slices.Sorted(maps.Keys(r.Duties)) }

// better tells which of two that wait goes first: the one that was named, then the zone that is preferred, then the smaller
// load in steps of a tenth, then the name. It is asked when a duty is free alone: nobody is pushed out of one.
func better(a, b waiting, zone string) int {
	return cmp.Or(-cmp.Compare(rank(a.Zone == zone && zone != ""), rank(b.Zone == zone && zone != "")),
		cmp.Compare(int(a.Load*10), int(b.Load*10)), cmp.Compare(a.Who.Name, b.Who.Name))
}

func rank(is bool) int {
	if is {
		return 1
	}
	return 0
}
