//go:build !race

package tandem

const orderSeeds = 60
