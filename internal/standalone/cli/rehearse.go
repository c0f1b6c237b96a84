package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"

	"mulleinrouter/internal/emulator/faulttest"
)

// Rehearse plays a timeline of faults.
type Rehearse struct {
	File      string  `arg:"" help:"A timeline: a file, or one of those that ship (deploy/faulttests) by its name, such as duty-holder."`
	Ingresses int     `help:"So many ingresses instead of those that the file names."`
	Seed      uint64  `help:"Another seed than the file's."`
	Dir       string  `type:"path" help:"Folder for files and logs; it stays. Default: a temporary one."`
	Events    string  `type:"path" placeholder:"FILE" help:"What was done and seen, as JSON lines."`
	Slack     float64 `default:"1" help:"Times the limits of what is expected, for a slow machine."`
	Repeat    int     `default:"1" help:"Play it so often, with seeds that follow each other, and tell medians and the worst over all."`
	Beside    int     `default:"1" help:"So many of them side by side."`
}

// timeline reads a file, or one that ships.
func timeline(name string) (*faulttest.Timeline, error) {
	if _, err := os.Stat(name); errors.Is(err, fs.ErrNotExist) && filepath.Base(name) == name && filepath.Ext(name) == "" {
		return faulttest.Shipped(name)
	}
	return faulttest.Read(name)
}

var errNotHeld = errors.New("not all that was expected held")

// Run plays it.
func (c *Rehearse) Run(p *Program) error {
	t, err := timeline(c.File)
	if err != nil {
		return badFile{err}
	}
	t.Ingresses, t.Seed = cmp.Or(c.Ingresses, t.Ingresses), cmp.Or(c.Seed, t.Seed)
	program, err := os.Executable()
	if err != nil {
		return err
	}
	o := faulttest.Options{Program: program, Dir: c.Dir, Progress: p.out, Slack: c.Slack}
	if c.Events != "" {
		f, err := os.Create(c.Events)
		if err != nil {
			return badFile{err}
		}
		defer f.Close()
		o.Events = f
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Fprintf(p.out, "%s: %d ingresses on loopback, %v\n", t.Name, t.Ingresses, t.Lasts)
	if c.Repeat > 1 {
		return c.often(ctx, p.out, t, o)
	}
	report, err := faulttest.Play(ctx, t, o)
	if err != nil {
		return err
	}
	fmt.Fprintln(p.out)
	report.Write(p.out)
	if !report.Good() {
		return errNotHeld
	}
	return nil
}

// often plays it again and again. One that fails is told with its seed, and its files stay where a folder was named.
func (c *Rehearse) often(ctx context.Context, out io.Writer, t *faulttest.Timeline, o faulttest.Options) error {
	var mu sync.Mutex
	var all []*faulttest.Report
	failed := 0
	turns, playing := make(chan struct{}, max(1, c.Beside)), sync.WaitGroup{}
	o.Progress, o.Events = nil, nil
	for i := range c.Repeat {
		turns <- struct{}{}
		playing.Add(1)
		go func() {
			defer func() { <-turns; playing.Done() }()
			one, p := *t, o
			one.Seed = t.Seed + uint64(i)
			if p.Dir != "" {
				p.Dir = filepath.Join(p.Dir, fmt.Sprint(one.Seed))
			}
			report, err := faulttest.Play(ctx, &one, p)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failed++
				fmt.Fprintf(out, "seed %d: %v\n", one.Seed, err)
				return
			case !report.Good():
				failed++
				fmt.Fprintf(out, "seed %d: not all held\n", one.Seed)
				report.Write(out)
			case p.Dir != "":
				os.RemoveAll(p.Dir)
			}
			all = append(all, report)
		}()
	}
	playing.Wait()
	if len(all) > 0 {
		fmt.Fprintln(out)
		faulttest.Table(out, all)
	}
	fmt.Fprintf(out, "%d of %d held\n", c.Repeat-failed, c.Repeat)
	if failed > 0 {
		return errNotHeld
	}
	return ctx.Err()
}
