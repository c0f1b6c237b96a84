// Package timechart draws a small text chart of events over time: one row of bars for each kind of event, and labeled
// annotations at single points in time.
//
// The package reads no clock: callers pass times in seconds. It imports only the standard library and keeps no state.
// Its tests are table-driven (chart_test.go). The command "mulleinrouter try" shows its results with it.
package timechart
