// Package quotashare is the state machine by which the ingresses of a fleet divide the quotas of customers among
// themselves while the shared quota counter can't be trusted, such that a part of a fleet that is cut off stays within
// a stated bound. It has three concerns:
//
//   - Quota grants under leases (grants.go, lending.go). Each gateway of a customer owns an even share of its quota,
//     and lends what it doesn't use to gateways that need more. A lender stops using what it lends before it offers
//     it, and the borrower's lease ends by the borrower's own clock before the lender reclaims it. So the grants of
//     all gateways of a customer never sum to more than its quota.
//   - The health of the counter (counterhealth.go), concluded from its answers and from what other gateways report to
//     have added.
//   - Verdicts on servers (votes.go): other ingresses' votes make an ingress more careful, never less.
//
// The package does no I/O, reads no clock and starts no goroutine: Allocator.Step takes an event and the time
// and returns actions. Times are seconds of the host's monotonic clock, whose rates differ by at most
// MaxClockDrift. It imports the decision module for grants, package membership for incarnations, and
// internal/mutants. Its state belongs to quotasync.Service and is not stored. Messages travel between
// processes as CBOR with numbered keys, the status as JSON: their tags must not change.
//
// Tests: a simulation of a fleet with a counter and a faulty network (simulation_test.go), with faults seeded into the
// code by mutants_test.go; whole processes in emulator/faulttest.
package quotashare
