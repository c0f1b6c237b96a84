package exchange

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	stepTimeout  = 20 * time.Second // ends a test that hangs; no step succeeds because of it
	pollInterval = time.Millisecond // of Until

	neverHappened = "never" // what Until returns after the timeout
)

// Until waits for a condition. For hooks to return: it is empty, or after 20 seconds a word that no script contains.
func Until(condition func() bool) string {
	deadline := time.Now().Add(stepTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return neverHappened
		}
		time.Sleep(pollInterval)
	}
	return ""
}

// Player plays the scripts of one test.
type Player struct {
	Target string                              // address that clients connect to
	Hooks  map[string]func(text string) string // by name, without the @

	test          testing.TB
	substitutions map[string]string // of let, by key
	listeners     map[string]net.Listener
	conns         map[string]*conn
}

// conn is a connection with a buffer before it.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

// New returns a player with listeners on free ports of the loopback.
func New(t testing.TB, listeners ...string) *Player {
	t.Helper()
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
		t.Cleanup(func() { l.Close() })
		p.listeners[name] = l
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

// Each plays every script that matches the pattern in a subtest of its own.
func Each(t *testing.T, pattern string, play func(t *testing.T, script string)) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no script %s: %v", pattern, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { play(t, file) })
	}
}

// Play plays one script, and fails the test at the first step that differs from what is recorded.
func (p *Player) Play(script string) {
	p.test.Helper()
	recorded, err := os.ReadFile(script)
	if err != nil {
		p.test.Fatal(err)
	}
	var want, got []string
	for _, line := range strings.Split(string(recorded), "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" || line[0] == '#' {
			continue
		}
		want = append(want, line)
		played, err := p.playLine(line)
		if err != nil {
			played = fmt.Sprintf("%s: %v", line, err)
		}
		got = append(got, played)
		if played != line {
			break // the steps after it assume that it succeeded
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		p.test.Fatalf("%s (-recorded +now):\n%s", script, diff)
	}
}

// conn returns the connection of a name: an open one, or the next to the listener of this name, or one that connects
// to the target. With accept, it is always the next one to the listener.
func (p *Player) conn(name string, accept bool) (*conn, error) {
	open := p.conns[name]
	if open != nil && !accept {
		return open, nil
	}
	connection, err := p.connect(name)
	if err != nil {
		return nil, err
	}
	if open != nil {
		p.test.Cleanup(func() { open.Close() }) // it stays open, but further steps use the new one
	}
	p.conns[name] = &conn{Conn: connection, reader: bufio.NewReader(connection)}
	return p.conns[name], nil
}

func (p *Player) connect(name string) (net.Conn, error) {
	listener, ok := p.listeners[name]
	if !ok {
		return net.Dial("tcp", p.Target)
	}
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(stepTimeout))
	return listener.Accept()
}
