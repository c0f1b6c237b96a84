package cli

import (
	"io"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/jsontext"
)

const (
	outputJSON = "json" // of the log

	millisecondsPerSecond = 1000
)

// writeJSON writes a value as one line of JSON.
func writeJSON(w io.Writer, v any) error { return jsontext.NewEncoder(w).Encode(v) }

// unixNow is the time on the clock that ingresses share.
func unixNow() decision.Seconds { return unixSeconds(time.Now()) }

// unixSeconds is a time as Unix seconds, rounded down to milliseconds.
func unixSeconds(t time.Time) decision.Seconds { return float64(t.UnixMilli()) / millisecondsPerSecond }

// formatTime is a Unix time in tables; 0 stands for none.
func formatTime(t decision.Seconds) string {
	if t == 0 {
		return "as soon as it is read"
	}
	return time.UnixMilli(int64(t * millisecondsPerSecond)).UTC().Format(time.RFC3339)
}

// formatSpan is a span of milliseconds in tables.
func formatSpan(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
