//go:build race

package race

// Enabled is true in builds with the race detector.
const Enabled = true
