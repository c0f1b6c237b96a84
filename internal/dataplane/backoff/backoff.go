// Package backoff decides how long an ingress waits before it asks again a service that the whole fleet shares. It does
// no I/O and reads no clock.
//
// What breaks for one ingress breaks for all at the same moment: a shared service restarts, a release kills most of them.
// Asked again by all after the same short time, a service that takes calls in turn is kept so full that each call waits
// until it is given up, and none is answered however long this goes on (herd+vast: 360 calls a second, 4 answers in 28 s).
// So each waits for an even chance within a window, and the window is as long as the service needs for all of them, by
// the number that the settings tell. It doubles with each failure, for how much the service bears is not told.
package backoff

import "mulleinrouter/internal/decision"

const (
	least   = 0.2  // s: window of a small fleet
	each    = 0.1  // s for each ingress: ten calls a second over the fleet
	longest = 30.0 // s of the first window: a number of ingresses that cannot be true must not silence one for hours
	most    = 4.0  // times the first window: later, news would be too old to be of use
)

// Window is that of one ingress for one service. It begins with New.
type Window struct{ first, now decision.Seconds }

// New returns the window of one ingress among fleet.
func New(fleet int) *Window {
	first := window(fleet)
	return &Window{first: first, now: first}
}

func window(fleet int) decision.Seconds { return min(longest, max(least, float64(fleet)*each)) }

// Resize goes by another number of ingresses: those that live. What it has doubled to stays so.
func (w *Window) Resize(fleet int) {
	first := window(fleet)
	w.first, w.now = first, w.now*first/w.first
}

// Failed tells how long to wait after a call that failed, or a break. Chance is even in [0, 1), from the ingress's seed.
func (w *Window) Failed(chance float64) decision.Seconds {
	wait := chance * w.now
	w.now = min(2*w.now, most*w.first)
	return wait
}

// Now is how long the window is, in seconds.
func (w *Window) Now() decision.Seconds { return w.now }

// Worked tells that a call was answered: the next failure is the first again.
func (w *Window) Worked() { w.now = w.first }
