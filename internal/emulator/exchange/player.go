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
	stepTimeout  = 20 * time.Second // makes a test that hangs fail; no step succeeds by reaching it
	pollInterval = time.Millisecond // between two evaluations of a condition in Until

	conditionTimedOut = "never" // returned by Until after the timeout
)

// Until waits until a condition is true. Hooks return its result: an empty string, or after 20 seconds a word that no
// script contains, so that the step fails.
func Until(condition func() bool) string {
	deadline := time.Now().Add(stepTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return conditionTimedOut
		}
		time.Sleep(pollInterval)
	}
	return ""
}

// Player replays the scripts of one test.
type Player struct {
	Target string                              // address that clients connect to
	Hooks  map[string]func(text string) string // by name, without the @

	test          testing.TB
	substitutions map[string]string // texts of let steps, by key
	listeners     map[string]net.Listener
	conns         map[string]*conn
}

// conn is a connection with a buffered reader.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

// New returns a player with listeners of the given names on free loopback ports.
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

// Addr returns the address of a listener.
func (p *Player) Addr(name string) string { return p.listeners[name].Addr().String() }

// Each calls play for every script file that matches the pattern, each in its own subtest.
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

// Play replays one script, and fails the test at the first step whose result differs from the recorded one.
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
			break // the following steps assume that this one succeeded
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		p.test.Fatalf("%s (-recorded +now):\n%s", script, diff)
	}
}

// conn returns the connection of a name. If none is open, it accepts the next connection to the listener of this name,
// or connects to the target if there is no such listener. With accept, it opens a new connection in any case.
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
		p.test.Cleanup(func() { open.Close() }) // stays open until the test ends; further steps use the new connection
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
