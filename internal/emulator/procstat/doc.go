// Package procstat reads what a process of this machine has used from /proc, as proc(5) describes it.
//
// It holds no state and imports nothing of the project. Its tests stand beside it and read their own process.
package procstat
