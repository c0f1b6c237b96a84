// Package plans decides which plan each member is on, and with what figures, while ingresses serve: revisions of a
// catalogue, the time from which each takes effect, and allowance that is booked ahead.
//
// It is a pure state machine: no I/O, no clock, no goroutines. The caller offers revisions as it receives them,
// asks for the terms of a member at a time, and learns from Due whose terms have changed. Times are Unix seconds on
// the clock that ingresses share. Equal revisions give equal terms at all ingresses, whatever the order in which
// they were received.
//
// It may import the decision module, for plans and terms, and nothing else of this repository. The caller owns a
// State and guards it. Package catalogue reads and writes revisions as files; node applies them.
//
// The files: revision.go (types and digest), validate.go, capacity.go (bookings against the bookable rate),
// diff.go, state.go (which revision is in force), compiled.go (a revision prepared for lookups), errors.go. Tests
// are beside them.
package plans
