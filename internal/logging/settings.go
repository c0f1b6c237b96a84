package logging

import "log/slog"

// Format is the form of log lines.
type Format int

const (
	// Logfmt is a line of key=value pairs; values with spaces, quotes or "=" are quoted. It is the default.
	Logfmt Format = iota
	// JSON is a line with one JSON object.
	JSON
)

// Settings says how a program logs. The zero value is the default: level info, in logfmt.
type Settings struct {
	// Level is the least severe level that is written; zero: slog.LevelInfo.
	Level slog.Level
	// Format is the form of the lines; zero: Logfmt.
	Format Format
}

// Names of the levels, in settings and in lines.
const (
	levelDebug = "debug"
	levelInfo  = "info"
	levelWarn  = "warn"
	levelError = "error"
)

// ParseLevel returns the level of that name: debug, info, warn or error; empty: info. The error is ErrUnknownLevel.
func ParseLevel(name string) (slog.Level, error) {
	switch name {
	case levelDebug:
		return slog.LevelDebug, nil
	case levelInfo, "":
		return slog.LevelInfo, nil
	case levelWarn:
		return slog.LevelWarn, nil
	case levelError:
		return slog.LevelError, nil
	}
	return slog.LevelInfo, ErrUnknownLevel
}

// ParseFormat returns the format of that name: logfmt or json; empty: logfmt. "text" is an earlier name of logfmt. The
// error is ErrUnknownFormat.
func ParseFormat(name string) (Format, error) {
	switch name {
	case "logfmt", "text", "":
		return Logfmt, nil
	case "json":
		return JSON, nil
	}
	return Logfmt, ErrUnknownFormat
}

// levelName returns the name of a level, as ParseLevel takes it; a level between two has the name of the lower one.
func levelName(level slog.Level) string {
	switch {
	case level < slog.LevelInfo:
		return levelDebug
	case level < slog.LevelWarn:
		return levelInfo
	case level < slog.LevelError:
		return levelWarn
	}
	return levelError
}
