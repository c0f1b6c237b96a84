//go:build !race

package control

// Sizes of random tests.
const (
	operatorSeeds     = 60
	starvationSeconds = 3
	timingRuns        = 20
	secondLossSeeds   = 80
)
