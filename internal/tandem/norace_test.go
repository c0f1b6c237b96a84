//go:build !race

package tandem

const orderSeeds = 60

const (
	catchUpWalks = 100
	figureRuns   = 20
)
const secondLosses = 80
