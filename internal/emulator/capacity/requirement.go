package capacity

import (
	"cmp"
	"slices"
)

// Unit is the unit of a requirement.
type Unit string

// The units of requirements.
const (
	Bytes          Unit = "B"
	BytesPerSecond Unit = "B/s"
	Cores          Unit = "core" // processor time in seconds a second
	Seconds        Unit = "s"
	Items          Unit = "" // a count without a unit
)

// Role is the process, or the group of processes, that a requirement applies to.
type Role string

// The roles of the system.
const (
	Agent   Role = "agent"
	Proxy   Role = "proxy"
	Ingress Role = "agent and proxy" // both processes of an ingress, for limits that they share
	Control Role = "control"         // one control node
	System  Role = "all"             // all roles that take part in a change
)

// Requirement is the need of a role for one resource at the planned size, with its limit.
type Requirement struct {
	Role        Role
	Description string
	Unit        Unit
	Need        float64 // the sum of Terms
	Limit       float64
	Terms       []Term // sorted, the largest first
	// MaxScale is the part of the planned size at which Need reaches Limit: 0 if Need is above Limit at every size, and
	// infinite if it is at none.
	MaxScale float64
}

// newRequirement returns a requirement with the sum of the terms in the given order, and with the terms sorted.
func newRequirement(role Role, description string, unit Unit, limit float64, terms []Term) Requirement {
	r := Requirement{
		Role:        role,
		Description: description,
		Unit:        unit,
		Limit:       limit,
		Terms:       slices.Clone(terms),
	}
	for _, t := range terms {
		r.Need += t.total()
	}
	slices.SortStableFunc(r.Terms, func(a, b Term) int { return cmp.Compare(b.total(), a.total()) })
	return r
}

// Margin returns the ratio of the limit to the need. Below 1, the need exceeds the limit.
func (r *Requirement) Margin() float64 { return r.Limit / r.Need }

// exceeds reports whether the need is above the limit.
func (r *Requirement) exceeds() bool { return r.Need > r.Limit }

// Term is one part of a need: a unit cost multiplied by a count.
type Term struct {
	Description string
	UnitCost    float64 // cost in the unit of the requirement; for Cores in seconds
	Count       float64 // number of items, or of operations a second
}

func (t Term) total() float64 { return t.UnitCost * t.Count }
