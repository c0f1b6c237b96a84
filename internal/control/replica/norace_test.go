//go:build !race

package replica

const transferWalks = 100
