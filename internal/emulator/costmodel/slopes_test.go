package costmodel

import (
	"bytes"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A plain model of the fit: the least of the sum of squares of relative errors is looked for by ever smaller steps.
func plainFit(s *Series) (a, b float64) {
	sum := func(a, b float64) (sum float64) {
		for _, p := range s.Points {
			x := p.Size
			if s.Logarithmic {
				x = math.Log2(p.Size)
			}
			off := (p.Cost - a - b*x) / p.Cost
			sum += off * off
		}
		return sum
	}
	a, b = s.Points[0].Cost, 0
	for step := 1.0; step > 1e-13; step *= 0.7 {
		for better := true; better; {
			better = false
			for _, to := range [][2]float64{{step * s.Points[0].Cost, 0}, {-step * s.Points[0].Cost, 0}, {0, step}, {0, -step},
				{step, -step}, {-step, step}} {
				if sum(a+to[0], b+to[1]) < sum(a, b) {
					a, b, better = a+to[0], b+to[1], true
				}
			}
		}
	}
	return a, b
}

func TestFitAgainstPlain(t *testing.T) {
	is := is.New(t)
	noise := rand.New(rand.NewPCG(1, 9))
	for round := range 30 {
		s := &Series{Name: "s", Logarithmic: round%2 == 1, Holdout: Point{Size: 40, Cost: 100}}
		a, b := 5+10*noise.Float64(), noise.Float64()
		for _, n := range []float64{2, 5, 9, 17, 30} {
			s.Points = append(s.Points, Point{Size: n, Cost: (a + b*s.scaled(n)) * (1 + 0.2*(noise.Float64()-0.5))})
		}
		is.NoErr(s.Fit())
		pa, pb := plainFit(s)
		is.True(math.Abs(s.Intercept-pa) < 1e-3 && math.Abs(s.Slope-pb) < 1e-3)
		for i, p := range s.Points {
			is.True(math.Abs(s.Intercept+s.Slope*s.scaled(p.Size)-p.Cost*(1-s.Residuals[i])) < 1e-9)
		}
		is.True(math.Abs(s.Predicted-100*(1+s.PredictionError)) < 1e-9)
	}
}

func TestFitOfAnExactLinePredicts(t *testing.T) {
	is := is.New(t)
	s := &Series{
		Points:  []Point{{Size: 10, Cost: 25, AllocBytes: 7}, {Size: 100, Cost: 205, AllocBytes: 7}, {Size: 1e6, Cost: 2000005, AllocBytes: 7}},
		Holdout: Point{Size: 1e7, Cost: 20000005},
	}
	is.NoErr(s.Fit())
	is.True(math.Abs(s.Intercept-5) < 1e-6 && math.Abs(s.Slope-2) < 1e-9 && math.Abs(s.PredictionError) < 1e-9 && s.MaxResidual() < 1e-9)
	cost, alloc := s.At(1000)
	is.True(math.Abs(cost-2005) < 1e-3 && math.Abs(alloc-7) < 1e-6)
}

func TestFitRefusesWhatIsNoMeasurement(t *testing.T) {
	is := is.New(t)
	predicted := Point{Size: 9, Cost: 9}
	for _, s := range []Series{
		{Points: []Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 2}}, Holdout: predicted},
		{Points: []Point{{Size: 5, Cost: 1}, {Size: 5, Cost: 2}, {Size: 5, Cost: 3}}, Holdout: predicted},
		{Points: []Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 0}, {Size: 3, Cost: 3}}, Holdout: predicted},
		{Points: []Point{{Size: 1, Cost: 1}, {Size: 2, Cost: math.NaN()}, {Size: 3, Cost: 3}}, Holdout: predicted},
		{Points: []Point{{Size: 1, Cost: 1}, {Size: 2, Cost: 2}, {Size: 3, Cost: 3}}},
	} {
		is.True(s.Fit() != nil)
	}
}

// TestMeasure takes every series at sizes far too small for figures: each must be measured, and be read back as it
// was written.
func TestMeasure(t *testing.T) {
	is := is.New(t)
	r, err := Measure(1000, nil)
	is.NoErr(err)
	is.True(len(r.Series) >= 60)
	var b bytes.Buffer
	is.NoErr(r.Write(&b))
	again, err := Read(&b)
	is.NoErr(err)
	is.Equal(again.Names(), r.Names())
	for i := range r.Series {
		is.Equal(again.Series[i].Slope, r.Series[i].Slope)
		is.True(len(r.Series[i].Points) >= 4)
	}
	_, err = Read(bytes.NewBufferString("{}\n{\"name\":\"x\"}"))
	is.True(err != nil)
}
