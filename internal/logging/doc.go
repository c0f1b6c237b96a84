// Package logging builds the loggers of all programs. They write structured lines with go-kit/log, in logfmt or JSON. A
// line has its time, its level, a fixed message in lower case, and then key-value pairs:
//
//	level.Warn(logger).Log("msg", "batch not saved", "err", err)
//
// In JSON the keys are in alphabetical order.
//
//   - logging.go: New, and how lines are written;
//   - level.go: Level, and the Leveler that supplies the current level;
//   - settings.go: Settings, and parsing of the format's name;
//   - errors.go: the errors for unknown names of levels and formats.
//
// The package imports no other package of the project and keeps no state. A program that changes its level while it
// runs keeps the Leveler itself. Package logtest has the loggers of tests. The tests are in logging_test.go.
package logging
