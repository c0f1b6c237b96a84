package testcluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// script writes a shell script that is run in place of the program, and returns its path and a path for its log.
func script(t *testing.T, commands string) (program, log string) {
	t.Helper()
	dir := t.TempDir()
	program = filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+commands+"\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	return program, filepath.Join(dir, "log")
}

const readyLine = `time=1 code=started listen="127.0.0.1:5" mgmt=127.0.0.1:6 other=7`

func TestLaunch(t *testing.T) {
	program, log := script(t, "echo '"+readyLine+"' >&2; exec sleep 600")
	p, err := Launch(log, "started", program, "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	if p.Addr != "127.0.0.1:5" || p.Mgmt != "127.0.0.1:6" {
		t.Errorf("addresses: got %q and %q, want 127.0.0.1:5 and 127.0.0.1:6", p.Addr, p.Mgmt)
	}
	if err := p.Stop(); err != nil || !p.Stopped() {
		t.Errorf("Stop: got %v, stopped %v, want no error, stopped", err, p.Stopped())
	}
	if err := p.Continue(); err != nil || p.Stopped() {
		t.Errorf("Continue: got %v, stopped %v, want no error, not stopped", err, p.Stopped())
	}
	if _, err := p.CPU(); err != nil {
		t.Errorf("CPU: got %v, want no error", err)
	}
	if err := p.Quit(); err != nil {
		t.Errorf("Quit: got %v, want no error", err)
	}
	select {
	case <-p.done:
	default:
		t.Error("the process runs after Quit")
	}
	text, err := os.ReadFile(log)
	if err != nil || strings.TrimSpace(string(text)) != readyLine {
		t.Errorf("log: got %q, %v, want %q", text, err, readyLine)
	}
}

func TestLaunchExit(t *testing.T) {
	program, log := script(t, "echo 'no such file' >&2; exit 1")
	_, err := Launch(log, "started", program, "serve", "-c", "file")
	var exit *ExitError
	if !errors.As(err, &exit) {
		t.Fatalf("Launch: got %v, want an ExitError", err)
	}
	want := "testcluster: program serve -c file ended before it was ready: no such file\n"
	if err.Error() != want {
		t.Errorf("Launch: got %q, want %q", err, want)
	}
}

func TestErrorTexts(t *testing.T) {
	for _, test := range []struct {
		err  error
		want string
	}{
		{
			&NotReadyError{Args: []string{"serve", "-c"}, Code: "started"},
			"testcluster: serve -c: no log line with the code started within 20s",
		},
		{&NotTerminatedError{PID: 7}, "testcluster: process 7 did not end in time after SIGTERM"},
	} {
		t.Run(fmt.Sprintf("%T", test.err), func(t *testing.T) {
			if got := test.err.Error(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestLogField(t *testing.T) {
	for _, test := range []struct{ name, want string }{
		{"code", "started"},
		{"listen", "127.0.0.1:5"},
		{"mgmt", "127.0.0.1:6"},
		{"other", "7"},
		{"absent", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := logField(readyLine, test.name); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
