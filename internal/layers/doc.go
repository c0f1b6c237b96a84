// Package layers holds tests of the project's structure: which packages may import which, and which are free of I/O,
// clock and goroutines.
package layers
