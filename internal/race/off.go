//go:build !race

package race

// Enabled is set in builds with the race detector.
const Enabled = false
