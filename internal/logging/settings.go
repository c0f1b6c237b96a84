package logging

// Format is the format of log lines.
type Format int

const (
	// Logfmt is a line of key=value pairs; values with spaces, quotes or "=" are quoted. It is the default.
	Logfmt Format = iota
	// JSON is a line with one JSON object.
	JSON
)

// Settings configures the logger of a program. The zero value is the default: level info, in logfmt.
type Settings struct {
	// Level is the least severe level that is written. The zero value is LevelInfo.
	Level Level
	// Format is the format of the lines. The zero value is Logfmt.
	Format Format
}

// ParseFormat returns the format with the given name: logfmt or json. An empty name means logfmt, and so does "text",
// which is an earlier name of it. For any other name the error is ErrUnknownFormat.
func ParseFormat(name string) (Format, error) {
	switch name {
	case "logfmt", "text", "":
		return Logfmt, nil
	case "json":
		return JSON, nil
	}
	return Logfmt, ErrUnknownFormat
}
