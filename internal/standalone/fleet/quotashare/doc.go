// Package quotashare is the state machine by which the ingresses of a fleet divide the quotas of customers among
// themselves while the shared quota counter can't be trusted. The division bounds the quota that a partitioned part of
// the fleet can use. The package has three tasks:
//
//   - Quota grants under leases (grants.go, lending.go). Each gateway of a customer owns an even share of its quota,
//     and lends the part that it doesn't use to gateways that need more. A lender stops using a loan in the tick in
//     which it offers it, and the borrower's lease ends, by the borrower's own clock, before the lender reclaims the
//     loan. So the grants of all gateways of a customer never sum to more than its quota.
//   - The health of the counter (counterhealth.go), derived from its answers and from the amounts that other gateways
//     report to have added.
//   - Votes against servers (votes.go). The votes of other ingresses can make an ingress avoid a server, but never make
//     it use a server that it finds unhealthy itself.
//
// The package does no I/O, reads no clock and starts no goroutine: Allocator.Step takes an event and the time
// and returns actions. Times are seconds of the host's monotonic clock, whose rate differs from real
// time by at most MaxClockDrift. It imports the decision module for grants, package membership for incarnations, and
// internal/mutants. quotasync.Service owns its state, which is not stored. Messages are sent between
// processes as CBOR with numbered keys, and the status is reported as JSON, so their tags must not change.
//
// The tests simulate a fleet with a counter and a faulty network (simulation_test.go); mutants_test.go seeds faults
// into the code that they must find. Whole processes are tested in emulator/faulttest.
package quotashare
