// Package costmodel measures what the roles of the system cost by the size of what they know: live heap in bytes,
// processor time of this process in seconds, bytes on the wire. Each measurement is taken at several sizes, a line is
// laid through all but one of them, and the one that was held back is predicted.
package costmodel

import (
	"bufio"
	"encoding/json"
	"io"
	"math"

	"github.com/pkg/errors"
)

// Point is what was measured at one size.
type Point struct {
	Size       float64 `json:"n"`
	Cost       float64 `json:"y"`               // in the unit of the series
	AllocBytes float64 `json:"alloc,omitempty"` // bytes allocated by one operation, where the unit is seconds
}

// Series is one cost by one size, and the line through it: Y = A + B*N, or A + B*log2(N) where Log is set.
type Series struct {
	Name            string    `json:"name"`
	Description     string    `json:"what"`
	Unit            string    `json:"unit"` // "B" or "s"
	SizeUnit        string    `json:"of"`   // what N counts
	Logarithmic     bool      `json:"log,omitempty"`
	Points          []Point   `json:"points"` // those of the fit
	Holdout         Point     `json:"held"`   // held back from it
	Intercept       float64   `json:"a"`
	Slope           float64   `json:"b"`
	AllocLine       Line      `json:"alloc,omitempty"` // the line of the bytes allocated, in N or log2(N) as the other
	Residuals       []float64 `json:"residuals"`       // of the points, each as a share of what was measured
	Predicted       float64   `json:"predicted"`       // at Held.N
	PredictionError float64   `json:"off"`             // of Predicted, as a share of Held.Y
}

// scaled is a size as the line takes it.
func (s *Series) scaled(n float64) float64 {
	if s.Logarithmic {
		return math.Log2(max(1, n))
	}
	return n
}

// At is the cost at a size, by the line, and the bytes allocated. Neither is below 0.
func (s *Series) At(n float64) (cost, alloc float64) {
	x := s.scaled(n)
	return max(0, s.Intercept+s.Slope*x), max(0, s.AllocLine.Intercept()+s.AllocLine.Slope()*x)
}

// Fit lays the line through the points and predicts the one held back. The sizes span orders of magnitude, so what is
// made least is the sum of squares of the errors as shares of what was measured: else the largest size alone would
// decide. Errors name what lacks: there must be three points at two sizes or more, and all that was measured must be
// finite and above 0.
func (s *Series) Fit() error {
	if len(s.Points) < 3 {
		return errors.Errorf("%s: %d points, three are needed", s.Name, len(s.Points))
	}
	for _, p := range append(s.Points[:len(s.Points):len(s.Points)], s.Holdout) {
		if !(p.Cost > 0) || math.IsInf(p.Cost, 0) || !(p.Size > 0) || math.IsInf(p.Size, 0) {
			return errors.Errorf("%s: %g at %g is no measurement", s.Name, p.Cost, p.Size)
		}
	}
	var ok bool
	if s.Intercept, s.Slope, ok = s.fitLine(func(p Point) float64 { return p.Cost }); !ok {
		return errors.Errorf("%s: all points are at one size", s.Name)
	}
	a, b, _ := s.fitLine(func(p Point) float64 { return p.AllocBytes })
	s.AllocLine = Line{a, b}
	s.Residuals = s.Residuals[:0]
	for _, p := range s.Points {
		s.Residuals = append(s.Residuals, (p.Cost-s.Intercept-s.Slope*s.scaled(p.Size))/p.Cost)
	}
	s.Predicted = s.Intercept + s.Slope*s.scaled(s.Holdout.Size)
	s.PredictionError = s.Predicted/s.Holdout.Cost - 1
	return nil
}

// fitLine is the least squares fitLine through one of the figures of the points, each weighed by the inverse square of its
// cost.
func (s *Series) fitLine(of func(Point) float64) (a, b float64, ok bool) {
	var w, wx, wy, wxx, wxy float64
	for _, p := range s.Points {
		x, y, weight := s.scaled(p.Size), of(p), 1/(p.Cost*p.Cost)
		w, wx, wy, wxx, wxy = w+weight, wx+weight*x, wy+weight*y, wxx+weight*x*x, wxy+weight*x*y
	}
	det := w*wxx - wx*wx
	if !(det > 1e-12*w*wxx) {
		return 0, 0, false
	}
	b = (w*wxy - wx*wy) / det
	return (wy - b*wx) / w, b, true
}

// MaxResidual is the largest residual, without its sign.
func (s *Series) MaxResidual() (worst float64) {
	for _, r := range s.Residuals {
		worst = max(worst, math.Abs(r))
	}
	return worst
}

// Run is where and when slopes were measured.
type Run struct {
	Date      string   `json:"date"`
	Go        string   `json:"go"`
	Processor string   `json:"processor"`
	Cores     int      `json:"cores"`
	Command   string   `json:"command"`
	Series    []Series `json:"-"`
}

// Find returns the series of a name; nil where there is none.
func (r *Run) Find(name string) *Series {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i]
		}
	}
	return nil
}

// Write writes a run as lines of JSON: the run first, then a line for each series.
func (r *Run) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	if err := e.Encode(r); err != nil {
		return errors.Wrap(err, "write the run")
	}
	for i := range r.Series {
		if err := e.Encode(&r.Series[i]); err != nil {
			return errors.Wrap(err, r.Series[i].Name)
		}
	}
	return errors.Wrap(b.Flush(), "write the slopes")
}

// Read reads what Write wrote, and lays the lines anew.
func Read(from io.Reader) (*Run, error) {
	d := json.NewDecoder(from)
	var r Run
	if err := d.Decode(&r); err != nil {
		return nil, errors.Wrap(err, "no run of slopes")
	}
	for {
		var s Series
		if err := d.Decode(&s); err == io.EOF {
			return &r, nil
		} else if err != nil {
			return nil, errors.Wrapf(err, "slope %d", len(r.Series)+1)
		}
		if err := s.Fit(); err != nil {
			return nil, err
		}
		r.Series = append(r.Series, s)
	}
}

// Line is the intercept and the slope of a straight line.
type Line [2]float64

// Intercept is the value at 0.
func (l Line) Intercept() float64 { return l[0] }

// Slope is the growth by 1.
func (l Line) Slope() float64 { return l[1] }
