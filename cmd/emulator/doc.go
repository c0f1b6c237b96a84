// Command emulator measures and tests the system without a deployment. slopes measures the cost of each role as a
// function of size, plan estimates from these costs what a planned size needs, days writes random scenarios of a day
// with faults for the bench, and try runs the three programs on this host under faults and checks the invariants.
//
// Each subcommand has its own file and only calls packages below internal/emulator: costmodel, capacity, scenario and
// loopback. The errors that determine the exit code are in errors.go. The command keeps no state. main_test.go covers
// the exit codes; the tests of those packages cover the rest.
package main
