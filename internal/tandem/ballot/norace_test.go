//go:build !race

package ballot

const walks = 10000
