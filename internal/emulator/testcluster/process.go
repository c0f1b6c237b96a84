package testcluster

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readyMost = 20 * time.Second
	quitMost  = 20 * time.Second
)

// Process is one of the program's that the rig has started.
type Process struct {
	Addr, Mgmt string // it listens at, if its first line tells

	cmd  *exec.Cmd
	done chan struct{}
	once sync.Once

	mu      sync.Mutex
	stopped bool
	waits   map[string]chan string // for a line with a code
}

// Launch starts a process, and waits for a line of its log with a code. The log goes to a file.
func Launch(logPath, code, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, append([]string{"--log-format", "text"}, args...)...)
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	file, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	if err := cmd.Start(); err != nil {
		file.Close()
		return nil, fmt.Errorf("rig: %w", err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{}), waits: map[string]chan string{}}
	up := p.Await(code)
	go func() {
		defer close(p.done)
		defer file.Close()
		for lines := bufio.NewScanner(pipe); lines.Scan(); {
			fmt.Fprintln(file, lines.Text())
			p.line(lines.Text())
		}
		cmd.Wait()
	}()
	select {
	case line := <-up:
		p.Addr, p.Mgmt = field(line, "listen"), field(line, "mgmt")
		return p, nil
	case <-p.done:
		text, _ := os.ReadFile(logPath)
		return nil, fmt.Errorf("rig: %s %s ended at once: %s", filepath.Base(program), strings.Join(args, " "), text)
	case <-time.After(readyMost):
		p.Kill()
		return nil, fmt.Errorf("rig: %s: no line with %s in %v", strings.Join(args, " "), code, readyMost)
	}
}

// field is a quoted field of a log line.
func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	if inner, ok := strings.CutPrefix(rest, `"`); ok {
		rest, _, _ = strings.Cut(inner, `"`)
		return rest
	}
	rest, _, _ = strings.Cut(rest, " ")
	return rest
}

// Await gives the next line with a code.
func (p *Process) Await(code string) <-chan string {
	c := make(chan string, 1)
	p.mu.Lock()
	p.waits[code] = c
	p.mu.Unlock()
	return c
}

func (p *Process) line(text string) {
	_, rest, _ := strings.Cut(text, " code=")
	code, _, _ := strings.Cut(rest, " ")
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.waits[code]; c != nil {
		delete(p.waits, code)
		c <- text
	}
}

// Done is closed once it has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends it at once, and waits for that.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.once.Do(func() { p.cmd.Process.Kill() })
	<-p.done
}

// Signal sends it a signal.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// Stop has it stand still; Continue lets it go on.
func (p *Process) Stop() error { return p.standing(true, syscall.SIGSTOP) }

// Continue lets it go on after Stop.
func (p *Process) Continue() error { return p.standing(false, syscall.SIGCONT) }

func (p *Process) standing(is bool, s os.Signal) error {
	p.mu.Lock()
	p.stopped = is
	p.mu.Unlock()
	return p.Signal(s)
}

// Stopped tells whether it stands still.
func (p *Process) Stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// Fill has its disk be full, or no more: no file of its grows. It is the limit of a file's size, set from outside.
func (p *Process) Fill(full bool) error {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 0
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// CPU is the processor time that it has used.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("rig: %w", err)
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name before it may hold blanks
	words := strings.Fields(rest)
	if len(words) < 13 {
		return 0, errors.New("rig: no processor time is told")
	}
	var ticks time.Duration
	for _, w := range words[11:13] { // utime and stime, in hundredths of a second
		n, err := strconv.ParseInt(w, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("rig: %w", err)
		}
		ticks += time.Duration(n)
	}
	return ticks * 10 * time.Millisecond, nil
}

// Quit ends it as a planned restart does.
func (p *Process) Quit() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return nil
	case <-time.After(quitMost):
		return fmt.Errorf("rig: process %d does not end", p.cmd.Process.Pid)
	}
}
