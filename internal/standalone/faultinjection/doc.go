// Package faultinjection injects the faults of a fault test into the process under test. A file specifies them: file
// operations that fail, and a clock that runs faster or slower than those of other processes. Only a fault test uses
// it, by a flag that the help does not show.
//
// It may import vfs and quorum, whose stores it wraps, and jsontext. Faults owns the goroutine that rereads the file,
// which runs until the process ends. Package emulator/faulttest writes the file, a Plan in JSON, and tests this package
// in whole processes.
package faultinjection
