package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one program on a machine, over all its lives.
type process struct {
	machine       *machine
	program string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // closed once this life has ended
	stopRequested   bool          // this life was told to end
	noRestart    bool          // it is not to be started again
	starts  int
	cpu     time.Duration // of lives that ended
	peakMemory    int64         // bytes, the most of any life
	running bool
}

// launcher starts processes from one thread that lives as long as they: the kernel ends them with it (Pdeathsig),
// however it dies.
type launcher struct {
	calls chan func()
	over  sync.WaitGroup
}

func newLauncher() *launcher {
	l := &launcher{calls: make(chan func())}
	l.over.Go(func() {
		runtime.LockOSThread()
		for call := range l.calls {
			call()
		}
	})
	return l
}

func (l *launcher) start(cmd *exec.Cmd) error {
	expected := make(chan error, 1)
	l.calls <- func() { expected <- cmd.Start() }
	return <-expected
}

func (l *launcher) close() {
	close(l.calls)
	l.over.Wait()
}

// start starts a process that is not running. It is started again when it ends by itself.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running {
		return nil
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := []string{"serve"}
	if p.machine.cluster.linkFaults && p.program != proxyProgram {
		args = append(args, "--links", p.machine.linksPath())
	}
	cmd := exec.Command(filepath.Join(p.machine.cluster.options.ProgramsDir, p.program), args...)
	cmd.Dir = p.machine.dir
	cmd.Env = []string{
		"MULLEINROUTER_CONFIG=" + p.machine.settingsPath(p.program),
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"LANG=C",
		"GORACE=halt_on_error=1",
	} // for programs that have the race detector in them: a race ends the process
	cmd.Stdout, cmd.Stderr = log, log
	// A group of its own: an interrupt from the terminal is for us to pass on.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.machine.cluster.launcher.start(cmd); err != nil {
		return fmt.Errorf("%s on %s: %w", p.program, p.machine.name, err)
	}
	p.cmd, p.done, p.stopRequested, p.noRestart, p.running = cmd, make(chan struct{}), false, false, true
	p.starts++
	if !p.machine.core {
		p.machine.cluster.recorder.processStart(p.machine.name, p.machine.cluster.now())
	}
	go p.supervise(cmd, p.done)
	return nil
}

func (p *process) logPath() string { return filepath.Join(p.machine.dir, p.program+".log") }

// supervise waits for the end of one life.
func (p *process) supervise(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.running = false
	p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	asked, hold := p.stopRequested, p.noRestart
	p.mu.Unlock()
	close(done)
	if asked || hold {
		return
	}
	p.machine.cluster.recorder.exit(p.program+" on "+p.machine.name, p.machine.cluster.now(), fmt.Sprintf("%v: %s", err, p.logTail()))
	select {
	case <-p.machine.cluster.traffic.Done():
	case <-time.After(restartDelay):
		p.start()
	}
}

// logTail is the end of its log.
func (p *process) logTail() string {
	text, _ := os.ReadFile(p.logPath())
	if at := strings.Index(string(text), "DATA RACE"); at >= 0 {
		return string(text[max(0, at-30):min(len(text), at+4000)])
	}
	if at := strings.LastIndex(string(text), "panic:"); at >= 0 {
		return string(text[at:min(len(text), at+2000)])
	}
	return strings.TrimSpace(string(text[max(0, len(text)-maxLogTail):]))
}

// signal sends a signal to the life that runs; asked says that its end is wanted.
func (p *process) signal(s syscall.Signal, asked bool) (done <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		stopped := make(chan struct{})
		close(stopped)
		return stopped
	}
	if p.running {
		if asked { // Rusage would tell the memory of this process here, from before the child's exec
			_, peak := readUsage(p.cmd.Process.Pid)
			p.peakMemory = max(p.peakMemory, peak)
		}
		p.stopRequested = p.stopRequested || asked
		p.cmd.Process.Signal(s)
	}
	return p.done
}

func (p *process) kill() { <-p.signal(syscall.SIGKILL, true) }

// terminate sends SIGTERM, and SIGKILL after the grace, as the platform does; late tells that it came to that.
func (p *process) terminate(grace time.Duration) (late bool) {
	done := p.signal(syscall.SIGTERM, true)
	select {
	case <-done:
	case <-time.After(grace):
		p.kill()
		return true
	}
	return false
}

// usage is what all its lives used.
func (p *process) usage() (cpu time.Duration, peak int64, starts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cpu, peak = p.cpu, p.peakMemory
	if p.running {
		c, m := readUsage(p.cmd.Process.Pid)
		cpu, peak = cpu+c, max(peak, m)
	}
	return cpu, peak, p.starts
}

// readUsage reads from /proc what a process used: processor time, and the most memory that was resident.
func readUsage(pid int) (cpu time.Duration, peak int64) {
	dir := "/proc/" + strconv.Itoa(pid)
	if b, err := os.ReadFile(dir + "/stat"); err == nil {
		_, rest, _ := strings.Cut(string(b), ") ")
		if f := strings.Fields(rest); len(f) > 12 {
			user, _ := strconv.ParseInt(f[11], 10, 64)
			system, _ := strconv.ParseInt(f[12], 10, 64)
			cpu = time.Duration(user+system) * (time.Second / 100) // the kernel counts in hundredths
		}
	}
	if b, err := os.ReadFile(dir + "/status"); err == nil {
		_, rest, _ := strings.Cut(string(b), "VmHWM:")
		if f := strings.Fields(rest); len(f) > 0 {
			kb, _ := strconv.ParseInt(f[0], 10, 64)
			peak = kb * 1024
		}
	}
	return cpu, peak
}
