package logging

import "sync/atomic"

// Level is the severity of a line. The zero value is LevelInfo.
type Level int

// The levels, from the least to the most severe.
const (
	LevelDebug Level = iota - 1
	LevelInfo
	LevelWarn
	LevelError
)

// Names of the levels, in settings and in lines.
const (
	nameDebug = "debug"
	nameInfo  = "info"
	nameWarn  = "warn"
	nameError = "error"
)

// ParseLevel returns the level with the given name: debug, info, warn or error. An empty name means info. For any other
// name the error is ErrUnknownLevel.
func ParseLevel(name string) (Level, error) {
	switch name {
	case nameDebug:
		return LevelDebug, nil
	case nameInfo, "":
		return LevelInfo, nil
	case nameWarn:
		return LevelWarn, nil
	case nameError:
		return LevelError, nil
	}
	return LevelInfo, ErrUnknownLevel
}

// String returns the name of the level, in the form that ParseLevel accepts.
func (l Level) String() string {
	switch l {
	case LevelDebug:
		return nameDebug
	case LevelWarn:
		return nameWarn
	case LevelError:
		return nameError
	}
	return nameInfo
}

// Level returns the level itself, which makes a Level a Leveler that never changes.
func (l Level) Level() Level { return l }

// Leveler supplies the least severe level that is written. Loggers call Level for each line, from several goroutines.
type Leveler interface {
	Level() Level
}

// LevelVar is a Leveler whose level may be set while loggers use it. The zero value is set to LevelInfo.
type LevelVar struct{ level atomic.Int64 }

// Level returns the level that was set last.
func (lv *LevelVar) Level() Level { return Level(lv.level.Load()) }

// Set changes the level. Loggers apply it from the next line on.
func (lv *LevelVar) Set(l Level) { lv.level.Store(int64(l)) }
