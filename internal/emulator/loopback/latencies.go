package loopback

import (
	"math"
	"slices"
	"sync"
)

// latencies collects durations in seconds. It is safe for concurrent use.
type latencies struct {
	mu     sync.Mutex // guards values
	values []float64
}

func (l *latencies) add(v float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = append(l.values, v)
}

// quantile returns the quantile of a list for a fraction, for example the median for 0.5. It returns NaN for an empty
// list.
func quantile(list []float64, fraction float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
