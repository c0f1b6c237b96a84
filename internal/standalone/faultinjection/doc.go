// Package faultinjection injects the faults of a fault test into the process under test: file operations that
// fail and a clock that runs faster or slower than others', as a file says. A process has it only if it was
// started by a fault test, with a flag that no help shows.
//
// It imports vfs and quorum, whose stores it wraps. Faults owns the goroutine that follows the file, which
// runs until the process ends. Plan is read as JSON that package emulator/faulttest writes. Tests:
// emulator/faulttest runs it in whole processes.
package faultinjection
