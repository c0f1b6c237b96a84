// Package race tells tests whether they run under the race detector, which slows them down several times: a random
// walk then takes fewer steps, and a bound on time or memory is wider. It imports nothing; only tests import it.
package race
