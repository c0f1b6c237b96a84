// Package logging builds the loggers of all programs: structured lines of go-kit/log, in logfmt or JSON. A line has its
// time, its level, a fixed message in lower case, and then key-value pairs:
//
//	level.Warn(logger).Log("msg", "batch not saved", "err", err)
//
// In JSON the keys are in alphabetical order.
//
//   - logging.go: New, and how lines are written;
//   - level.go: Level, and what says which one is in force;
//   - settings.go: Settings, and the format from text;
//   - errors.go: what is wrong with such a text.
//
// It imports nothing of the project, and keeps no state: a program that changes its level while it runs holds the
// Leveler. Package logtest has the loggers of tests. Its tests stand beside it.
package logging
