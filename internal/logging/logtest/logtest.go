// Package logtest has loggers for tests: one that drops all lines, and one that records them.
package logtest

import (
	"regexp"
	"strings"
	"sync"

	"github.com/go-kit/log"

	"mulleinrouter/internal/logging"
)

// Discard returns a logger that writes nothing.
func Discard() log.Logger { return log.NewNopLogger() }

// maxPendingCodes is how many codes a Recorder keeps for Await; further ones are dropped.
const maxPendingCodes = 1000

var codePattern = regexp.MustCompile(` code=(\S+)`)

// Recorder keeps the lines of a logger. It may be used by several goroutines.
type Recorder struct {
	mu    sync.Mutex // guards text
	text  strings.Builder
	codes chan string // of the lines that have one and that Await has not seen
}

// Record returns a logger in logfmt that writes lines of all levels to a recorder.
func Record() (log.Logger, *Recorder) {
	r := &Recorder{codes: make(chan string, maxPendingCodes)}
	return logging.New(r, logging.Logfmt, logging.LevelDebug), r
}

// Write records a line.
func (r *Recorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	r.text.Write(line)
	r.mu.Unlock()
	if match := codePattern.FindSubmatch(line); match != nil {
		select {
		case r.codes <- string(match[1]):
		default:
		}
	}
	return len(line), nil
}

// String returns the lines.
func (r *Recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// Len returns the length of the lines in bytes.
func (r *Recorder) Len() int { return len(r.String()) }

// Codes returns the codes that Await has not seen, in the order of their lines.
func (r *Recorder) Codes() (codes []string) {
	for len(r.codes) > 0 {
		codes = append(codes, <-r.codes)
	}
	return codes
}

// Await waits for a line with that code, behind the one that ended the last Await.
func (r *Recorder) Await(code string) {
	for found := range r.codes {
		if found == code {
			return
		}
	}
}
