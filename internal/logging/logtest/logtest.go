// Package logtest provides loggers for tests: one that drops all lines, and one that records them.
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

// maxPendingCodes is the number of codes that a Recorder keeps for Await and Codes. Further codes are dropped, so that
// a logger never waits for a test that does not read them.
const maxPendingCodes = 1000

// codePattern matches the code of a line in logfmt.
var codePattern = regexp.MustCompile(` code=(\S+)`)

// Recorder keeps the lines of a logger. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex // guards text
	text  strings.Builder
	codes chan string // codes of the lines that neither Await nor Codes has consumed, in their order
}

// Record returns a logger in logfmt that writes lines of all levels to a recorder.
func Record() (log.Logger, *Recorder) {
	r := &Recorder{codes: make(chan string, maxPendingCodes)}
	return logging.New(r, logging.Logfmt, logging.LevelDebug), r
}

// Write records a line. It implements io.Writer for the logger.
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

// String returns all recorded lines.
func (r *Recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// Len returns the length of all recorded lines, in bytes.
func (r *Recorder) Len() int { return len(r.String()) }

// Codes returns and consumes the codes that Await has not consumed, in the order of their lines.
func (r *Recorder) Codes() (codes []string) {
	for len(r.codes) > 0 {
		codes = append(codes, <-r.codes)
	}
	return codes
}

// Await waits for a line with the given code after the line at which the previous Await returned. It consumes the codes
// of the lines before it.
func (r *Recorder) Await(code string) {
	for found := range r.codes {
		if found == code {
			return
		}
	}
}
