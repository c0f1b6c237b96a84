package registry

import (
	"cmp"
	"math"
)

// Seconds is a time on the common clock of the control nodes (replication.Clock), or a span of it.
type Seconds = float64

// Phase is the state of an instance: as its server reported it, or as a control node detected it.
type Phase uint8

// The phases, in the order in which they win at one call. Gone wins over all: an incarnation that has ended never
// returns.
const (
	Serving  Phase = iota
	Silent         // its heartbeats have timed out; any later call of the server overrides this
	Draining       // it takes no new requests
	Gone           // it has ended
)

// phases are the names of the phases on the wire and in metrics.
var phases = [...]string{"serving", "silent", "draining", "gone"}

// String returns the name of the phase on the wire and in metrics.
func (p Phase) String() string {
	if int(p) < len(phases) {
		return phases[p]
	}
	return "unknown"
}

const (
	maxNameLength = 512 // bytes
	maxCapacity   = 1 << 20
)

// Instance is one incarnation of a server.
type Instance struct {
	ID             string  `cbor:"1,keyasint"`
	Service        string  `cbor:"2,keyasint,omitempty"`
	Address        string  `cbor:"3,keyasint,omitempty"`
	Zone           string  `cbor:"4,keyasint,omitempty"`
	Generation     string  `cbor:"5,keyasint,omitempty"`
	Capacity       int     `cbor:"6,keyasint,omitempty"` // requests at a time
	Phase          Phase   `cbor:"7,keyasint,omitempty"`
	Seq            uint64  `cbor:"8,keyasint,omitempty"` // number of the server's call that reported this
	SlowStartUntil Seconds `cbor:"9,keyasint,omitempty"` // end of its slow start, on the common clock; 0: none
}

// Supersedes reports whether an instance takes the place of another version with the same ID: Gone always, else the
// later call, and at one call the later phase.
func (i Instance) Supersedes(old Instance) bool {
	if (i.Phase == Gone) != (old.Phase == Gone) {
		return i.Phase == Gone
	}
	return cmp.Or(cmp.Compare(i.Seq, old.Seq), cmp.Compare(i.Phase, old.Phase)) > 0
}

// DiffersFrom reports whether an instance differs from another version in what matters to a process that sends
// requests. A further heartbeat that reports the same does not.
func (i Instance) DiffersFrom(old Instance) bool {
	i.Seq, i.SlowStartUntil = old.Seq, old.SlowStartUntil
	return i != old
}

// Valid reports whether an instance that another process sent is within the bounds of one.
func (i Instance) Valid() bool {
	for _, name := range [...]string{i.ID, i.Service, i.Address, i.Zone, i.Generation} {
		if len(name) > maxNameLength {
			return false
		}
	}
	return i.ID != "" && i.Capacity >= 0 && i.Capacity <= maxCapacity && i.Phase <= Gone &&
		!math.IsNaN(i.SlowStartUntil) && !math.IsInf(i.SlowStartUntil, 0)
}

// Heartbeat is a call of a server, as control nodes exchange it.
type Heartbeat struct {
	ID  string `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}
