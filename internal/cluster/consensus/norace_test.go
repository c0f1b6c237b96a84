//go:build !race

package consensus

const walks = 10000
