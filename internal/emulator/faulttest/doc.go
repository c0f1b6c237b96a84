// Package faulttest runs fault tests: scenarios of faults on real processes of the built program. It starts ingresses
// on loopback, each with its own address. Relays forward what the ingresses send to each other and to the fakes, and
// inject faults for each pair and direction. As a scenario file says, the package also suspends, kills and upgrades
// processes, fills disks and restores folders. Finally it evaluates the expectations of the file.
//
// Read, Shipped and Parse make a Scenario of a file (scenario_file.go, parse_step.go); Play runs it (player.go) in an
// environment of relays and fakes (environment.go) and returns a Report.
//
// The package may import the emulator's faultnet, fakes and testcluster, the packages of an ingress that define the
// replies to its management calls and the files that it reads, the quota counter, and deploy/faulttests, which contains
// the scenarios that ship. Only the command fault-test and tests import it. Play owns all that it starts: processes,
// relays, fakes and goroutines have ended when it returns.
//
// Tests: those of the file format, the configuration, the evaluators and the report are in this package;
// cmd/mulleinrouter runs scenarios on processes (TestFaultTests).
package faulttest
