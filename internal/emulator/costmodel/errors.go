package costmodel

// FitError reports that no line can be fitted to a series.
type FitError struct {
	Series  string // name of the series
	Problem string // reason why no line can be fitted
}

// Error returns "series: problem".
func (fe *FitError) Error() string { return fe.Series + ": " + fe.Problem }
