//go:build race

package vault

const nameWalks = 1
