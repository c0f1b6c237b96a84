//go:build !race

package control

const orderSeeds, starveSeconds = 60, 3

const (
	figureRuns = 20
)
const secondLosses = 80
