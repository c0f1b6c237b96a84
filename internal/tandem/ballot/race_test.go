//go:build race

package ballot

const walks = 1000
