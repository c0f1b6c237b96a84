package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/emulator/testcluster"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
)

// runSteps does the steps at their times.
func (p *player) runSteps(ctx context.Context) error {
	for _, s := range p.env.scenario.Steps {
		if err := p.sleepUntil(ctx, s.At); err != nil {
			return err
		}
		undo, err := p.carryOut(s)
		if err != nil {
			return err
		}
		if undo == nil || s.Duration == 0 {
			continue
		}
		p.undoing.Add(1)
		go func() {
			defer p.undoing.Done()
			if p.sleepUntil(ctx, s.At+s.Duration) == nil {
				p.logEvent("undone", s.Action+" is over", s.Members...)
				undo()
			}
		}()
	}
	return nil
}

// nodesOf are the members with these names.
func (p *player) nodesOf(names []string) (all []*node) {
	for _, n := range p.env.nodes {
		if slices.Contains(names, n.name) {
			all = append(all, n)
		}
	}
	return all
}

// action is one step of a timeline as it is carried out.
type action struct {
	player *player
	step   Step
	nodes  []*node // that it is about
}

// actions are what a step may do, by its name. Undo, where there is one, ends what the step began.
var actions = map[string]func(*action) (undo func(), err error){
	"link":     (*action).link,
	"stop":     (*action).stop,
	"kill":     (*action).kill,
	"start":    (*action).start,
	"twin":     (*action).twin,
	"save":     (*action).save,
	"term":     (*action).term,
	"upgrade":  (*action).upgrade,
	"voters":   (*action).voters,
	"lameduck": (*action).lameDuck,
	"fill":     (*action).fill,
	"disk":     (*action).disk,
	"revise":   (*action).revise,
	"counter":  (*action).counter,
	"server":   (*action).server,
	"shift":    (*action).shift,
	"reload":   (*action).reload,
	"give":     (*action).give,
	"rubbish":  (*action).rubbish,
	"keys":     (*action).keys,
}

// actionsWithoutNodes are the actions that concern no node, even where none is named. Another one without a name is about the
// holder.
var actionsWithoutNodes = []string{"link", "keys", "voters", "counter", "shift", "server"}

// carryOut does a step, and gives what undoes it.
func (p *player) carryOut(s Step) (undo func(), err error) {
	p.logEvent("done", s.Action+map[bool]string{true: " " + s.Argument}[s.Argument != ""], s.Members...)
	a := &action{player: p, step: s, nodes: p.nodesOf(s.Members)}
	if len(a.nodes) == 0 && !slices.Contains(actionsWithoutNodes, s.Action) {
		if h := p.leaseHolder(); h != nil {
			a.nodes = []*node{h}
			p.logEvent("done", "it is", h.name)
		}
	}
	carryOut, known := actions[s.Action]
	if !known {
		return nil, nil // the file was checked: it is one that another part of the player sees to
	}
	return carryOut(a)
}

// each does something with each node, at the same time, and joins what went wrong.
func (a *action) each(do func(n *node, i int) error) error {
	var out sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, n := range a.nodes {
		out.Go(func() {
			if err := do(n, slices.Index(a.player.env.nodes, n)); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Errorf("%s %s: %w", a.step.Action, n.name, err))
				mu.Unlock()
			}
		})
	}
	out.Wait()
	return errors.Join(errs...)
}

// running does something with the process of each node that runs one; what goes wrong is noted.
func (a *action) running(do func(*testcluster.Process) error) {
	for _, n := range a.nodes {
		if process := n.running(); process != nil {
			a.player.reportProblem(do(process))
		}
	}
}

func (a *action) setAbsent(away bool) {
	for _, n := range a.nodes {
		n.setAbsent(away)
	}
}

func (a *action) link() (undo func(), err error) {
	a.player.setLinks(a.step.LinkFault, false)
	return func() { a.player.setLinks(a.step.LinkFault, true) }, nil
}

// stop stops processes, not each in its own time but together.
func (a *action) stop() (undo func(), err error) {
	var errs []error
	for _, n := range a.nodes {
		n.setAbsent(true)
		if process := n.running(); process != nil {
			errs = append(errs, process.Stop())
		}
	}
	return func() {
		for _, n := range a.nodes {
			if process := n.running(); process != nil {
				a.player.reportProblem(process.Continue())
			}
			n.setAbsent(false)
		}
		a.player.pollNow(a.nodes)
	}, errors.Join(errs...)
}

func (a *action) kill() (undo func(), err error) {
	a.setAbsent(true)
	return nil, a.each(func(n *node, _ int) error {
		process := n.running()
		n.setProcess(nil)
		process.Kill()
		return nil
	})
}

// start starts those that do not run: with the folder they had, an empty one, or the one that was saved.
func (a *action) start() (undo func(), err error) {
	return nil, a.each(func(n *node, i int) error {
		if n.running() != nil {
			return nil // of whoever it was that was killed
		}
		switch a.step.Argument {
		case "empty":
			if err := errors.Join(os.RemoveAll(n.dir), os.MkdirAll(n.dir, 0o755)); err != nil {
				return err
			}
		case "saved":
			if err := copyDir(n.dir, n.savedDir); err != nil {
				return err
			}
		}
		process, err := a.player.env.launch(i, false)
		if err != nil {
			return err
		}
		n.setProcess(process)
		n.setAbsent(false)
		return nil
	})
}

func (a *action) twin() (undo func(), err error) {
	return nil, a.each(func(n *node, i int) (err error) {
		n.twin, err = a.player.env.launch(i, true)
		return err
	})
}

func (a *action) save() (undo func(), err error) {
	return nil, a.each(func(n *node, _ int) error { return copyDir(n.savedDir, n.dir) })
}

func (a *action) term() (undo func(), err error) {
	a.setAbsent(true)
	return nil, a.each(func(n *node, _ int) error {
		process := n.running()
		err := process.Quit()
		n.setProcess(nil)
		return err
	})
}

// upgrade starts a process beside another, and ends one of the two.
func (a *action) upgrade() (undo func(), err error) {
	return nil, a.each(func(n *node, i int) error {
		young, err := a.player.env.launch(i, false)
		if err != nil {
			return err
		}
		time.Sleep(time.Second) // until its yes has been heard, as the operators do
		old := n.running()
		switch a.step.Argument {
		case "young":
			young.Kill()
			return nil
		case "old":
			n.setProcess(young)
			old.Kill()
			return nil
		}
		n.setProcess(young)
		return old.Quit()
	})
}

func (a *action) voters() (undo func(), err error) {
	return nil, a.player.changeVoters(a.step.Argument)
}

func (a *action) lameDuck() (undo func(), err error) {
	err = a.each(func(n *node, _ int) error { _, err := call(n.running().Mgmt, "LAMEDUCK"); return err })
	return func() {
		a.running(func(process *testcluster.Process) error { _, err := call(process.Mgmt, "REJOIN"); return err })
	}, err
}

func (a *action) fill() (undo func(), err error) {
	err = a.each(func(n *node, _ int) error { return n.running().Fill(true) })
	return func() {
		a.running(func(process *testcluster.Process) error { return process.Fill(false) })
	}, err
}

func (a *action) disk() (undo func(), err error) {
	err = a.each(func(n *node, _ int) error { return n.writeFaults(a.player.env.scenario, diskFaults[a.step.Argument]) })
	return func() {
		for _, n := range a.nodes {
			a.player.reportProblem(n.writeFaults(a.player.env.scenario, nil))
		}
	}, err
}

func (a *action) revise() (undo func(), err error) {
	a.player.mu.Lock()
	a.player.revision++
	number := a.player.revision + 1 // the first is there from the start
	a.player.mu.Unlock()
	return nil, a.each(func(n *node, _ int) error { return a.player.env.writeRevision(n, number) })
}

func (a *action) counter() (undo func(), err error) {
	return nil, a.player.env.setCounter(a.step.Argument)
}

func (a *action) server() (undo func(), err error) {
	i, _ := strconv.Atoi(a.step.Argument) // checked with the file
	a.player.env.quoteServers[i-1].SetFaults(&fakes.Faults{Error: 1})
	return func() { a.player.env.quoteServers[i-1].SetFaults(nil) }, nil
}

func (a *action) shift() (undo func(), err error) {
	a.player.env.busyShift.Add(1)
	return nil, nil
}

func (a *action) reload() (undo func(), err error) {
	return nil, a.each(func(n *node, _ int) error { return n.running().Signal(syscall.SIGHUP) })
}

func (a *action) give() (undo func(), err error) {
	return nil, a.each(func(n *node, _ int) error {
		_, err := call(n.running().Mgmt, "GIVE "+leaseservice.RoleExport+" "+n.name)
		return err
	})
}

func (a *action) rubbish() (undo func(), err error) {
	return nil, a.each(func(n *node, _ int) error { return a.player.env.sendGarbage(n) })
}

// keys adds a key to the fleet's, turns their order, or drops all but the first.
func (a *action) keys() (undo func(), err error) {
	w := a.player.env
	switch a.step.Argument {
	case "add":
		w.keys = append(w.keys, newKey())
	case "turn":
		slices.Reverse(w.keys)
	case "drop":
		w.keys = w.keys[:1]
	}
	return nil, w.writeKeys()
}

// setLinks gives links their fault, or heals them.
func (p *player) setLinks(l LinkFault, heal bool) {
	f := l.Fault
	if heal {
		f = faultnet.Fault{}
	}
	for _, from := range l.From {
		for _, to := range l.To {
			if from == to && from != "*" {
				continue
			}
			p.env.links.Set(from, to, l.Protocol, f)
			if l.Bidirectional {
				p.env.links.Set(to, from, l.Protocol, f)
			}
		}
	}
}
