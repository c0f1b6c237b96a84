// Package procstat reads the CPU time and peak memory of a local process from /proc, in the format of proc(5).
//
// It keeps no state and imports no other package of this project. Its tests (procstat_test.go) parse sample
// statistics, and read those of the test process.
package procstat
