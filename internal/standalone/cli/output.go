package cli

import (
	"io"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/jsontext"
)

const millisecondsPerSecond = 1000

// writeJSON writes a value as one line of JSON.
func writeJSON(w io.Writer, v any) error { return jsontext.NewEncoder(w).Encode(v) }

// unixNow returns the current Unix time, which is the clock that ingresses share.
func unixNow() decision.Seconds { return unixSeconds(time.Now()) }

// unixSeconds returns a time as Unix seconds, rounded down to milliseconds.
func unixSeconds(t time.Time) decision.Seconds { return float64(t.UnixMilli()) / millisecondsPerSecond }

// formatTime formats a Unix time for tables. The time 0 means that none is set.
func formatTime(t decision.Seconds) string {
	if t == 0 {
		return "as soon as it is read"
	}
	return time.UnixMilli(int64(t * millisecondsPerSecond)).UTC().Format(time.RFC3339)
}

// formatSpan formats a duration in milliseconds for tables, rounded to 100 ms.
func formatSpan(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
