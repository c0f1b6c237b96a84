package coordinationsoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controlPort = 8580            // port of network.bind.controlAddr
	innerPort   = 7320            // first port of network.innerPortRange
	graceTime   = 6 * time.Second // time that a process may take to end after SIGTERM, before it is killed
	// startupTime is the time after the start of a process in which SIGHUP may end it. A Go program cannot ignore a
	// signal before its packages are initialized, which takes 5 to 12 ms on an idle processor and longer on a busy one.
	startupTime = time.Second
)

// node is one control process with its directory. Each run of its program, from start to end, is an incarnation.
type node struct {
	ip      string
	dir     string
	program string

	lifecycle       sync.Mutex    // serializes the faults that stop and start the process
	mu              sync.Mutex    // guards the fields below
	cmd             *exec.Cmd     // latest incarnation
	done            chan struct{} // closed once the latest incarnation has ended
	endRequested    bool          // whether the latest incarnation was sent SIGTERM or SIGKILL
	unexpectedExits []error       // errors of incarnations that ended without such a signal
	hangups         int           // number of incarnations that SIGHUP ended during their startup
}

func (n *node) controlAddr() string { return fmt.Sprintf("%s:%d", n.ip, controlPort) }

func (n *node) settingsPath() string { return filepath.Join(n.dir, "control.conf") }

func (n *node) linksPath() string { return filepath.Join(n.dir, "links") }

func (n *node) diskPath() string { return filepath.Join(n.dir, "disk") }

// writeSettings writes the settings file. bootstrap stays set in the file until the node loses its disk. The setting
// affects only a node without data, and a node that has lost its disk must join the existing cluster instead.
func (n *node) writeSettings(seeds []string, bootstrap bool) error {
	lines := []string{
		"self.nodeName=core-" + n.ip, "self.role=control", "self.machineClass=core", "self.serving=control",
		"self.hostIp=" + n.ip, "self.zone=z-" + n.ip, "self.region=r", "self.lossCounted=true",
		fmt.Sprintf("self.bootstrap=%t", bootstrap), "self.dataPath=" + n.diskPath(),
		"self.limits.memoryMb=280", "self.limits.maxFds=4096",
		"network.bind.controlAddr=" + n.controlAddr(),
		fmt.Sprintf("network.innerPortRange=%d,%d", innerPort, innerPort+3),
		"network.seedNodes=" + strings.Join(seeds, ","), "network.zones.z-" + n.ip + "=r",
		"platform.beatMs=1500", "platform.configMode=parts", "terms.clauses=base,config,coord",
		"terms.tolerance.machineLosses=1", "terms.bounds.contactMs=3000", "terms.bounds.historyS=20",
	}
	if err := os.MkdirAll(n.diskPath(), 0o700); err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath(), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts a new incarnation of the process, which appends to the log file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(n.program, "serve", "--links", n.linksPath())
	cmd.Dir = n.dir
	cmd.Env = []string{
		"MULLEINROUTER_CONFIG=" + n.settingsPath(), "PATH=" + os.Getenv("PATH"), "GORACE=halt_on_error=1",
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.endRequested = cmd, done, false
	n.mu.Unlock()
	go n.supervise(cmd, done, time.Now())
	return nil
}

// supervise waits for the end of an incarnation. If SIGHUP ended it during its startup, supervise starts the process
// again, as the platform does. Any other end that was not requested is an error.
func (n *node) supervise(cmd *exec.Cmd, done chan struct{}, startedAt time.Time) {
	err := cmd.Wait()
	status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
	hungUp := status.Signaled() && status.Signal() == syscall.SIGHUP && time.Since(startedAt) < startupTime
	n.mu.Lock()
	again := !n.endRequested && hungUp
	switch {
	case again:
		n.hangups++
	case !n.endRequested:
		n.unexpectedExits = append(n.unexpectedExits, fmt.Errorf("%s ended by itself: %w", n.ip, err))
	}
	close(done)
	n.mu.Unlock()
	if again {
		n.restartAfterHangup(done)
	}
}

// restartAfterHangup starts the process again, unless a fault has replaced the ended incarnation meanwhile.
func (n *node) restartAfterHangup(ended chan struct{}) {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	n.mu.Lock()
	replaced := n.done != ended || n.endRequested
	n.mu.Unlock()
	if replaced {
		return
	}
	if err := n.start(); err != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.unexpectedExits = append(n.unexpectedExits, err)
	}
}

// signal sends a signal to the running incarnation, and returns a channel that is closed when it has ended.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endRequested = n.endRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	select {
	case <-n.done: // it has ended, and another process may have its process ID
	default:
		_ = n.cmd.Process.Signal(s)
	}
	return n.done
}

// kill kills the process, also a stopped one, and waits for its end.
func (n *node) kill() { <-n.signal(syscall.SIGKILL) }

// terminate sends SIGTERM, and kills the process if it does not end within graceTime. It reports whether the process
// ended in time.
func (n *node) terminate() (inTime bool) {
	done := n.signal(syscall.SIGTERM)
	select {
	case <-done:
		return true
	case <-time.After(graceTime):
		n.kill()
		return false
	}
}

// unexpectedExitErrors returns an error for each incarnation that ended without a request.
func (n *node) unexpectedExitErrors() []error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unexpectedExits
}

// hangupCount returns the number of incarnations that SIGHUP ended during their startup.
func (n *node) hangupCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hangups
}

// logText returns the output of all incarnations of the process.
func (n *node) logText() string {
	text, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	return string(text)
}
