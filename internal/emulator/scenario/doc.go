// Package scenario draws the scenarios of days with faults for the operators' bench: which kinds of fault occur when,
// in which of the variants that the bench knows (`fleetbench kinds`), while the configuration changes. Draw draws
// faults of the control nodes; DrawAny draws from all kinds. A seed always draws the same day.
//
// The package does no I/O and imports nothing of this module; cmd/emulator writes the files. It has no state. The
// order in which values are drawn from the random source is part of what a seed means: it must not change. The tests
// are here.
package scenario
