package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"mulleinrouter/internal/emulator/loopback"
)

// clearLine moves the cursor to the start of the terminal's line and clears the line.
const clearLine = "\r\x1b[K"

// stageTexts describe the stages of a run.
var stageTexts = map[loopback.Stage]string{
	loopback.Starting:  "starting the processes",
	loopback.WarmingUp: "every edge machine serves every route",
	loopback.Traffic:   "clients send requests",
	loopback.Stopping:  "the clients are done",
	loopback.Checking:  "checking what was observed",
}

// progressPrinter prints the progress of a run. On a terminal it updates one line in place, otherwise it prints a line
// for each stage and fault. It is not safe for concurrent use.
type progressPrinter struct {
	out      io.Writer
	terminal bool
	span     time.Duration // planned duration of the traffic
	last     loopback.Progress
	hasLast  bool // last is valid
	lineOpen bool // the terminal's line has text that must be cleared
}

func newProgressPrinter(out io.Writer, span time.Duration) *progressPrinter {
	return &progressPrinter{out: out, terminal: isTerminal(out), span: span}
}

// isTerminal reports whether a writer is a terminal.
func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

// print prints the progress. Without a terminal it prints only new stages and faults.
func (pp *progressPrinter) print(now loopback.Progress) {
	newStage := !pp.hasLast || now.Stage != pp.last.Stage
	newFault := now.Fault != nil && now.Fault != pp.last.Fault
	pp.last = now
	pp.hasLast = true
	if newFault {
		pp.close()
		fmt.Fprintf(pp.out, "%.1f s: %s\n", now.Fault.At.Seconds(), describeFault(now.Fault.Name))
	}
	switch {
	case pp.terminal:
		fmt.Fprint(pp.out, clearLine, pp.line(now))
		pp.lineOpen = true
	case newStage:
		fmt.Fprintln(pp.out, stageTexts[now.Stage])
	}
}

// line returns the text of the terminal's line.
func (pp *progressPrinter) line(now loopback.Progress) string {
	if now.Stage != loopback.Traffic {
		return stageTexts[now.Stage]
	}
	return fmt.Sprintf("%.0f s of %v: %d served, %d rejected, %d failed",
		now.Elapsed.Seconds(), pp.span, now.Served, now.Rejected, now.Failed)
}

// close clears the terminal's line, so that other output can follow.
func (pp *progressPrinter) close() {
	if pp.lineOpen {
		fmt.Fprint(pp.out, clearLine)
		pp.lineOpen = false
	}
}
