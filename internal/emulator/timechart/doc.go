// Package timechart draws a small chart of events over time as text: a row of bars for each kind of event, and
// annotations with labels at single times.
//
// It is pure: times are seconds that the caller measured. It imports only the standard library, keeps no state, and is
// tested by tables (chart_test.go). mulleinrouter try shows its results with it.
package timechart
