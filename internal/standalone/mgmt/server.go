package mgmt

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// MaxCallBytes is the length of the longest call, without its line end. A longer one is answered with NAK.
	MaxCallBytes = 256
	// CallTimeout is the time that a caller has, from its connection on, to finish its line.
	CallTimeout = 2 * time.Second
	// MaxCallers is the number of callers that are served at once. One more evicts the caller that connected first, so
	// that silent callers cannot block the address.
	MaxCallers = 32

	answerTimeout = time.Second           // for a caller to read its answer, and then again to close its connection
	acceptRetry   = 10 * time.Millisecond // delay after a failed accept, so that the loop does not spin

	maxUnreadBytes = 64 << 10 // bytes read after the answer, so that a call that is too long causes no reset
)

// The first line of an answer is one of these.
const (
	ack = "ACK"
	nak = "NAK"
)

// Handler executes calls. It gets the call's first word in upper case and the text after it. It returns whether the
// call is accepted (ACK, otherwise NAK) and the lines that follow ACK or NAK. It must not wait for the serving of
// requests. For an unknown word it returns ok false.
type Handler func(word, arguments string) (ok bool, lines []string)

// Server serves one management address.
type Server struct {
	Handler Handler
	Log     log.Logger

	mu      sync.Mutex             // guards the fields below
	open    map[net.Conn]struct{}  // all connections
	waiting map[net.Conn]time.Time // when each connection was accepted, except the evicted ones
	closing bool                   // the listener has closed, and no connection is read any more
}

// past is a read deadline in the past, which ends a pending read at once.
var past = time.Unix(1, 0)

// Serve accepts callers until the listener closes. It then cuts off callers whose call is incomplete, waits until the
// others are answered, and returns when all connections have ended.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.open, s.waiting, s.closing = map[net.Conn]struct{}{}, map[net.Conn]time.Time{}, false
	s.mu.Unlock()
	var callers sync.WaitGroup
	defer callers.Wait()
	defer s.endReading()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			level.Warn(s.Log).Log("msg", "management connection not accepted",
				"code", "mgmt-accept-failed", "error", err,
			)
			time.Sleep(acceptRetry)
			continue
		}
		s.admit(c)
		callers.Go(func() { s.serve(c) })
	}
}

// admit registers a caller and sets its deadline of CallTimeout. With MaxCallers callers already registered, the one
// that connected first is cut off.
func (s *Server) admit(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= MaxCallers {
		var first net.Conn
		for other, since := range s.waiting {
			if first == nil || since.Before(s.waiting[first]) {
				first = other
			}
		}
		first.SetReadDeadline(past)
		delete(s.waiting, first)
	}
	now := time.Now()
	s.open[c], s.waiting[c] = struct{}{}, now
	c.SetReadDeadline(now.Add(CallTimeout))
}

// endReading ends the pending reads of all connections. Later calls of limitReading do not extend them.
func (s *Server) endReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.open {
		c.SetReadDeadline(past)
	}
}

// limitReading sets the read deadline of a connection after its answer, unless the server is closing.
func (s *Server) limitReading(c net.Conn, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		c.SetReadDeadline(time.Now().Add(timeout))
	}
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	delete(s.waiting, c)
}

// serve answers one caller and ends its connection.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	defer s.remove(c)
	word, arguments, err := readCall(bufio.NewReaderSize(c, MaxCallBytes+2))
	from := c.RemoteAddr().String()
	status, code := nak, "mgmt-answered"
	var lines []string
	switch {
	case errors.Is(err, errTooLong), errors.Is(err, errEmpty):
		code = "mgmt-bad-call"
	case err != nil:
		level.Info(s.Log).Log("msg", "management connection ended", "code", endCode(err), "from", from)
		return
	default:
		var ok bool
		if ok, lines = s.Handler(word, arguments); ok {
			status = ack
		}
	}
	err = s.writeAnswer(c, status, lines)
	level.Info(s.Log).Log("msg", "management connection ended",
		"code", code, "call", word, "from", from, "answer", status, "error", err,
	)
}

// writeAnswer writes an answer and ends the connection's sending side.
func (s *Server) writeAnswer(c net.Conn, status string, lines []string) error {
	var answer strings.Builder
	for _, line := range append([]string{status}, lines...) {
		answer.WriteString(line)
		answer.WriteByte('\n')
	}
	c.SetWriteDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(c, answer.String()); err != nil {
		return err
	}
	// Closing a connection with unread bytes, which a call that is too long leaves, would reset it, and the answer
	// might be lost. So the rest is read first.
	if tc, ok := c.(*net.TCPConn); ok {
		tc.CloseWrite()
		s.limitReading(c, answerTimeout)
		io.CopyN(io.Discard, c, maxUnreadBytes)
	}
	return nil
}

// readCall reads one line and splits off its first word. The line ends with LF, CRLF or the end of the stream.
func readCall(r *bufio.Reader) (word, arguments string, err error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", "", errTooLong
	}
	endedByEOF := errors.Is(err, io.EOF) && len(line) > 0
	if err != nil && !endedByEOF {
		return "", "", fmt.Errorf("mgmt: %w", err)
	}
	text := strings.TrimSpace(string(line))
	if len(text) > MaxCallBytes {
		return "", "", errTooLong
	}
	if text == "" {
		return "", "", errEmpty
	}
	word, arguments, _ = strings.Cut(text, " ")
	return strings.ToUpper(word), strings.TrimSpace(arguments), nil
}

// endCode returns the log code for a connection that ended without a call.
func endCode(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "mgmt-silent"
	case errors.Is(err, io.EOF):
		return "mgmt-closed"
	}
	return "mgmt-reset"
}
