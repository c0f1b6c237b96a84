package backoff

import "mulleinrouter/internal/decision"

const (
	minWindow     decision.Seconds = 0.2 // seconds; initial window of a small fleet
	windowPerNode decision.Seconds = 0.1 // seconds for each ingress, so that the fleet makes ten calls a second
	// maxInitialWindow, in seconds, bounds the initial window, because with a wrong fleet size an ingress could
	// otherwise stay without the service for hours.
	maxInitialWindow decision.Seconds = 30.0
	// maxGrowthFactor bounds the window, as a multiple of the initial window, because after a longer wait an update
	// would be too old to be of use.
	maxGrowthFactor = 4.0
)

// Window is the backoff window of an ingress for a service. New creates it.
type Window struct{ initial, current decision.Seconds }

// New returns the window of an ingress in a fleet of the given size.
func New(fleetSize int) *Window {
	initial := initialWindow(fleetSize)
	return &Window{initial: initial, current: initial}
}

func initialWindow(fleetSize int) decision.Seconds {
	return min(maxInitialWindow, max(minWindow, float64(fleetSize)*windowPerNode))
}

// Resize adapts the window to another fleet size. The growth by earlier failures is kept.
func (w *Window) Resize(fleetSize int) {
	initial := initialWindow(fleetSize)
	w.current = w.current * initial / w.initial
	w.initial = initial
}

// Failed returns how long to wait after a failed call, in seconds, and doubles the window up to its limit. random is
// evenly distributed in [0, 1) and derived from the ingress's seed.
func (w *Window) Failed(random float64) decision.Seconds {
	wait := random * w.current
	w.current = min(2*w.current, maxGrowthFactor*w.initial)
	return wait
}

// Length returns the current length of the window, in seconds.
func (w *Window) Length() decision.Seconds { return w.current }

// Succeeded resets the window to its initial length after a call that was answered.
func (w *Window) Succeeded() { w.current = w.initial }
