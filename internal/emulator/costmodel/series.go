package costmodel

import (
	"fmt"
	"math"
)

// Units of a Series.
const (
	Bytes   = "B"
	Seconds = "s"
)

// Point is what was measured at one size.
type Point struct {
	Size       float64 `json:"n"`               // in the SizeUnit of the series
	Cost       float64 `json:"y"`               // in the Unit of the series
	AllocBytes float64 `json:"alloc,omitempty"` // allocated by one operation, where the unit is Seconds
}

// Line is the intercept and the slope of a straight line.
type Line [2]float64

// Intercept is the value at 0.
func (l Line) Intercept() float64 { return l[0] }

// Slope is the growth by 1.
func (l Line) Slope() float64 { return l[1] }

// at is the value at a size, not below 0.
func (l Line) at(scaledSize float64) float64 { return max(0, l.Intercept()+l.Slope()*scaledSize) }

// Series is one cost by one size, and the line through it: Intercept + Slope*size, or Intercept + Slope*log2(size)
// where Logarithmic is set.
type Series struct {
	Name        string  `json:"name"`
	Description string  `json:"what"`
	Unit        string  `json:"unit"` // Bytes or Seconds
	SizeUnit    string  `json:"of"`   // what sizes count, as "servers"
	Logarithmic bool    `json:"log,omitempty"`
	Points      []Point `json:"points"` // those of the fit
	Holdout     Point   `json:"held"`   // left out of the fit, to be predicted
	Intercept   float64 `json:"a"`
	Slope       float64 `json:"b"`
	AllocLine   Line    `json:"alloc,omitempty"` // of AllocBytes, by the same size
	// Residuals are those of the points, each as a share of the cost measured.
	Residuals       []float64 `json:"residuals"`
	Predicted       float64   `json:"predicted"` // cost at the size of Holdout
	PredictionError float64   `json:"off"`       // of Predicted, as a share of the cost of Holdout
}

// scaled returns a size as the line takes it.
func (s *Series) scaled(size float64) float64 {
	if s.Logarithmic {
		return math.Log2(max(1, size))
	}
	return size
}

// line returns the line of the costs.
func (s *Series) line() Line { return Line{s.Intercept, s.Slope} }

// At returns the cost at a size and the bytes allocated, by the lines. Neither is below 0.
func (s *Series) At(size float64) (cost, allocBytes float64) {
	scaled := s.scaled(size)
	return s.line().at(scaled), s.AllocLine.at(scaled)
}

// minPoints is how many points a line is fitted to at least.
const minPoints = 3

// Fit fits the line to the points and predicts the holdout. Sizes span orders of magnitude, so the fit minimizes the
// sum of squares of the relative errors; the absolute ones would leave the decision to the largest size. The error is a
// FitError where there are fewer than three points, or all at one size, or where a size or a cost is not above 0 and
// finite.
func (s *Series) Fit() error {
	if err := s.checkPoints(); err != nil {
		return err
	}
	costs, ok := s.fitLine(func(p Point) float64 { return p.Cost })
	if !ok {
		return &FitError{Series: s.Name, Problem: "all points are at one size"}
	}
	s.Intercept, s.Slope = costs.Intercept(), costs.Slope()
	s.AllocLine, _ = s.fitLine(func(p Point) float64 { return p.AllocBytes })
	s.Residuals = s.Residuals[:0]
	for _, p := range s.Points {
		residual := p.Cost - s.Intercept - s.Slope*s.scaled(p.Size)
		s.Residuals = append(s.Residuals, residual/p.Cost)
	}
	s.Predicted = s.Intercept + s.Slope*s.scaled(s.Holdout.Size)
	s.PredictionError = s.Predicted/s.Holdout.Cost - 1
	return nil
}

func (s *Series) checkPoints() error {
	if len(s.Points) < minPoints {
		return &FitError{Series: s.Name, Problem: fmt.Sprintf("%d points, three are needed", len(s.Points))}
	}
	for _, p := range s.Points {
		if err := s.checkPoint(p); err != nil {
			return err
		}
	}
	return s.checkPoint(s.Holdout)
}

func (s *Series) checkPoint(p Point) error {
	if positive(p.Size) && positive(p.Cost) {
		return nil
	}
	return &FitError{Series: s.Name, Problem: fmt.Sprintf("%g at %g is no measurement", p.Cost, p.Size)}
}

// positive tells whether a number is above 0 and finite. NaN is not.
func positive(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

// singular is the part of the product of its terms below which the determinant of a fit counts as 0.
const singular = 1e-12

// fitLine returns the least squares line through one of the values of the points, each weighted by the inverse square
// of its cost. It is not ok where all points are at one size.
func (s *Series) fitLine(value func(Point) float64) (line Line, ok bool) {
	var w, wx, wy, wxx, wxy float64 // sums of weight, weight*x, ...
	for _, p := range s.Points {
		x, y, weight := s.scaled(p.Size), value(p), 1/(p.Cost*p.Cost)
		w += weight
		wx += weight * x
		wy += weight * y
		wxx += weight * x * x
		wxy += weight * x * y
	}
	determinant := w*wxx - wx*wx
	if !(determinant > singular*w*wxx) {
		return Line{}, false
	}
	slope := (w*wxy - wx*wy) / determinant
	return Line{(wy - slope*wx) / w, slope}, true
}

// MaxResidual returns the largest residual, without its sign.
func (s *Series) MaxResidual() float64 {
	largest := 0.0
	for _, r := range s.Residuals {
		largest = max(largest, math.Abs(r))
	}
	return largest
}
