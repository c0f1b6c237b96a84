// Package exchange plays recorded byte exchanges, kept in text files, over real sockets against the
// code under test. Only tests import it.
//
// A line of a script is a step; empty lines and those that begin with # are passed over.
//
//	let KEY TEXT   {KEY} stands for TEXT in the steps that follow
//	NAME > TEXT    writes TEXT and a line end; NAME >> TEXT leaves the line end out
//	NAME < TEXT    reads as many lines as TEXT has, which must be it; a * at a line's end stands for any rest
//	NAME << TEXT   reads as many bytes as TEXT has, which must be it
//	NAME takes T   reads a whole request, body included, that begins with the line T
//	NAME takes head T  the same without its body
//	NAME chunk T   writes T as one line in a chunk of a chunked body
//	NAME sends N K writes bytes K to N of a body in which each byte tells where it stands
//	NAME gets N K  reads as many, which must be these
//	NAME whole N   reads a chunked body, which must be bytes 0 to N; NAME chunks N leaves its trailer unread
//	NAME accept    takes the next connection to a listener; the first is taken by itself
//	NAME eof       the other side must end the connection
//	NAME close     ends it; NAME reset does so with a reset; NAME stop ends the listener
//	@HOOK TEXT     calls a function of the test, which must return TEXT
//
// TEXT may hold Go escapes, and {NAME} for the address of a listener. A name that is no listener is a
// client, which connects with its first step.
package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// patience ends a test that hangs. No step's success depends on it.
const stepTimeout = 20 * time.Second

// Until waits until something is so, for hooks to return: nothing then, and a word that no script has
// when it hangs.
func Until(is func() bool) string {
	for end := time.Now().Add(stepTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return "never"
		}
	}
	return ""
}

// Player plays scripts.
type Player struct {
	Target string // address that clients connect to
	Hooks  map[string]func(text string) string

	test          testing.TB
	substitutions map[string]string
	listeners     map[string]net.Listener
	conns         map[string]*conn
}

type conn struct {
	net.Conn
	reader *bufio.Reader
}

// New returns a player with listeners on free ports of the loopback.
func New(t testing.TB, listeners ...string) *Player {
	p := &Player{
		test:          t,
		substitutions: map[string]string{},
		Hooks:         map[string]func(string) string{},
		listeners:     map[string]net.Listener{},
		conns:         map[string]*conn{},
	}
	for _, name := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p.listeners[name] = l
		t.Cleanup(func() { l.Close() })
	}
	t.Cleanup(func() {
		for _, c := range p.conns {
			c.Close()
		}
	})
	return p
}

// Addr is the address of a listener.
func (p *Player) Addr(name string) string { return p.listeners[name].Addr().String() }

// Each plays every script that the pattern names, in a test of its own.
func Each(t *testing.T, pattern string, play func(t *testing.T, script string)) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no script %s: %v", pattern, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { play(t, file) })
	}
}

// Play plays one script, and compares what came with what is written there.
func (p *Player) Play(script string) {
	p.test.Helper()
	raw, err := os.ReadFile(script)
	if err != nil {
		p.test.Fatal(err)
	}
	var want, got []string
	for _, line := range strings.Split(string(raw), "\n") {
		if line = strings.TrimRight(line, "\r"); line == "" || line[0] == '#' {
			continue
		}
		want = append(want, line)
		step, err := p.playStep(line)
		if err != nil {
			step = fmt.Sprintf("%s: %v", line, err)
		}
		if got = append(got, step); step != line {
			break // nothing after it means what it says
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		p.test.Fatalf("%s (-recorded +now):\n%s", script, diff)
	}
}

// playStep does what a line says and returns the line as it should have been.
func (p *Player) playStep(line string) (string, error) {
	name, verb, _ := strings.Cut(line, " ")
	if hook, ok := strings.CutPrefix(name, "@"); ok {
		if p.Hooks[hook] == nil {
			return "", fmt.Errorf("no hook %s", hook)
		}
		return strings.TrimRight(name+" "+p.Hooks[hook](verb), " "), nil
	}
	verb, text, _ := strings.Cut(verb, " ")
	if name == "let" {
		p.substitutions[verb] = text
		return line, nil
	}
	for key, value := range p.substitutions {
		text = strings.ReplaceAll(text, "{"+key+"}", value)
	}
	for other := range p.listeners {
		text = strings.ReplaceAll(text, "{"+other+"}", p.Addr(other))
	}
	plain, err := strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
	if err != nil {
		return "", fmt.Errorf("%q: %w", text, err)
	}
	if verb == "stop" {
		return line, p.listeners[name].Close()
	}
	c, err := p.conn(name, verb == "accept")
	if err != nil {
		return "", err
	}
	c.SetDeadline(time.Now().Add(stepTimeout))
	var came string
	switch verb {
	case "accept":
		return line, nil
	case ">":
		_, err = io.WriteString(c, plain+"\r\n")
		return line, err
	case ">>":
		_, err = io.WriteString(c, plain)
		return line, err
	case "takes":
		came, err = c.readRequest(plain)
		plain, _ = strings.CutPrefix(plain, "head ")
	case "chunk":
		_, err = fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(plain)+1, plain)
		return line, err
	case "sends":
		from, to := parseSpan(plain)
		_, err = c.Write(Body(from, to-from))
		return line, err
	case "gets":
		from, to := parseSpan(plain)
		b := make([]byte, to-from)
		if _, err = io.ReadFull(c.reader, b); err != nil || !bytes.Equal(b, Body(from, to-from)) {
			return "", fmt.Errorf("not these bytes: %w", err)
		}
		return line, nil
	case "whole", "chunks":
		from, to := parseSpan(plain + " 0")
		b, err := io.ReadAll(httputil.NewChunkedReader(c.reader))
		if err != nil || !bytes.Equal(b, Body(from, to)) {
			return "", fmt.Errorf("not these bytes: %w", err)
		}
		if verb == "whole" {
			_, err = c.reader.ReadString('\n') // the empty line behind the last chunk
		}
		return line, err
	case "close", "reset":
		delete(p.conns, name)
		if verb == "reset" {
			c.Conn.(*net.TCPConn).SetLinger(0)
		}
		return line, c.Close()
	case "eof":
		rest, err := io.ReadAll(c.reader)
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() || len(rest) > 0 {
			return "", fmt.Errorf("not ended, but %q: %w", rest, err)
		}
		delete(p.conns, name)
		return line, c.Close()
	case "<":
		for i, want := range strings.Split(plain, "\r\n") {
			var part string
			part, err = c.reader.ReadString('\n')
			part = strings.TrimRight(part, "\r\n")
			if start, prefix := strings.CutSuffix(want, "*"); prefix && strings.HasPrefix(part, start) {
				part = want
			}
			if i > 0 {
				came += "\r\n"
			}
			if came += part; err != nil || part != want {
				break
			}
		}
	case "<<":
		b := make([]byte, len(plain))
		_, err = io.ReadFull(c.reader, b)
		came = string(b)
	default:
		return "", fmt.Errorf("no verb %q", verb)
	}
	if err == nil && came == plain {
		return line, nil
	}
	return fmt.Sprintf("%s %s %s", name, verb, strings.Trim(strconv.Quote(came), `"`)), err
}

// Body are n bytes from one on of a body in which each byte tells where it stands.
func Body(from, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte((from + i) % 251)
	}
	return b
}

// parseSpan reads "N K", the end of a parseSpan and its beginning.
func parseSpan(text string) (from, to int) {
	end, begin, _ := strings.Cut(text, " ")
	to, _ = strconv.Atoi(end)
	from, _ = strconv.Atoi(begin)
	return from, to
}

// readRequest reads one readRequest. It returns as much of the first line as was asked for.
func (c *conn) readRequest(want string) (came string, err error) {
	r := textproto.NewReader(c.reader)
	if came, err = r.ReadLine(); err != nil {
		return came, err
	}
	head, err := r.ReadMIMEHeader()
	if err != nil {
		return came, err
	}
	if want, ok := strings.CutPrefix(want, "head "); ok {
		if strings.HasPrefix(came, want) {
			came = want
		}
		return came, nil
	}
	length, _ := strconv.ParseInt(head.Get("Content-Length"), 10, 64)
	if _, err = io.CopyN(io.Discard, c.reader, length); strings.HasPrefix(came, want) {
		came = want
	}
	return came, err
}

func (p *Player) conn(name string, accept bool) (*conn, error) {
	if c := p.conns[name]; c != nil && !accept {
		return c, nil
	}
	var nc net.Conn
	var err error
	if l, ok := p.listeners[name]; ok {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(stepTimeout))
		nc, err = l.Accept()
	} else {
		nc, err = net.Dial("tcp", p.Target)
	}
	if err != nil {
		return nil, err
	}
	if old := p.conns[name]; old != nil {
		p.test.Cleanup(func() { old.Close() }) // stays open: only further steps go elsewhere
	}
	p.conns[name] = &conn{nc, bufio.NewReader(nc)}
	return p.conns[name], nil
}
