package httpapi

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"mulleinrouter/internal/cluster/metrics"
)

// CallCounts counts answered calls by the class of their status. The index is the hundreds digit of the status.
type CallCounts [6]atomic.Int64

func (c *CallCounts) add(status int) {
	if class := status / 100; class > 0 && class < len(c) {
		c[class].Add(1)
	}
}

// Samples returns the counts, labelled "2xx" to "5xx".
func (c *CallCounts) Samples() []metrics.Sample {
	var samples []metrics.Sample
	for class := http.StatusOK / 100; class < len(c); class++ {
		samples = append(samples, metrics.Sample{Label: strconv.Itoa(class) + "xx", Value: float64(c[class].Load())})
	}
	return samples
}
