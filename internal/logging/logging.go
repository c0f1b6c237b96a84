package logging

import (
	"encoding"
	"fmt"
	"io"
	"math"
	"reflect"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Keys of each line.
const (
	keyTime    = "time"
	keyMessage = "msg"
)

// timeLayout is the form of a line's time: in the local zone, to the millisecond.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes each line to out by one call of Write, in the given format. The level is asked for
// at each line: a LevelVar, or settings that are read again, change it while the program runs. A line below the level
// is dropped before any of its values is formatted; one without a level is written.
func New(out io.Writer, format Format, leveler Leveler) log.Logger {
	out = log.NewSyncWriter(out)
	lines := &lineLogger{format: format, next: log.NewLogfmtLogger(out)}
	if format == JSON {
		lines.next = log.NewJSONLogger(out)
	}
	return &levelFilter{
		leveler: leveler,
		filters: [...]log.Logger{
			level.NewFilter(lines, level.AllowDebug()),
			level.NewFilter(lines, level.AllowInfo()),
			level.NewFilter(lines, level.AllowWarn()),
			level.NewFilter(lines, level.AllowError()),
		},
	}
}

// levelFilter passes on the lines of a level that may change, which that of a filter of the library may not.
type levelFilter struct {
	leveler Leveler
	filters [LevelError - LevelDebug + 1]log.Logger // by level, from LevelDebug
}

// Log implements log.Logger.
func (lf *levelFilter) Log(keyvals ...any) error {
	inForce := min(max(lf.leveler.Level(), LevelDebug), LevelError)
	return lf.filters[inForce-LevelDebug].Log(keyvals...)
}

var timestamp = log.TimestampFormat(time.Now, timeLayout)

// lineLogger puts the time, the level and the message first, also where a logger has keys of its own, and leaves out
// keys whose value is nil.
type lineLogger struct {
	format Format
	next   log.Logger
}

// Log implements log.Logger.
func (l *lineLogger) Log(keyvals ...any) error {
	line := make([]any, 0, len(keyvals)+2)
	line = append(line, keyTime, timestamp())
	line = l.appendPairs(line, keyvals, func(key any) bool { return key == level.Key() })
	line = l.appendPairs(line, keyvals, func(key any) bool { return key == keyMessage })
	line = l.appendPairs(line, keyvals, func(key any) bool { return key != level.Key() && key != keyMessage })
	return l.next.Log(line...)
}

// appendPairs appends those keys, with their values.
func (l *lineLogger) appendPairs(line, keyvals []any, wanted func(key any) bool) []any {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if key, value := keyvals[i], keyvals[i+1]; value != nil && wanted(key) {
			line = append(line, key, l.writable(value))
		}
	}
	return line
}

// writable returns the value, or its text if the library cannot write it in this format. Errors, durations and other
// values with a String method are written as that text by the library, in both formats.
func (l *lineLogger) writable(value any) any {
	switch v := value.(type) {
	case string, int, bool, error, fmt.Stringer, encoding.TextMarshaler:
		return value
	case float64:
		if l.format == JSON && (math.IsNaN(v) || math.IsInf(v, 0)) {
			return fmt.Sprint(v)
		}
		return value
	}
	if l.format == Logfmt {
		switch reflect.TypeOf(value).Kind() {
		case reflect.Array, reflect.Map, reflect.Slice, reflect.Struct:
			return fmt.Sprint(value)
		}
	}
	return value
}
