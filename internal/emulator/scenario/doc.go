// Package scenario draws the scenarios of days with faults for the operators' bench: which kinds of fault occur and
// when, and in which of the variants that the bench knows (`fleetbench kinds`), while the configuration changes. Draw
// draws faults of the control nodes. DrawAny draws faults of servers, edge machines and callers, and rarer faults of
// the control nodes. A seed always draws the same day.
//
// The package does no I/O and imports nothing of this module; cmd/emulator writes the files. It has no state. The
// order in which values are drawn from the random source must not change, because it determines the day that a seed
// draws. The tests are in this package.
package scenario
