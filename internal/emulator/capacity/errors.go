package capacity

import "fmt"

// MissingSeriesError reports that a run of the cost model lacks a series that Estimate needs.
type MissingSeriesError struct {
	Series string // name of the series, such as "store.route"
}

// Error returns a message that names the series.
func (ms *MissingSeriesError) Error() string {
	return fmt.Sprintf("the run has no series %q", ms.Series)
}
