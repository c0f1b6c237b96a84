// Package plans determines the plan of each member, and the plan's limits, while ingresses serve. It manages the
// revisions of a catalogue, the time from which each takes effect, and bookings, which raise a member's quota for a
// period.
//
// It is a pure state machine without I/O, clock or goroutines. The caller offers revisions as it receives them,
// looks up the terms of a member at a given time, and gets the changed terms from Due. Terms are the limits that a plan
// and bookings give a member (decision.Terms). Times are Unix seconds on the clock that ingresses share. All ingresses
// derive the same terms from the same revisions, in whatever order they receive them.
//
// It may import the decision module, for plans and terms, and no other package of this repository. The caller owns a
// State and serializes access to it. Package catalogue reads and writes revisions as files, and package node applies
// them.
//
// The files are revision.go (types and digest), validate.go, capacity.go (bookings against the bookable rate),
// diff.go, state.go (which revision is in force), compiled.go (a revision prepared for lookups) and errors.go.
package plans
