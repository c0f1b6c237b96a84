// Package logging builds the loggers of all programs: structured lines of log/slog, in logfmt or JSON. A line has its
// time, its level, a fixed message in lower case, and then key-value pairs.
//
//   - logging.go: New, and how values are written;
//   - settings.go: Settings, and their values from text;
//   - errors.go: what is wrong with such a text.
//
// It imports nothing of the project, and keeps no state: a program that changes its level while it runs holds the
// slog.Leveler. Package logtest has the loggers of tests. Its tests stand beside it.
package logging
