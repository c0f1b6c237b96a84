package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinrouter/internal/race"
)

// program is the path of the program that TestMain builds, with the race detector if the tests are built with it. The
// folder also has the programs proxy, agent and control, which the command try runs.
var program string

// TestMain builds the programs into a temporary folder for the time of the tests.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "mulleinrouter")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		program = filepath.Join(dir, "mulleinrouter")
		arguments := []string{"build", "-o", dir + string(filepath.Separator)}
		if race.Enabled {
			arguments = append(arguments, "-race")
		}
		arguments = append(arguments, ".", "../proxy", "../agent", "../control")
		if out, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
			return 1
		}
		return m.Run()
	}())
}

// process is a running process of the program.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	lines  chan string // lines of its log, buffered so that the process does not block before the test reads them
	unread []string    // lines that awaitLine has read and not yet returned
	exited bool        // set by exitCode, which waits for the process
}

// startProcess starts the program, and kills it at the end of the test if it still runs.
func startProcess(t *testing.T, env ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(program), lines: make(chan string, 10000)}
	p.cmd.Env = append(os.Environ(), env...)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.lines)
		for s := bufio.NewScanner(stderr); s.Scan(); {
			p.lines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		if !p.exited {
			p.cmd.Process.Kill()
			p.cmd.Wait()
		}
	})
	return p
}

// lineTimeout is the time for a process to log an awaited line. It is much longer than a process needs on a busy
// machine, and shorter than the time limit of the tests, at which no log would be printed.
const lineTimeout = time.Minute

// awaitLine waits until the process has logged a line that contains text, and returns the line. It returns each line
// only once. If the log ends first, it returns a message with the lines that are left. If the line does not come within
// lineTimeout, it also fails the test, because one of the lines left may contain what the caller looks for.
func (p *process) awaitLine(text string) string {
	expired := time.After(lineTimeout)
	for i := 0; ; i++ {
		if i == len(p.unread) {
			select {
			case line, more := <-p.lines:
				if !more {
					return "the log ended without the expected line: " + strings.Join(p.unread, "\n")
				}
				p.unread = append(p.unread, line)
			case <-expired:
				left := strings.Join(p.unread, "\n")
				p.t.Errorf("the log has no line with %q after %v:\n%s", text, lineTimeout, left)
				return left
			}
		}
		if line := p.unread[i]; strings.Contains(line, text) {
			p.unread = slices.Delete(p.unread, i, i+1)
			return line
		}
	}
}

// exitCode waits until the process ends, and returns its exit code.
func (p *process) exitCode() int {
	p.exited = true
	for range p.lines { // Wait closes the pipe, so the log must be read to its end first
	}
	p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}
