// Package upstream sends attempts to backends and reports how each ended. Pool keeps the connections; it never sends a
// request again by itself, except where an idle connection proves to be lost before the request was written completely.
//
// It imports http1, traffic and upstreamconn, whose state machine says what the end of an attempt proves, and
// decision for the outcomes. A connection belongs to the goroutine that acquired it from the pool; the pool's mutex
// guards the idle ones. Its tests are here: exchanges with scripted servers under testdata, and tests of the time
// limits.
package upstream
