package backoff

import "mulleinrouter/internal/decision"

const (
	minWindow     decision.Seconds = 0.2 // of a small fleet
	windowPerNode decision.Seconds = 0.1 // for each ingress: ten calls a second over the fleet
	// Of the first window: a wrong fleet size must not silence an ingress for hours.
	maxFirst decision.Seconds = 30.0
	// Times the first window: later, an update would be too old to be of use.
	maxGrowth = 4.0
)

// Window is the backoff window of one ingress for one service. New makes it.
type Window struct{ first, now decision.Seconds }

// New returns the window of one ingress in a fleet of the given size.
func New(fleetSize int) *Window {
	first := firstWindow(fleetSize)
	return &Window{first: first, now: first}
}

func firstWindow(fleetSize int) decision.Seconds {
	return min(maxFirst, max(minWindow, float64(fleetSize)*windowPerNode))
}

// Resize adapts the window to another fleet size. What it has doubled stays doubled.
func (w *Window) Resize(fleetSize int) {
	first := firstWindow(fleetSize)
	w.now = w.now * first / w.first
	w.first = first
}

// Failed returns how long to wait after a call that failed, and doubles the window up to its limit. Random is
// evenly distributed in [0, 1), from the ingress's seed.
func (w *Window) Failed(random float64) decision.Seconds {
	wait := random * w.now
	w.now = min(2*w.now, maxGrowth*w.first)
	return wait
}

// Now is how long the window is.
func (w *Window) Now() decision.Seconds { return w.now }

// Worked resets the window after a call that was answered: the next failure is the first again.
func (w *Window) Worked() { w.now = w.first }
