package logging

import "sync/atomic"

// Level is how severe a line is. The zero value is LevelInfo.
type Level int

// The levels, from the least severe one.
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

// ParseLevel returns the level of that name: debug, info, warn or error; empty: info. The error is ErrUnknownLevel.
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

// String returns the name of the level, as ParseLevel takes it.
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

// Level returns the level itself: as a Leveler it is one that does not change.
func (l Level) Level() Level { return l }

// Leveler says which level is the least severe one that is written. It is asked at each line, by several goroutines.
type Leveler interface {
	Level() Level
}

// LevelVar is a Leveler whose level may be set while loggers use it. The zero value has LevelInfo.
type LevelVar struct{ level atomic.Int64 }

// Level returns the level that was set last.
func (lv *LevelVar) Level() Level { return Level(lv.level.Load()) }

// Set has loggers use that level from now on.
func (lv *LevelVar) Set(l Level) { lv.level.Store(int64(l)) }
