//go:build !race

package race

// Enabled is false in builds without the race detector.
const Enabled = false
