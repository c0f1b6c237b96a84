package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes each line to out by one call of Write, in the given format. The level is asked for
// at each line: a slog.LevelVar, or settings that are read again, change it while the program runs.
func New(out io.Writer, format Format, level slog.Leveler) *slog.Logger {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: normalize}
	if format == JSON {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

// normalize has both formats write a value in the same form. Levels are in lower case, as in settings. Errors are their
// text: slog's logfmt would write those with a stack trace as several screens. Durations and other values with a String
// method are that string: slog's JSON would write numbers. A key whose value is nil is left out.
func normalize(_ []string, attr slog.Attr) slog.Attr {
	switch attr.Value.Kind() {
	case slog.KindDuration:
		attr.Value = slog.StringValue(attr.Value.Duration().String())
	case slog.KindAny:
		switch value := attr.Value.Any().(type) {
		case nil:
			return slog.Attr{}
		case slog.Level:
			attr.Value = slog.StringValue(levelName(value))
		case error:
			attr.Value = slog.StringValue(value.Error())
		case fmt.Stringer:
			attr.Value = slog.StringValue(value.String())
		}
	}
	return attr
}
