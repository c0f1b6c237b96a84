//go:build race

package control

const orderSeeds, starveSeconds = 8, 1

const (
	figureRuns = 2
)
const secondLosses = 12
