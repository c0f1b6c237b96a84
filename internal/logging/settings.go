package logging

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
	// Level is the least severe level that is written; zero: LevelInfo.
	Level Level
	// Format is the form of the lines; zero: Logfmt.
	Format Format
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
