package decision

import "math"

// chanceUnder is the chance of fewer than n where mean are expected (Poisson).
func poissonBelow(n int, mean float64) float64 {
	p, sum := math.Exp(-mean), 0.0
	for i := 0; i < n; i++ {
		sum += p
		p *= mean / float64(i+1)
	}
	return sum
}
