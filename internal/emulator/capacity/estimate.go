package capacity

import (
	"math"

	"mulleinrouter/internal/emulator/costmodel"
)

// Estimate computes the requirements at the planned size, and for each up to which part of that size its limit is kept.
// The error is a MissingSeriesError where the run lacks a series.
func (p *Plan) Estimate(run *costmodel.Run) (*Report, error) {
	requirements, err := p.requirements(run)
	if err != nil {
		return nil, err
	}
	for n := range requirements {
		requirements[n].MaxScale = maxScale(func(scale float64) bool {
			scaled, _ := p.scaledBy(scale).requirements(run) // no error: the names of the series are the same
			return scaled[n].exceeds()
		})
	}
	return &Report{Plan: p, Run: run, Requirements: requirements}, nil
}

// requirements returns the requirements at the planned size, always in the same order, without their MaxScale.
func (p *Plan) requirements(run *costmodel.Run) ([]Requirement, error) {
	e := &estimator{Plan: p, run: run}
	e.ingressRequirements()
	e.controlRequirements()
	e.latencyRequirements()
	return e.requirements, e.err
}

// The range of scales, as parts of the planned size, in which maxScale searches.
const (
	minSearchedScale = 1e-5
	maxSearchedScale = 1e3
)

// bisections narrows the range, in its logarithm, by a factor of 2^40.
const bisections = 40

// maxScale returns the largest part of the planned size at which exceeds is false, for needs that only grow with the
// size: 0 where it is true at any, infinity where at none.
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
