package costmodel

// FitError is returned where no line can be fitted to a series.
type FitError struct {
	Series  string // its name
	Problem string // what its points lack
}

// Error returns "series: problem".
func (fe *FitError) Error() string { return fe.Series + ": " + fe.Problem }
