package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Maximum sizes of the parts of a process's log that are shown, in bytes.
const (
	maxLogTailBytes    = 400
	maxRaceReportBytes = 4000 // from the words "DATA RACE" on
	raceLeadBytes      = 30   // before the words "DATA RACE"
	maxPanicBytes      = 2000
)

const metricsPath = "/metrics"

// process is one program on a machine. Each start of the program begins a new incarnation of the process.
type process struct {
	machine *machine
	program string

	mu            sync.Mutex    // guards the fields below
	cmd           *exec.Cmd     // latest incarnation
	done          chan struct{} // closed when the latest incarnation has ended
	stopRequested bool          // the latest incarnation was told to end
	noRestart     bool          // the process must not be started again
	running       bool
	starts        int           // number of incarnations
	cpu           time.Duration // total CPU time of ended incarnations
	peakMemory    int64         // maximum over incarnations that were told to end, bytes
}

// start starts the process, unless it is running or must not be started again. If the process ends by itself, supervise
// starts it again.
func (p *process) start() error {
	cl := p.machine.cluster
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running || p.noRestart {
		return nil
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := p.command(log)
	if err := cl.launcher.start(cmd); err != nil {
		return fmt.Errorf("%s on %s: %w", p.program, p.machine.name, err)
	}
	done := make(chan struct{})
	p.cmd = cmd
	p.done = done
	p.stopRequested = false
	p.running = true
	p.starts++
	if !p.machine.core {
		cl.recorder.processStart(p.machine.name, cl.now())
	}
	cl.background.Go(func() { p.supervise(cmd, done) })
	return nil
}

// command returns the command for one incarnation.
func (p *process) command(log *os.File) *exec.Cmd {
	cl := p.machine.cluster
	args := []string{"serve"}
	if cl.linkFaults && p.program != proxyProgram {
		args = append(args, "--links", p.machine.linksPath())
	}
	if cl.options.Metrics {
		args = append(args, "--metrics", fmt.Sprintf("%d%s", p.metricsPort(), metricsPath))
	}
	cmd := exec.Command(filepath.Join(cl.options.ProgramsDir, p.program), args...)
	cmd.Dir = p.machine.dir
	cmd.Env = []string{
		"MULLEINROUTER_CONFIG=" + p.machine.settingsPath(p.program),
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"LANG=C",
		"GORACE=halt_on_error=1", // ends the process at a data race, if it is built with the race detector
	}
	cmd.Stdout = log
	cmd.Stderr = log
	// The process has its own process group, so that it does not receive interrupts from the terminal. The emulator
	// handles these and stops the processes itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// metricsPort returns the port at which the process serves metrics, if metrics are enabled.
func (p *process) metricsPort() int {
	return p.machine.cluster.ports.metrics + slices.Index(p.machine.processes, p)
}

func (p *process) logPath() string { return filepath.Join(p.machine.dir, p.program+".log") }

func (p *process) String() string { return p.program + " on " + p.machine.name }

// supervise waits until one incarnation ends, and starts the next one if it ended by itself.
func (p *process) supervise(cmd *exec.Cmd, done chan<- struct{}) {
	cl := p.machine.cluster
	err := cmd.Wait()
	p.mu.Lock()
	p.running = false
	p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	expected := p.stopRequested || p.noRestart
	p.mu.Unlock()
	close(done)
	if expected {
		return
	}
	cl.recorder.exit(p.String(), cl.now(), fmt.Sprintf("%v: %s", err, p.logTail()))
	if cl.sleepInTraffic(restartDelay) {
		p.start()
	}
}

// logTail returns the last part of the process's log, or the report of a data race or a panic if the log contains one.
func (p *process) logTail() string {
	content, _ := os.ReadFile(p.logPath())
	text := string(content)
	if at := strings.Index(text, "DATA RACE"); at >= 0 {
		return text[max(0, at-raceLeadBytes):min(len(text), at+maxRaceReportBytes)]
	}
	if at := strings.LastIndex(text, "panic:"); at >= 0 {
		return text[at:min(len(text), at+maxPanicBytes)]
	}
	return strings.TrimSpace(text[max(0, len(text)-maxLogTailBytes):])
}

// signal sends a signal to the running incarnation; stop means that the signal is meant to end it. done is closed when
// the incarnation has ended.
func (p *process) signal(s syscall.Signal, stop bool) (done <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if p.running {
		if stop { // read now, because the Rusage of the ended child includes the memory of the emulator before the exec
			p.peakMemory = max(p.peakMemory, readUsage(p.cmd.Process.Pid).peakMemory)
		}
		p.stopRequested = p.stopRequested || stop
		p.cmd.Process.Signal(s)
	}
	return p.done
}

// preventRestart prevents the process from being started again.
func (p *process) preventRestart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noRestart = true
}

func (p *process) kill() { <-p.signal(syscall.SIGKILL, true) }

// terminate sends SIGTERM, and SIGKILL if the process has not ended after the grace period, as the platform does;
// killed reports whether it sent SIGKILL.
func (p *process) terminate(grace time.Duration) (killed bool) {
	done := p.signal(syscall.SIGTERM, true)
	select {
	case <-done:
	case <-time.After(grace):
		p.kill()
		return true
	}
	return false
}

// recordKilled adds a note that the process was killed after the grace period.
func (p *process) recordKilled() {
	p.machine.cluster.recorder.notef("%v did not end within the grace period after SIGTERM", p)
}

// usage returns the resource usage of all incarnations. The peak memory leaves out those that ended by themselves.
func (p *process) usage() ProcessUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := ProcessUsage{Process: p.String(), CPU: p.cpu, PeakMemory: p.peakMemory, Starts: p.starts}
	if p.running {
		current := readUsage(p.cmd.Process.Pid)
		total.CPU += current.cpu
		total.PeakMemory = max(total.PeakMemory, current.peakMemory)
	}
	return total
}
