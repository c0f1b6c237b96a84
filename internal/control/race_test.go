//go:build race

package control

// Sizes of random tests under the race detector.
const (
	operatorSeeds     = 8
	starvationSeconds = 1
	timingRuns        = 2
	secondLossSeeds   = 12
)
