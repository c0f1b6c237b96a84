// Package coordinationsoak runs real control processes on loopback addresses for some time. Applications coordinate
// through them, and keep their connections open until a process has ended. Meanwhile overlapping series of faults send
// signals to processes, restart them, remove their disks and cut their links, some in one direction only. The package
// emulator/histories checks the answers that the applications got.
//
// Run owns the processes, their directories and all goroutines, and ends them before it returns. It signals no process
// that it did not start. The package imports emulator/histories and libraries, but not the packages of the programs.
//
// The test (soak_test.go) runs a short soak with one seed; `go test -run TestSoak -seeds 50 -span 40s` runs more.
package coordinationsoak
