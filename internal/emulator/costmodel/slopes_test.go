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
			x := p.N
			if s.Log {
				x = math.Log2(p.N)
			}
			off := (p.Y - a - b*x) / p.Y
			sum += off * off
		}
		return sum
	}
	a, b = s.Points[0].Y, 0
	for step := 1.0; step > 1e-13; step *= 0.7 {
		for better := true; better; {
			better = false
			for _, to := range [][2]float64{{step * s.Points[0].Y, 0}, {-step * s.Points[0].Y, 0}, {0, step}, {0, -step},
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
		s := &Series{Name: "s", Log: round%2 == 1, HeldOut: Point{N: 40, Y: 100}}
		a, b := 5+10*noise.Float64(), noise.Float64()
		for _, n := range []float64{2, 5, 9, 17, 30} {
			s.Points = append(s.Points, Point{N: n, Y: (a + b*s.x(n)) * (1 + 0.2*(noise.Float64()-0.5))})
		}
		is.NoErr(s.Fit())
		pa, pb := plainFit(s)
		is.True(math.Abs(s.A-pa) < 1e-3 && math.Abs(s.B-pb) < 1e-3)
		for i, p := range s.Points {
			is.True(math.Abs(s.A+s.B*s.x(p.N)-p.Y*(1-s.Residuals[i])) < 1e-9)
		}
		is.True(math.Abs(s.Predicted-100*(1+s.Off)) < 1e-9)
	}
}

func TestFitOfAnExactLinePredicts(t *testing.T) {
	is := is.New(t)
	s := &Series{
		Points:  []Point{{N: 10, Y: 25, Alloc: 7}, {N: 100, Y: 205, Alloc: 7}, {N: 1e6, Y: 2000005, Alloc: 7}},
		HeldOut: Point{N: 1e7, Y: 20000005},
	}
	is.NoErr(s.Fit())
	is.True(math.Abs(s.A-5) < 1e-6 && math.Abs(s.B-2) < 1e-9 && math.Abs(s.Off) < 1e-9 && s.Worst() < 1e-9)
	cost, alloc := s.At(1000)
	is.True(math.Abs(cost-2005) < 1e-3 && math.Abs(alloc-7) < 1e-6)
}

func TestFitRefusesWhatIsNoMeasurement(t *testing.T) {
	is := is.New(t)
	predicted := Point{N: 9, Y: 9}
	for _, s := range []Series{
		{Points: []Point{{N: 1, Y: 1}, {N: 2, Y: 2}}, HeldOut: predicted},
		{Points: []Point{{N: 5, Y: 1}, {N: 5, Y: 2}, {N: 5, Y: 3}}, HeldOut: predicted},
		{Points: []Point{{N: 1, Y: 1}, {N: 2, Y: 0}, {N: 3, Y: 3}}, HeldOut: predicted},
		{Points: []Point{{N: 1, Y: 1}, {N: 2, Y: math.NaN()}, {N: 3, Y: 3}}, HeldOut: predicted},
		{Points: []Point{{N: 1, Y: 1}, {N: 2, Y: 2}, {N: 3, Y: 3}}},
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
		is.Equal(again.Series[i].B, r.Series[i].B)
		is.True(len(r.Series[i].Points) >= 4)
	}
	_, err = Read(bytes.NewBufferString("{}\n{\"name\":\"x\"}"))
	is.True(err != nil)
}
