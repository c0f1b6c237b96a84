package testcluster

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulleinrouter/internal/emulator/procstat"
)

const (
	// readyTimeout bounds the wait for the log line that a process writes when it is ready.
	readyTimeout = 20 * time.Second

	// quitTimeout bounds the wait for a process to end after SIGTERM.
	quitTimeout = 20 * time.Second
)

// Process is a process of the program. A goroutine copies its log to a file until the process has ended; Kill and Quit
// wait for that.
type Process struct {
	Addr, Mgmt string // the addresses that it listens on, if the awaited log line has them

	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended and its log is complete
	kill sync.Once

	mu      sync.Mutex // guards the fields below
	stopped bool
	waiters map[string]chan string // by the code of the awaited log line
}

// Launch starts a process and waits for a log line with a code. It appends the log to a file. It returns an ExitError
// if the process ends before it writes the line, and a NotReadyError if the line does not follow within readyTimeout.
func Launch(logPath, code, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, append([]string{"--log-format", "logfmt"}, args...)...)
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("testcluster: %w", err)
	}
	file, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("testcluster: %w", err)
	}
	if err := cmd.Start(); err != nil {
		file.Close()
		return nil, fmt.Errorf("testcluster: %w", err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{}), waiters: map[string]chan string{}}
	ready := p.awaitLine(code)
	go p.copyLog(pipe, file)
	select {
	case line := <-ready:
		p.Addr, p.Mgmt = logField(line, "listen"), logField(line, "mgmt")
		return p, nil
	case <-p.done:
		text, _ := os.ReadFile(logPath)
		return nil, &ExitError{Program: program, Args: args, Log: text}
	case <-time.After(readyTimeout):
		p.Kill()
		return nil, &NotReadyError{Args: args, Code: code}
	}
}

// copyLog copies the log to a file and notifies waiters, until the process has ended.
func (p *Process) copyLog(log io.Reader, file *os.File) {
	defer close(p.done)
	defer file.Close()
	for lines := bufio.NewScanner(log); lines.Scan(); {
		fmt.Fprintln(file, lines.Text())
		p.notify(lines.Text())
	}
	p.cmd.Wait() // callers check the log, not the exit status
}

// logField returns the value of a field of a log line, without quotes. It is empty if the line does not have the field.
func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	if inner, ok := strings.CutPrefix(rest, `"`); ok {
		rest, _, _ = strings.Cut(inner, `"`)
		return rest
	}
	rest, _, _ = strings.Cut(rest, " ")
	return rest
}

// awaitLine returns a channel that gets the next log line with a code. A code has at most one waiter, so a new waiter
// replaces the previous one.
func (p *Process) awaitLine(code string) <-chan string {
	c := make(chan string, 1)
	p.mu.Lock()
	p.waiters[code] = c
	p.mu.Unlock()
	return c
}

// notify sends a log line to the waiter for its code, if there is one.
func (p *Process) notify(line string) {
	_, rest, _ := strings.Cut(line, " code=")
	code, _, _ := strings.Cut(rest, " ")
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.waiters[code]; c != nil {
		delete(p.waiters, code)
		c <- line
	}
}

// Kill kills the process and waits until it has ended. It may be called more than once, and on nil.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.kill.Do(func() { p.cmd.Process.Kill() })
	<-p.done
}

// Signal sends a signal. It returns no error if the process has already ended.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("testcluster: %w", err)
	}
	return nil
}

// Stop suspends the process until Continue.
func (p *Process) Stop() error { return p.setStopped(true, syscall.SIGSTOP) }

// Continue resumes the process after Stop.
func (p *Process) Continue() error { return p.setStopped(false, syscall.SIGCONT) }

func (p *Process) setStopped(stopped bool, signal os.Signal) error {
	p.mu.Lock()
	p.stopped = stopped
	p.mu.Unlock()
	return p.Signal(signal)
}

// Stopped reports whether the process is suspended by Stop.
func (p *Process) Stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// Fill simulates a full disk for the process, or ends the simulation. It sets the kernel's limit on the size of files
// that the process writes (RLIMIT_FSIZE) to 0, so that no file of the process can grow.
func (p *Process) Fill(full bool) error {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 0
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("testcluster: %w", err)
	}
	return nil
}

// CPU returns the processor time that the process has used, in user and system mode.
func (p *Process) CPU() (time.Duration, error) {
	cpu, err := procstat.CPU(p.cmd.Process.Pid)
	if err != nil {
		return 0, fmt.Errorf("testcluster: %w", err)
	}
	return cpu, nil
}

// Quit sends SIGTERM, as a planned restart does, and waits until the process has ended. It returns a
// NotTerminatedError if that takes longer than quitTimeout.
func (p *Process) Quit() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return nil
	case <-time.After(quitTimeout):
		return &NotTerminatedError{PID: p.cmd.Process.Pid}
	}
}
