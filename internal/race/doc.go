// Package race reports to tests whether they run under the race detector, which slows them down several times. Under it
// a random walk takes fewer steps, and a bound on time or memory is wider. The package imports nothing, and only tests
// import it.
package race
