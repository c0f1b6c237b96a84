package registry

import (
	"cmp"
	"math"
)

// Seconds is a time on the common clock of the control nodes (replication.Clock) or a duration, in seconds.
type Seconds = float64

// Phase is the state of an instance, as its server reported it or as a control node detected it.
type Phase uint8

// The phases, in ascending precedence among versions with the same Seq. Gone takes precedence at any Seq, because an
// incarnation that has ended never returns.
const (
	Serving  Phase = iota
	Silent         // its heartbeats have timed out; any later call of the server overrides this
	Draining       // accepts no new requests
	Gone           // has ended
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

// Limits on an instance that another process sends.
const (
	maxNameLength = 512     // bytes
	maxCapacity   = 1 << 20 // concurrent requests
)

// Instance is one incarnation of a server.
type Instance struct {
	ID             string  `cbor:"1,keyasint"`
	Service        string  `cbor:"2,keyasint,omitempty"`
	Address        string  `cbor:"3,keyasint,omitempty"`
	Zone           string  `cbor:"4,keyasint,omitempty"`
	Generation     string  `cbor:"5,keyasint,omitempty"`
	Capacity       int     `cbor:"6,keyasint,omitempty"` // concurrent requests
	Phase          Phase   `cbor:"7,keyasint,omitempty"`
	Seq            uint64  `cbor:"8,keyasint,omitempty"` // number of the server's call that reported this
	SlowStartUntil Seconds `cbor:"9,keyasint,omitempty"` // end of its slow start, on the common clock; 0 means none
}

// Supersedes reports whether an instance replaces another version with the same ID. Gone always does; otherwise the
// later call wins and, for the same call, the later phase.
func (i Instance) Supersedes(old Instance) bool {
	if (i.Phase == Gone) != (old.Phase == Gone) {
		return i.Phase == Gone
	}
	return cmp.Or(cmp.Compare(i.Seq, old.Seq), cmp.Compare(i.Phase, old.Phase)) > 0
}

// DiffersFrom reports whether an instance differs from another version in a way that matters to a process that sends
// requests. A further heartbeat with the same report does not.
func (i Instance) DiffersFrom(old Instance) bool {
	i.Seq, i.SlowStartUntil = old.Seq, old.SlowStartUntil
	return i != old
}

// Valid reports whether an instance that another process sent is within the limits.
func (i Instance) Valid() bool {
	for _, name := range [...]string{i.ID, i.Service, i.Address, i.Zone, i.Generation} {
		if len(name) > maxNameLength {
			return false
		}
	}
	return i.ID != "" && i.Capacity >= 0 && i.Capacity <= maxCapacity && i.Phase <= Gone &&
		!math.IsNaN(i.SlowStartUntil) && !math.IsInf(i.SlowStartUntil, 0)
}

// Heartbeat is a call of a server in the form in which control nodes exchange it.
type Heartbeat struct {
	ID  string `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}
