//go:build race

package consensus

const walks = 1000
