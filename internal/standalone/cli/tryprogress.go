package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"mulleinrouter/internal/emulator/loopback"
)

// clearLine returns to the begin of a terminal's line and empties it.
const clearLine = "\r\x1b[K"

// stageTexts say what a run does.
var stageTexts = map[loopback.Stage]string{
	loopback.Starting:  "starting the processes",
	loopback.WarmingUp: "every edge machine serves every route",
	loopback.Traffic:   "clients send requests",
	loopback.Stopping:  "the clients are done",
	loopback.Checking:  "checking what was observed",
}

// progressPrinter tells a person what a run does: on a terminal in one line that changes, otherwise in a line for each
// stage and fault. It is used by one goroutine at a time.
type progressPrinter struct {
	out      io.Writer
	terminal bool
	span     time.Duration // of the traffic
	last     loopback.Progress
	begun    bool // last was printed
	unended  bool // the terminal's line is not empty
}

func newProgressPrinter(out io.Writer, span time.Duration) *progressPrinter {
	return &progressPrinter{out: out, terminal: isTerminal(out), span: span}
}

// isTerminal tells whether what is written there is shown on a terminal.
func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

// print prints a progress, where it is worth a line.
func (pp *progressPrinter) print(now loopback.Progress) {
	newStage := !pp.begun || now.Stage != pp.last.Stage
	newFault := now.Fault != nil && now.Fault != pp.last.Fault
	pp.last = now
	pp.begun = true
	if newFault {
		pp.close()
		fmt.Fprintf(pp.out, "%.1f s: %s\n", now.Fault.At.Seconds(), describeFault(now.Fault.Name))
	}
	switch {
	case pp.terminal:
		fmt.Fprint(pp.out, clearLine, pp.line(now))
		pp.unended = true
	case newStage:
		fmt.Fprintln(pp.out, stageTexts[now.Stage])
	}
}

// line is the line of a terminal.
func (pp *progressPrinter) line(now loopback.Progress) string {
	if now.Stage != loopback.Traffic {
		return stageTexts[now.Stage]
	}
	return fmt.Sprintf("%.0f s of %v: %d served, %d rejected, %d failed",
		now.Elapsed.Seconds(), pp.span, now.Served, now.Rejected, now.Failed)
}

// close empties the terminal's line, for other output.
func (pp *progressPrinter) close() {
	if pp.unended {
		fmt.Fprint(pp.out, clearLine)
		pp.unended = false
	}
}
