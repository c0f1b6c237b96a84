package loopback

import (
	"math"
	"slices"
	"sync"
)

// latencies collects times in seconds, from all goroutines.
type latencies struct {
	mu     sync.Mutex // guards values
	values []float64
}

func (l *latencies) add(v float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = append(l.values, v)
}

// quantile returns the value that this part of a list is at or below; NaN for an empty list.
func quantile(list []float64, of float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(of*float64(len(sorted))))]
}
