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

// timeLayout is the format of a line's time, which is in the local zone with a resolution of a millisecond.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes each line to out by one call of Write, in the given format. It reads the level from
// leveler for each line, so a LevelVar or reloaded settings can change the level while the program runs. A line below
// the level is dropped before any of its values is formatted. A line without a level is always written.
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

// levelFilter drops the lines below a level that may change. A filter of go-kit/log has a fixed level, so levelFilter
// keeps one for each level.
type levelFilter struct {
	leveler Leveler
	filters [LevelError - LevelDebug + 1]log.Logger // indexed by level minus LevelDebug
}

// Log implements log.Logger.
func (lf *levelFilter) Log(keyvals ...any) error {
	minLevel := min(max(lf.leveler.Level(), LevelDebug), LevelError)
	return lf.filters[minLevel-LevelDebug].Log(keyvals...)
}

var timestamp = log.TimestampFormat(time.Now, timeLayout)

// lineLogger puts the time, the level and the message first, even if a logger adds keys with log.With, and omits keys
// whose value is nil. In JSON only the omission has an effect, because the keys are written in alphabetical order.
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

// appendPairs appends to line the pairs of keyvals whose key is wanted and whose value is not nil.
func (l *lineLogger) appendPairs(line, keyvals []any, wanted func(key any) bool) []any {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if key, value := keyvals[i], keyvals[i+1]; value != nil && wanted(key) {
			line = append(line, key, l.encodable(value))
		}
	}
	return line
}

// encodable returns the value, or its text if go-kit/log cannot write it in this format. For errors, and for durations
// and other values with a String method, go-kit/log writes the text itself in both formats.
func (l *lineLogger) encodable(value any) any {
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
