package costmodel

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

// checkNear reports an error unless two numbers differ by less than a tolerance.
func checkNear(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	if !(math.Abs(got-want) < tolerance) {
		t.Errorf("%s: got %g, want %g within %g", name, got, want, tolerance)
	}
}

// relativeErrors returns the sum of the squares of the relative errors of a line.
func relativeErrors(s *Series, intercept, slope float64) float64 {
	sum := 0.0
	for _, p := range s.Points {
		x := p.Size
		if s.Logarithmic {
			x = math.Log2(p.Size)
		}
		relative := (p.Cost - intercept - slope*x) / p.Cost
		sum += relative * relative
	}
	return sum
}

// modelFit is a reference implementation of the fit. It searches for the minimum of the sum of squares in ever smaller
// steps.
func modelFit(s *Series) (intercept, slope float64) {
	intercept, slope = s.Points[0].Cost, 0
	for step := 1.0; step > 1e-13; step *= 0.7 {
		moves := [][2]float64{
			{step * s.Points[0].Cost, 0},
			{-step * s.Points[0].Cost, 0},
			{0, step},
			{0, -step},
			{step, -step},
			{-step, step},
		}
		for better := true; better; {
			better = false
			for _, move := range moves {
				moved := relativeErrors(s, intercept+move[0], slope+move[1])
				if moved < relativeErrors(s, intercept, slope) {
					intercept, slope, better = intercept+move[0], slope+move[1], true
				}
			}
		}
	}
	return intercept, slope
}

func TestFitAgainstModel(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 9))
	for round := range 30 {
		s := &Series{Name: "s", Logarithmic: round%2 == 1, Holdout: Point{Size: 40, Cost: 100}}
		intercept, slope := 5+10*random.Float64(), random.Float64()
		for _, size := range []float64{2, 5, 9, 17, 30} {
			noise := 1 + 0.2*(random.Float64()-0.5)
			s.Points = append(s.Points, Point{Size: size, Cost: (intercept + slope*s.scaled(size)) * noise})
		}
		if err := s.Fit(); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		wantIntercept, wantSlope := modelFit(s)
		checkNear(t, "intercept", s.Intercept, wantIntercept, 1e-3)
		checkNear(t, "slope", s.Slope, wantSlope, 1e-3)
		for n, p := range s.Points {
			checkNear(t, "residual", s.Intercept+s.Slope*s.scaled(p.Size), p.Cost*(1-s.Residuals[n]), 1e-9)
		}
		checkNear(t, "prediction", s.Predicted, 100*(1+s.PredictionError), 1e-9)
	}
}

func TestFitOfAnExactLinePredicts(t *testing.T) {
	s := &Series{
		Points: []Point{
			{Size: 10, Cost: 25, AllocBytes: 7},
			{Size: 100, Cost: 205, AllocBytes: 7},
			{Size: 1e6, Cost: 2000005, AllocBytes: 7},
		},
		Holdout: Point{Size: 1e7, Cost: 20000005},
	}
	if err := s.Fit(); err != nil {
		t.Fatal(err)
	}
	checkNear(t, "intercept", s.Intercept, 5, 1e-6)
	checkNear(t, "slope", s.Slope, 2, 1e-9)
	checkNear(t, "prediction error", s.PredictionError, 0, 1e-9)
	checkNear(t, "largest residual", s.MaxResidual(), 0, 1e-9)
	cost, allocBytes := s.At(1000)
	checkNear(t, "cost at 1000", cost, 2005, 1e-3)
	checkNear(t, "bytes allocated at 1000", allocBytes, 7, 1e-6)
}

func TestFitRejectsInvalidPoints(t *testing.T) {
	valid := Point{Size: 9, Cost: 9}
	for _, c := range []struct {
		name    string
		points  []Point
		holdout Point
	}{
		{"too few", []Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 2}}, valid},
		{"one size", []Point{{Size: 5, Cost: 1}, {Size: 5, Cost: 2}, {Size: 5, Cost: 3}}, valid},
		{"cost of 0", []Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 0}, {Size: 3, Cost: 3}}, valid},
		{"cost is no number", []Point{{Size: 1, Cost: 1}, {Size: 2, Cost: math.NaN()}, {Size: 3, Cost: 3}}, valid},
		{"no holdout", []Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 2}, {Size: 3, Cost: 3}}, Point{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Series{Name: c.name, Points: c.points, Holdout: c.holdout}
			err := s.Fit()
			var fitError *FitError
			if !errors.As(err, &fitError) || fitError.Series != c.name {
				t.Errorf("got %v, want a FitError of %q", err, c.name)
			}
		})
	}
}
