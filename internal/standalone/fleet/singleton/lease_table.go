package singleton

import (
	"maps"
	"slices"

	"mulleinrouter/internal/mutants"
)

// Lease is the state of one role.
type Lease struct {
	Holder       Identity `cbor:"Holder"` // the zero value if the role is free
	Token        uint64   `cbor:"Token"`  // token of the last grant
	RenewedIndex uint64   `cbor:"Seen"`   // log index of the grant or of the last renewal
}

// assigned reports whether an ingress holds the role.
func (l Lease) assigned() bool { return l.Holder != (Identity{}) }

// Tenure is one grant of a role, for the history.
type Tenure struct {
	Role   string   `cbor:"Duty"`
	Token  uint64   `cbor:"Token"`
	Holder Identity `cbor:"To"`
	Index  uint64   `cbor:"Index"` // log index of the grant
}

// LeaseTable is the state that the voters agree on. It is identical at all voters that have applied the same entries of
// the log. It is stored in snapshots, so its tags keep the field names of the first version.
type LeaseTable struct {
	LastToken uint64           `cbor:"Last"`   // the highest token ever granted, across all roles
	Leases    map[string]Lease `cbor:"Duties"` // by role
	History   []Tenure         `cbor:"History"`
}

// NewLeaseTable returns an empty table.
func NewLeaseTable() *LeaseTable { return &LeaseTable{Leases: map[string]Lease{}} }

// Apply applies a command at its index in the log, and reports whether it changed or renewed a lease.
func (lt *LeaseTable) Apply(c Command, index uint64) bool {
	lease, known := lt.Leases[c.Role]
	if c.Role == "" || len(c.Role) > maxNameLength {
		return false
	}
	if !known && (c.Kind != Grant || len(lt.Leases) >= MaxRoles) {
		return false
	}
	if lease.Token != c.Token && !mutants.On("singleton/token-unchecked") {
		return false // the proposer acted on an outdated state
	}
	switch c.Kind {
	case Grant:
		return lt.grant(lease, c, index)
	case Renew:
		if lease.Holder != c.To {
			return false
		}
		lease.RenewedIndex = index
	case Release:
		if lease.Holder != c.To || c.To == (Identity{}) {
			return false
		}
		lease.Holder = Identity{}
	case Expire:
		// A leader that resumes after a pause may find a lease past its end while the holder's renewals still wait in
		// its inbox. Those renewals may reach the log first and be confirmed. An expiry that was decided before them
		// must not take effect after them, so it is applied only if the lease was not renewed in the meantime.
		if !lease.assigned() || lease.RenewedIndex != c.RenewedIndex && !mutants.On("singleton/expires-unseen") {
			return false
		}
		lease.Holder = Identity{}
	default:
		return false
	}
	lt.Leases[c.Role] = lease
	return true
}

// grant gives a free role to c.To under a new token.
func (lt *LeaseTable) grant(lease Lease, c Command, index uint64) bool {
	if lease.assigned() && !mutants.On("singleton/held-granted") || c.To.Name == "" || len(c.To.Name) > maxNameLength {
		return false
	}
	lt.LastToken++
	if mutants.On("singleton/token-again") {
		lt.LastToken--
	}
	lt.Leases[c.Role] = Lease{Holder: c.To, Token: lt.LastToken, RenewedIndex: index}
	lt.History = append(lt.History, Tenure{Role: c.Role, Token: lt.LastToken, Holder: c.To, Index: index})
	if excess := len(lt.History) - maxHistory; excess > 0 {
		lt.History = slices.Delete(lt.History, 0, excess)
	}
	return true
}

// Clone returns a deep copy of the table.
func (lt *LeaseTable) Clone() *LeaseTable {
	return &LeaseTable{
		LastToken: lt.LastToken,
		Leases:    maps.Clone(lt.Leases),
		History:   slices.Clone(lt.History),
	}
}

// Roles returns the names of the roles, sorted.
func (lt *LeaseTable) Roles() []string { return slices.Sorted(maps.Keys(lt.Leases)) }
