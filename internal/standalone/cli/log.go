package cli

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/logging"
)

const (
	logBufferBytes   = 32 << 10
	logFlushInterval = time.Second
)

// logSettings returns how this command logs: what the flags say, and where they say nothing what a file does.
func (p *Program) logSettings(file logging.Settings) logging.Settings {
	if p.LogLevel != "" {
		file.Level, _ = logging.ParseLevel(p.LogLevel) // the command line's parser knows the names
	}
	if p.LogFormat != "" {
		file.Format, _ = logging.ParseFormat(p.LogFormat) // as above
	}
	return file
}

// newLogger returns the logger of a command that reads no configuration.
func (p *Program) newLogger() log.Logger {
	s := p.logSettings(logging.Settings{})
	return logging.New(p.err, s.Format, s.Level)
}

// bufferedLog gathers log lines, so that not each costs a write.
type bufferedLog struct {
	mu     sync.Mutex // guards writer, and the write of what it gathered
	writer *bufio.Writer
}

func newBufferedLog(w io.Writer) *bufferedLog {
	return &bufferedLog{writer: bufio.NewWriterSize(w, logBufferBytes)}
}

// Write adds lines.
func (b *bufferedLog) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writer.Write(p)
}

// Flush writes what was gathered.
func (b *bufferedLog) Flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writer.Flush()
}

// run flushes at intervals until the process ends.
func (b *bufferedLog) run() {
	for range time.Tick(logFlushInterval) {
		b.Flush()
	}
}
