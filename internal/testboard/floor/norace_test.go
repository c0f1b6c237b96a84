//go:build !race

package floor

// raceDetector tells whether the programs are built with the race detector in them, as this test is.
const raceDetector = false
