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
	Cores          Unit = "core" // processor seconds a second
	Seconds        Unit = "s"
	Items          Unit = "" // a count without a unit
)

// Role is the process, or the processes together, that a requirement is of.
type Role string

// The roles of the system.
const (
	Agent   Role = "agent"
	Proxy   Role = "proxy"
	Ingress Role = "agent and proxy" // what the two may use together
	Control Role = "control"         // one control node
	System  Role = "all"             // all roles along the way of a change
)

// Requirement is what a role needs of one resource at the planned size, beside its limit.
type Requirement struct {
	Role        Role
	Description string
	Unit        Unit
	Need        float64 // the sum of Terms
	Limit       float64
	Terms       []Term // the largest first
	// MaxScale is the part of the planned size at which Need reaches Limit: 0 where it is above Limit at any size,
	// infinite where it never is.
	MaxScale float64
}

// newRequirement sums the terms in the order given, and keeps them sorted.
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

// Margin is how many times the need fits into the limit: below 1 it does not.
func (r *Requirement) Margin() float64 { return r.Limit / r.Need }

// exceeds tells whether the need is above the limit.
func (r *Requirement) exceeds() bool { return r.Need > r.Limit }

// Term is one part of a need: a cost for each of a number of things.
type Term struct {
	Description string
	UnitCost    float64 // in the unit of the requirement; for Cores in seconds
	Count       float64 // of things, or of operations a second
}

func (t Term) total() float64 { return t.UnitCost * t.Count }
