package mgmt

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

const guard = 10 * time.Second // only a failure waits this long

func serve(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Server{Log: log, Handler: func(word, rest string) (bool, []string) {
		switch word {
		case "PING":
			return true, nil
		case "INFO":
			return true, []string{"ingress.active:3|g", "--"}
		case "ECHO":
			return true, []string{rest}
		}
		return false, nil
	}}
	go s.Serve(l)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// call sends bytes and reads the whole answer, until the server ends the connection.
func call(t *testing.T, addr, send string) string {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(guard))
	if _, err := io.WriteString(c, send); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%.20s: %v", send, err)
	}
	return string(b)
}

func TestCalls(t *testing.T) {
	addr := serve(t)
	for _, c := range []struct{ send, want string }{
		{"PING\n", "ACK\n"},
		{"PING\r\n", "ACK\n"},
		{"ping\n", "ACK\n"},
		{"INFO\n", "ACK\ningress.active:3|g\n--\n"},
		{"ECHO some words \n", "ACK\nsome words\n"},
		{"NOSUCH\n", "NAK\n"},
		{"\n", "NAK\n"},
		{strings.Repeat("P", MaxCallBytes+1) + "\n", "NAK\n"},
		{strings.Repeat("P", 10*MaxCallBytes), "NAK\n"},
		{"PING\nINFO\n", "ACK\n"}, // one call a connection
	} {
		if got := call(t, addr, c.send); got != c.want {
			t.Errorf("%.20s: %s", c.send, cmp.Diff(c.want, got))
		}
	}
}

// TestEndedLine: a caller that ends its sending instead of its line is answered too.
func TestEndedLine(t *testing.T) {
	addr := serve(t)
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(guard))
	io.WriteString(c, "PING")
	c.(*net.TCPConn).CloseWrite()
	if b, _ := io.ReadAll(c); string(b) != "ACK\n" {
		t.Errorf("got %q", b)
	}
}

// TestSilentCallers: more callers than Most connect and say nothing; a caller that comes after them is answered at once,
// long before Patience cuts them off, and the room they held is given back.
func TestSilentCallers(t *testing.T) {
	addr := serve(t)
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
		t.Fatalf("a caller behind %d silent ones: %q, %v", len(silent), line, err)
	}
	// Those crowded out are cut off: a read ends.
	silent[0].SetReadDeadline(time.Now().Add(guard))
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Errorf("the first silent caller was answered")
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("the first silent caller was not cut off")
	}
}
