package capacity

import "fmt"

// MissingSeriesError is returned by Estimate where a run of the cost model lacks a series that the plan needs.
type MissingSeriesError struct {
	Series string // its name, as "store.route"
}

// Error names the series.
func (ms *MissingSeriesError) Error() string {
	return fmt.Sprintf("the run has no slope %q", ms.Series)
}
