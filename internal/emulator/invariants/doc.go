// Package invariants checks a recorded run of the system against the invariants of the operators' RULES.md. It uses
// only what clients, servers and the operator observed on their sockets, and plain exhaustive search rather than
// incremental algorithms.
//
//   - log.go: Log, the record of a run, and its entries;
//   - check.go: Check, which runs all checks; the names of the rules;
//   - requests.go: TWICE, REFUSED, MIXED, UNASKED;
//   - handling.go, selection.go: ROUTE and CONFIG by how requests were handled, with the search for configurations
//     that allow it;
//   - configuration.go: CONFIG and LOST by what was read back at the end of the run; the versions of an item;
//   - departures.go: DRAIN; LOST after SIGTERM;
//   - rates.go: BUDGET and QUOTA;
//   - denied.go: DENIED;
//   - contact.go: CONTACT; which machines were in contact with the control nodes, and when.
//
// The package does no I/O, reads no clock and starts no goroutine. It imports the bounds of package cluster/settings
// and shares no other code with the system that it checks. Check owns its state for the duration of a call and does
// not modify the Log. The tests violate each invariant in turn in the log of a correct run.
package invariants
