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

// Parts of a process's log that are shown, in bytes.
const (
	maxLogTail  = 400
	maxRaceText = 4000 // behind the first line of a race report
	raceLead    = 30   // before it
	maxPanic    = 2000
)

const metricsPath = "/metrics"

// process is one program on a machine, over all its incarnations.
type process struct {
	machine *machine
	program string

	mu            sync.Mutex    // guards the fields below
	cmd           *exec.Cmd     // of the latest incarnation
	done          chan struct{} // closed once this incarnation has ended
	stopRequested bool          // this incarnation was asked to end
	noRestart     bool          // it is not to be started again
	running       bool
	starts        int
	cpu           time.Duration // of incarnations that ended
	peakMemory    int64         // bytes, the maximum over ended incarnations
}

// start starts a process that is not running and may still be started. It is started again when it ends by itself.
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

// command returns the command of one incarnation.
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
		"GORACE=halt_on_error=1", // in programs that are built with the race detector, a race ends the process
	}
	cmd.Stdout = log
	cmd.Stderr = log
	// A process group of its own: an interrupt from the terminal is for us to pass on.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// metricsPort is where the process serves metrics, if it does.
func (p *process) metricsPort() int {
	return p.machine.cluster.ports.metrics + slices.Index(p.machine.processes, p)
}

func (p *process) logPath() string { return filepath.Join(p.machine.dir, p.program+".log") }

func (p *process) String() string { return p.program + " on " + p.machine.name }

// supervise waits for the end of one incarnation, and starts the next one if it ended by itself.
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

// logTail returns the end of the process's log, or the report of a race or a panic in it.
func (p *process) logTail() string {
	content, _ := os.ReadFile(p.logPath())
	text := string(content)
	if at := strings.Index(text, "DATA RACE"); at >= 0 {
		return text[max(0, at-raceLead):min(len(text), at+maxRaceText)]
	}
	if at := strings.LastIndex(text, "panic:"); at >= 0 {
		return text[at:min(len(text), at+maxPanic)]
	}
	return strings.TrimSpace(text[max(0, len(text)-maxLogTail):])
}

// signal sends a signal to the incarnation that runs; stop says that the signal is to end it.
func (p *process) signal(s syscall.Signal, stop bool) (done <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if p.running {
		if stop { // the child's Rusage would state the memory of this process, from before the exec
			p.peakMemory = max(p.peakMemory, readUsage(p.cmd.Process.Pid).peakMemory)
		}
		p.stopRequested = p.stopRequested || stop
		p.cmd.Process.Signal(s)
	}
	return p.done
}

// preventRestart has the process stay down once it ends.
func (p *process) preventRestart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noRestart = true
}

func (p *process) kill() { <-p.signal(syscall.SIGKILL, true) }

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does; killed tells that it came to that.
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

// recordKilled notes that the process had to be killed after the grace period.
func (p *process) recordKilled() {
	p.machine.cluster.recorder.notef("%v did not end within the grace after SIGTERM", p)
}

// usage returns what all incarnations used.
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
