// Package mgmt serves the management address that operators alone use: each connection carries one line, a call, and
// gets one answer that begins with ACK or NAK, whereupon the connection ends. It answers however busy serving is: it
// takes no lock that serving holds for long, and a caller that finishes no line is cut off without taking the room of
// others.
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

	"github.com/sirupsen/logrus"
)

const (
	// MaxCallBytes is the longest call, in bytes without its line end; a longer one gets NAK.
	MaxCallBytes = 256
	// CallTimeout is how long a caller has to finish its line once it has connected.
	CallTimeout = 2 * time.Second
	// MaxCallers is how many callers are served at once; one more crowds out the one that has waited longest.
	MaxCallers = 32
	// writeMost guards against a caller that does not read its answer.
	writeMost = time.Second
)

// Handler answers calls. Call gets the call's word in upper case and what follows it, and returns whether it is
// taken (ACK) and the lines that follow the first; it must not wait on serving. Calls of one word that it does not
// know, it answers with ok false.
type Handler func(word, rest string) (ok bool, lines []string)

// Server serves one management address.
type Server struct {
	Handler Handler
	Log     *logrus.Logger

	mu    sync.Mutex
	conns map[net.Conn]time.Time // callers that have not had their answer, by when they came
}

// Serve accepts callers until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.conns = map[net.Conn]time.Time{}
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.WithField("code", "mgmt-accept-failed").WithError(err).Warn("management connection not accepted")
			time.Sleep(10 * time.Millisecond) // guards against spinning on an error that stays
			continue
		}
		s.admit(c)
		go s.serve(c)
	}
}

// admit makes room: beyond Most callers, the one that came first is cut off.
func (s *Server) admit(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= MaxCallers {
		var first net.Conn
		for o, at := range s.conns {
			if first == nil || at.Before(s.conns[first]) {
				first = o
			}
		}
		first.SetReadDeadline(time.Unix(1, 0))
		delete(s.conns, first)
	}
	s.conns[c] = time.Now()
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	c.SetReadDeadline(time.Now().Add(CallTimeout))
	word, rest, err := readCall(bufio.NewReaderSize(c, MaxCallBytes+2))
	answer := "NAK\n"
	code := "mgmt-answered"
	switch {
	case errors.Is(err, errTooLong), errors.Is(err, errEmpty):
		code = "mgmt-bad-call"
	case err != nil:
		s.Log.WithFields(logrus.Fields{"code": ending(err), "from": c.RemoteAddr().String()}).Info("management connection ended")
		return
	default:
		ok, lines := s.Handler(word, rest)
		var b strings.Builder
		if ok {
			b.WriteString("ACK\n")
		} else {
			b.WriteString("NAK\n")
		}
		for _, l := range lines {
			b.WriteString(l)
			b.WriteByte('\n')
		}
		answer = b.String()
	}
	c.SetWriteDeadline(time.Now().Add(writeMost))
	_, werr := io.WriteString(c, answer)
	// Closing with unread bytes of an overlong call would reset the connection, and the answer might be lost with it.
	if tc, ok := c.(*net.TCPConn); ok && werr == nil {
		tc.CloseWrite()
		c.SetReadDeadline(time.Now().Add(writeMost))
		io.CopyN(io.Discard, c, 64<<10)
	}
	entry := s.Log.WithFields(logrus.Fields{"code": code, "call": word, "from": c.RemoteAddr().String(), "answer": answer[:3]})
	if werr != nil {
		entry = entry.WithError(werr)
	}
	entry.Info("management connection ended")
}

var (
	errTooLong = fmt.Errorf("a call of more than %d bytes", MaxCallBytes)
	errEmpty   = errors.New("an empty call")
)

// readCall reads one line, ended by LF or CRLF, and splits its first word off.
func readCall(r *bufio.Reader) (word, rest string, err error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", "", errTooLong
	}
	if err != nil && !(errors.Is(err, io.EOF) && len(line) > 0) { // a caller may end its line by ending its sending
		return "", "", fmt.Errorf("mgmt: %w", err)
	}
	text := strings.TrimSpace(string(line))
	if len(text) > MaxCallBytes {
		return "", "", errTooLong
	}
	if text == "" {
		return "", "", errEmpty
	}
	word, rest, _ = strings.Cut(text, " ")
	return strings.ToUpper(word), strings.TrimSpace(rest), nil
}

func ending(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "mgmt-silent"
	case errors.Is(err, io.EOF):
		return "mgmt-closed"
	}
	return "mgmt-reset"
}
