package costmodel

import (
	"fmt"
	"math"
)

// Units of the costs of a Series.
const (
	Bytes   = "B"
	Seconds = "s"
)

// Point is the measurement at one size.
type Point struct {
	Size       float64 `json:"n"`               // in the SizeUnit of the series
	Cost       float64 `json:"y"`               // in the Unit of the series
	AllocBytes float64 `json:"alloc,omitempty"` // bytes allocated by one operation, if the unit is Seconds
}

// Line is the intercept and the slope of a straight line.
type Line [2]float64

// Intercept returns the value at 0.
func (l Line) Intercept() float64 { return l[0] }

// Slope returns the growth of the value for each unit of size.
func (l Line) Slope() float64 { return l[1] }

// at returns the value at a size as Series.scaled returns it. It is never below 0.
func (l Line) at(scaledSize float64) float64 { return max(0, l.Intercept()+l.Slope()*scaledSize) }

// Series is one cost as a function of one size, and the line fitted to it: Intercept + Slope*size, or
// Intercept + Slope*log2(size) if Logarithmic is set.
type Series struct {
	Name        string  `json:"name"`
	Description string  `json:"what"`
	Unit        string  `json:"unit"` // Bytes or Seconds
	SizeUnit    string  `json:"of"`   // unit of the sizes, such as "servers"
	Logarithmic bool    `json:"log,omitempty"`
	Points      []Point `json:"points"` // points that the line is fitted to
	Holdout     Point   `json:"held"`   // point that is not part of the fit, but is predicted by it
	Intercept   float64 `json:"a"`
	Slope       float64 `json:"b"`
	AllocLine   Line    `json:"alloc,omitempty"` // line fitted to AllocBytes, by the same size
	// Residuals lists the residuals of Points, each as a share of the measured cost.
	Residuals       []float64 `json:"residuals"`
	Predicted       float64   `json:"predicted"` // predicted cost at the size of Holdout
	PredictionError float64   `json:"off"`       // error of Predicted, as a share of the cost of Holdout
}

// scaled returns the size to which the line applies: the size itself, or its binary logarithm if Logarithmic is set.
func (s *Series) scaled(size float64) float64 {
	if s.Logarithmic {
		return math.Log2(max(1, size))
	}
	return size
}

// line returns the line fitted to the costs.
func (s *Series) line() Line { return Line{s.Intercept, s.Slope} }

// At returns the cost and the allocated bytes that the lines predict at a size. Neither is below 0.
func (s *Series) At(size float64) (cost, allocBytes float64) {
	scaled := s.scaled(size)
	return s.line().at(scaled), s.AllocLine.at(scaled)
}

// minPoints is the minimum number of points that a line is fitted to. Two points would always be on the line, so that
// the residuals would show no error.
const minPoints = 3

// Fit fits the line to the points and predicts the holdout. Sizes span orders of magnitude, so the fit minimizes the
// sum of the squares of the relative errors; with absolute errors the largest size would determine the line. It returns
// a FitError if there are fewer than three points, if all points are at one size, or if a size or a cost is not above 0
// and finite.
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
		return &FitError{Series: s.Name, Problem: fmt.Sprintf("got %d points, need at least 3", len(s.Points))}
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
	return &FitError{
		Series:  s.Name,
		Problem: fmt.Sprintf("got cost %g at size %g, need both above 0 and finite", p.Cost, p.Size),
	}
}

// positive reports whether a number is above 0 and finite. It returns false for NaN.
func positive(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

// singularTolerance is the ratio of the determinant of a fit to its first term below which the determinant counts as 0:
// all points are then at one size, up to rounding errors.
const singularTolerance = 1e-12

// fitLine returns the least squares line through one value of the points, each weighted by the inverse square of its
// cost. ok is false if all points are at one size.
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
	if !(determinant > singularTolerance*w*wxx) {
		return Line{}, false
	}
	slope := (w*wxy - wx*wy) / determinant
	return Line{(wy - slope*wx) / w, slope}, true
}

// MaxResidual returns the largest absolute value of the residuals.
func (s *Series) MaxResidual() float64 {
	largest := 0.0
	for _, r := range s.Residuals {
		largest = max(largest, math.Abs(r))
	}
	return largest
}
