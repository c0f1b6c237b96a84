// Command emulator measures and tests the system without a deployment: slopes measures what each role costs by size,
// plan estimates from that what a planned size needs, days draws days of faults for the bench, and try runs the three
// programs on this host under faults and checks the invariants.
//
// Each subcommand has a file of its own and only wires packages below internal/emulator: costmodel, capacity, scenario
// and loopback. The errors that decide the exit code are in errors.go. Nothing here keeps state. The test beside it
// covers the exit codes, those of the packages the rest.
package main
