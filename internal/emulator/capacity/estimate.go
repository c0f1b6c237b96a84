package capacity

import (
	"math"

	"mulleinrouter/internal/emulator/costmodel"
)

// Estimate computes the requirements at the planned size, and for each the largest part of that size at which its limit
// is kept. It returns a MissingSeriesError if the run lacks a series.
func (p *Plan) Estimate(run *costmodel.Run) (*Report, error) {
	requirements, err := p.requirements(run)
	if err != nil {
		return nil, err
	}
	for n := range requirements {
		requirements[n].MaxScale = maxScale(func(scale float64) bool {
			scaled, _ := p.scaledBy(scale).requirements(run) // cannot fail, because it needs the same series as above
			return scaled[n].exceeds()
		})
	}
	return &Report{Plan: p, Run: run, Requirements: requirements}, nil
}

// requirements returns the requirements at the planned size, always in the same order. MaxScale is not set.
func (p *Plan) requirements(run *costmodel.Run) ([]Requirement, error) {
	e := &estimator{Plan: p, run: run}
	e.ingressRequirements()
	e.controlRequirements()
	e.latencyRequirements()
	return e.requirements, e.err
}

// The bounds of the scales that maxScale searches, as parts of the planned size.
const (
	minSearchedScale = 1e-5
	maxSearchedScale = 1e3
)

// bisections is the number of steps of the search. They narrow the logarithmic range by a factor of 2^40.
const bisections = 40

// maxScale returns the largest part of the planned size at which exceeds is false. If exceeds is true at a size, it
// must be true at every larger size. maxScale returns 0 if exceeds is true at every size of the range, and infinity if
// it is true at none.
func maxScale(exceeds func(scale float64) bool) float64 {
	if exceeds(minSearchedScale) {
		return 0
	}
	if !exceeds(maxSearchedScale) {
		return math.Inf(1)
	}
	low, high := math.Log(minSearchedScale), math.Log(maxSearchedScale)
	for range bisections {
		middle := (low + high) / 2
		if exceeds(math.Exp(middle)) {
			high = middle
		} else {
			low = middle
		}
	}
	return math.Exp(low)
}
