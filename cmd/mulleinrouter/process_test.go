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

	"mulleinrouter/internal/race"
)

// program is the path of the program that TestMain builds, with the race detector in it if these tests have it. Beside
// it are those of the complete gateway, for try.
var program string

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
	cmd    *exec.Cmd
	lines  chan string // of its log
	unread []string    // lines that awaitLine has passed over
	exited bool
}

// startProcess runs the program until the test ends.
func startProcess(t *testing.T, env ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program), lines: make(chan string, 10000)}
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

// awaitLine waits until the process has logged a line that contains some text. Each line is found once.
func (p *process) awaitLine(text string) string {
	for i := 0; ; i++ {
		if i == len(p.unread) {
			line, more := <-p.lines
			if !more {
				return "the log ended without it: " + strings.Join(p.unread, "\n")
			}
			p.unread = append(p.unread, line)
		}
		if line := p.unread[i]; strings.Contains(line, text) {
			p.unread = slices.Delete(p.unread, i, i+1)
			return line
		}
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode() int {
	p.exited = true
	for range p.lines { // the log must be read to its end before Wait
	}
	p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}
