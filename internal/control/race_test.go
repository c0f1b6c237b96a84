//go:build race

package control

// Sizes of random tests under the race detector.
const (
	operatorSeeds     = 8  // seeds of TestRandomOperators
	starvationSeconds = 1  // simulated seconds of each run of TestProposersDoNotStarve
	timingRuns        = 2  // runs per measured time
	secondLossSeeds   = 12 // seeds of TestSecondLossDuringReplacement
	lossOrders        = 5  // seeds of TestLossesInTurn and of TestTwoLossesAtOnce for each bounds
)
