//go:build !race

package control

// Sizes of random tests.
const (
	operatorSeeds     = 60 // seeds of TestRandomOperators
	starvationSeconds = 3  // simulated seconds of each run of TestProposersDoNotStarve
	timingRuns        = 20 // runs per measured time
	secondLossSeeds   = 80 // seeds of TestSecondLossDuringReplacement
	lossOrders        = 30 // seeds of TestLossesInTurn and of TestTwoLossesAtOnce for each bounds
)
