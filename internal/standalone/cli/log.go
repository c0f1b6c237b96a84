package cli

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	logBufferBytes   = 32 << 10
	logFlushInterval = time.Second
)

// newLogger returns a logger that writes to out, in the first form that is named: text or json; none: text.
func newLogger(out io.Writer, formats ...string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	for _, format := range formats {
		if format == outputJSON {
			logger.SetFormatter(&logrus.JSONFormatter{})
		}
		if format != "" {
			break
		}
	}
	return logger
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
