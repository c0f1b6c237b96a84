// Package upstream sends attempts to backends and reports how each of them ended. Pool keeps the connections. It does
// not send a request a second time, with one exception: if an idle connection turns out to be lost before the request
// was written completely, the request is sent over another connection.
//
// The package imports http1, traffic, upstreamconn and decision. The state machine of upstreamconn determines what the
// end of an attempt proves; decision defines the outcomes. A connection belongs to the goroutine that acquired it from
// the pool; the pool's mutex guards the idle connections. The tests of the package play the exchanges with scripted
// servers under testdata, and test the time limits.
package upstream
