package loopback

import (
	"os/exec"
	"runtime"
	"sync"
)

// launcher starts processes from one OS thread that does not end before them. The kernel kills the processes when that
// thread ends (Pdeathsig), so that no process keeps running after the emulator's process, however that one ends.
type launcher struct {
	calls   chan func()
	stopped sync.WaitGroup
}

func newLauncher() *launcher {
	l := &launcher{calls: make(chan func())}
	l.stopped.Go(func() {
		runtime.LockOSThread()
		for call := range l.calls {
			call()
		}
	})
	return l
}

func (l *launcher) start(cmd *exec.Cmd) error {
	started := make(chan error, 1)
	l.calls <- func() { started <- cmd.Start() }
	return <-started
}

// close ends the thread. All processes must have ended.
func (l *launcher) close() {
	close(l.calls)
	l.stopped.Wait()
}
