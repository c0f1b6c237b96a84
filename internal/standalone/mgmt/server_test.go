package mgmt

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/logging/logtest"
)

const testTimeout = 10 * time.Second // only a failing test waits this long

// startServer starts a server and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logtest.Discard()
	s := &Server{Log: log, Handler: answerTestCall}
	var served sync.WaitGroup
	served.Go(func() { s.Serve(l) })
	t.Cleanup(func() {
		l.Close()
		served.Wait()
	})
	return l.Addr().String()
}

// answerTestCall is the handler of the tests.
func answerTestCall(word, arguments string) (bool, []string) {
	switch word {
	case "PING":
		return true, nil
	case "INFO":
		return true, []string{"ingress.active:3|g", "--"}
	case "ECHO":
		return true, []string{arguments}
	}
	return false, nil
}

// call sends bytes and returns the answer, which it reads until the server ends the connection.
func call(t *testing.T, addr, send string) string {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, send); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%.20s: %v", send, err)
	}
	return string(b)
}

// Each call must be answered with ACK or NAK and its lines. A call that is too long must be answered with NAK, and not
// by a reset because of its unread bytes.
func TestCalls(t *testing.T) {
	addr := startServer(t)
	for _, tc := range []struct{ send, want string }{
		{"PING\n", "ACK\n"},
		{"PING\r\n", "ACK\n"},
		{"ping\n", "ACK\n"},
		{"INFO\n", "ACK\ningress.active:3|g\n--\n"},
		{"ECHO some words \n", "ACK\nsome words\n"},
		{"NOSUCH\n", "NAK\n"},
		{"\n", "NAK\n"},
		{strings.Repeat("P", MaxCallBytes+1) + "\n", "NAK\n"},
		{strings.Repeat("P", 10*MaxCallBytes), "NAK\n"},
		{"PING\nINFO\n", "ACK\n"}, // a connection carries one call only
	} {
		if diff := cmp.Diff(tc.want, call(t, addr, tc.send)); diff != "" {
			t.Errorf("answer to %.20q (-want +got):\n%s", tc.send, diff)
		}
	}
}

// A caller that closes its sending side instead of ending its line must be answered, too.
func TestCallEndedByEOF(t *testing.T) {
	addr := startServer(t)
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, "PING")
	c.(*net.TCPConn).CloseWrite()
	if b, _ := io.ReadAll(c); string(b) != "ACK\n" {
		t.Errorf("answer %q, want %q", b, "ACK\n")
	}
}

// More callers than MaxCallers connect and send nothing. A caller that connects after them must be answered at once,
// long before CallTimeout, and evicted callers must be cut off.
func TestSilentCallers(t *testing.T) {
	addr := startServer(t)
	var silent []net.Conn
	for range 3 * MaxCallers {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "PING\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != "ACK\n" {
		t.Fatalf("a caller after %d silent ones: answer %q, error %v; want ACK", len(silent), line, err)
	}
	// The first caller was evicted and cut off, so a read from it ends.
	silent[0].SetReadDeadline(time.Now().Add(testTimeout))
	_, err = silent[0].Read(make([]byte, 1))
	if err == nil {
		t.Error("the first silent caller was answered, want it cut off")
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the first silent caller was not cut off: %v", err)
	}
}
