package capacity

import "mulleinrouter/internal/emulator/costmodel"

// estimator collects the requirements of a plan at one size. It looks up costs by the names of their series, and
// records the first error, so that callers need not check each look-up.
type estimator struct {
	*Plan
	run          *costmodel.Run
	requirements []Requirement
	err          error // the first error, a MissingSeriesError
}

// series returns the series with a name. If the run has none, it records the error and returns a series without costs.
func (e *estimator) series(name string) *costmodel.Series {
	if s := e.run.Find(name); s != nil {
		return s
	}
	if e.err == nil {
		e.err = &MissingSeriesError{Series: name}
	}
	return new(costmodel.Series)
}

// unitCost returns the cost of one more item, which is the slope of the series.
func (e *estimator) unitCost(name string) float64 { return e.series(name).Slope }

// costAt returns the cost of an operation at a size.
func (e *estimator) costAt(name string, size float64) float64 {
	cost, _ := e.series(name).At(size)
	return cost
}

// require adds a requirement, and returns it.
func (e *estimator) require(role Role, description string, unit Unit, limit float64, terms []Term) Requirement {
	r := newRequirement(role, description, unit, limit, terms)
	e.requirements = append(e.requirements, r)
	return r
}

// newDemand returns a demand without terms.
func (e *estimator) newDemand() *demand { return &demand{estimator: e} }

// counterCallBytes returns the bytes of a call to a counter and of its answer: the number in the plan, or the measured
// one if the plan has none.
func (e *estimator) counterCallBytes() float64 {
	if planned := e.Counters.CallBytes; planned != 0 {
		return planned
	}
	return e.unitCost("wire.count")
}
