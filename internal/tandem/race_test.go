//go:build race

package tandem

const orderSeeds = 8

const (
	catchUpWalks = 15
	figureRuns   = 2
)
const secondLosses = 12
