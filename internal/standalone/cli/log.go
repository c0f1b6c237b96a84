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
	logBufferBytes   = 32 << 10    // a full buffer is written without waiting for logFlushInterval
	logFlushInterval = time.Second // longest delay of a log line
)

// logSettings returns the log settings of this command. The flags take precedence over those of a file.
func (p *Program) logSettings(file logging.Settings) logging.Settings {
	if p.LogLevel != "" {
		file.Level, _ = logging.ParseLevel(p.LogLevel) // kong has checked the value against the enum
	}
	if p.LogFormat != "" {
		file.Format, _ = logging.ParseFormat(p.LogFormat) // checked by kong, too
	}
	return file
}

// newLogger returns the logger of a command that reads no configuration.
func (p *Program) newLogger() log.Logger {
	s := p.logSettings(logging.Settings{})
	return logging.New(p.err, s.Format, s.Level)
}

// bufferedLog buffers log lines, so that not every line needs a system call.
type bufferedLog struct {
	mu     sync.Mutex // guards writer, including its writes to the output
	writer *bufio.Writer
}

func newBufferedLog(w io.Writer) *bufferedLog {
	return &bufferedLog{writer: bufio.NewWriterSize(w, logBufferBytes)}
}

// Write appends lines to the buffer.
func (b *bufferedLog) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writer.Write(p)
}

// Flush writes the buffered lines to the output.
func (b *bufferedLog) Flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writer.Flush()
}

// run flushes the buffer at each interval until the process ends.
func (b *bufferedLog) run() {
	for range time.Tick(logFlushInterval) {
		b.Flush()
	}
}
