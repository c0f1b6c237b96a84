package faulttest

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/emulator/testcluster"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
)

// upgradeOverlap is how long the old and the new process of an upgrade run at the same time. Operators wait for the
// same time, so that health checks have seen the new process before the old one ends.
const upgradeOverlap = time.Second

// action is a step that is being carried out.
type action struct {
	player *player
	step   Step
	nodes  []*node // members that the step applies to
}

// actions holds the function that carries out each action. The returned undo, if not nil, ends the effect of the step.
var actions = map[Action]func(*action) (undo func(), err error){
	ActionLink:          (*action).setLinkFault,
	ActionStop:          (*action).stop,
	ActionKill:          (*action).kill,
	ActionStart:         (*action).start,
	ActionTwin:          (*action).startTwin,
	ActionSave:          (*action).saveDir,
	ActionTerminate:     (*action).terminate,
	ActionUpgrade:       (*action).upgrade,
	ActionVoters:        (*action).changeVoters,
	ActionLameDuck:      (*action).lameDuck,
	ActionFill:          (*action).fillDisk,
	ActionDisk:          (*action).failDisk,
	ActionRevise:        (*action).writeRevision,
	ActionCounter:       (*action).setCounter,
	ActionServer:        (*action).failQuoteServer,
	ActionShift:         (*action).shiftCustomers,
	ActionReload:        (*action).reload,
	ActionTransferLease: (*action).transferLease,
	ActionGarbage:       (*action).sendGarbage,
	ActionKeys:          (*action).changeKeys,
}

// actionsWithoutNodes are the actions that apply to no node. Any other action that names no member applies to the lease
// holder.
var actionsWithoutNodes = []Action{
	ActionLink, ActionKeys, ActionVoters, ActionCounter, ActionServer, ActionShift,
}

// carryOut carries out a step, and returns the function that undoes it, or nil.
func (p *player) carryOut(step Step) (undo func(), err error) {
	what := string(step.Action)
	if step.Argument != "" {
		what += " " + step.Argument
	}
	p.log.add(eventDone, what, step.Members...)
	a := &action{player: p, step: step, nodes: p.nodesOf(step.Members)}
	if len(a.nodes) == 0 && !slices.Contains(actionsWithoutNodes, step.Action) {
		if holder := p.leaseHolder(); holder != nil {
			a.nodes = []*node{holder}
			p.log.add(eventDone, "the lease holder is", holder.name)
		}
	}
	return actions[step.Action](a)
}

// forEach calls a function with each node and its index in the environment, concurrently, and joins the errors.
func (a *action) forEach(call func(n *node, i int) error) error {
	var calls sync.WaitGroup
	errs := make([]error, len(a.nodes))
	for k, n := range a.nodes {
		calls.Go(func() {
			if err := call(n, slices.Index(a.player.env.nodes, n)); err != nil {
				errs[k] = fmt.Errorf("%s %s: %w", a.step.Action, n.name, err)
			}
		})
	}
	calls.Wait()
	return errors.Join(errs...)
}

// forEachProcess calls a function with the process of each node that runs one. Errors become problems of the report.
func (a *action) forEachProcess(call func(*testcluster.Process) error) {
	for _, n := range a.nodes {
		if process := n.running(); process != nil {
			a.player.reportProblem(call(process))
		}
	}
}

func (a *action) beginAbsence() {
	for _, n := range a.nodes {
		n.beginAbsence()
	}
}

func (a *action) setLinkFault() (undo func(), err error) {
	a.player.env.setLinks(a.step.LinkFault, a.step.LinkFault.Fault)
	return func() { a.player.env.setLinks(a.step.LinkFault, faultnet.Fault{}) }, nil
}

// setLinks sets the fault of the links that a link fault names. The zero fault restores them.
func (e *environment) setLinks(l LinkFault, fault faultnet.Fault) {
	for _, from := range l.From {
		for _, to := range l.To {
			if from == to && from != faultnet.AnyNode {
				continue
			}
			e.links.Set(from, to, l.Protocol, fault)
			if l.Bidirectional {
				e.links.Set(to, from, l.Protocol, fault)
			}
		}
	}
}

// stop suspends processes, one directly after the other, so that none has the time to notice the absence of another one
// before it is suspended itself.
func (a *action) stop() (undo func(), err error) {
	var errs []error
	for _, n := range a.nodes {
		n.beginAbsence()
		if process := n.running(); process != nil {
			errs = append(errs, process.Stop())
		}
	}
	return a.resume, errors.Join(errs...)
}

func (a *action) resume() {
	for _, n := range a.nodes {
		if process := n.running(); process != nil {
			a.player.reportProblem(process.Continue())
		}
		n.endAbsence()
	}
	a.player.pollNow(a.nodes)
}

func (a *action) kill() (undo func(), err error) {
	a.beginAbsence()
	return nil, a.forEach(func(n *node, _ int) error {
		process := n.running()
		n.setProcess(nil)
		process.Kill()
		return nil
	})
}

// start starts the nodes that do not run, with the folder that they had, an empty one, or the saved one. It skips nodes
// that run, because a file cannot say which member was the lease holder that an earlier step killed, and therefore
// names several members.
func (a *action) start() (undo func(), err error) {
	return nil, a.forEach(func(n *node, i int) error {
		if n.running() != nil {
			return nil
		}
		if err := n.restoreDir(a.step.Argument); err != nil {
			return err
		}
		process, err := a.player.env.launch(i, false)
		if err != nil {
			return err
		}
		n.setProcess(process)
		n.endAbsence()
		return nil
	})
}

// restoreDir prepares a node's folder for a start.
func (n *node) restoreDir(folder string) error {
	switch folder {
	case folderEmpty:
		return errors.Join(os.RemoveAll(n.dir), os.MkdirAll(n.dir, 0o755))
	case folderSaved:
		return copyDir(n.dir, n.savedDir)
	default:
		return nil
	}
}

func (a *action) startTwin() (undo func(), err error) {
	return nil, a.forEach(func(n *node, i int) error {
		process, err := a.player.env.launch(i, true)
		n.setTwin(process)
		return err
	})
}

func (a *action) saveDir() (undo func(), err error) {
	return nil, a.forEach(func(n *node, _ int) error { return copyDir(n.savedDir, n.dir) })
}

func (a *action) terminate() (undo func(), err error) {
	a.beginAbsence()
	return nil, a.forEach(func(n *node, _ int) error {
		err := n.running().Quit()
		n.setProcess(nil)
		return err
	})
}

// upgrade starts a new process while the old one runs, and ends one of the two.
func (a *action) upgrade() (undo func(), err error) {
	return nil, a.forEach(func(n *node, i int) error {
		newProcess, err := a.player.env.launch(i, false)
		if err != nil {
			return err
		}
		time.Sleep(upgradeOverlap)
		old := n.running()
		switch a.step.Argument {
		case killedNew:
			newProcess.Kill()
			return nil
		case killedOld:
			n.setProcess(newProcess)
			old.Kill()
			return nil
		default:
			n.setProcess(newProcess)
			return old.Quit()
		}
	})
}

// changeVoters adds or removes a voter with the command fleet voters. It asks the members in order until one accepts
// the change.
func (a *action) changeVoters() (undo func(), err error) {
	change := strings.Fields(a.step.Argument)
	for _, n := range a.player.env.nodes {
		process := n.responsive()
		if process == nil {
			continue
		}
		args := append([]string{"fleet", "voters", "--mgmt", process.Mgmt}, change...)
		var output []byte
		output, err = exec.Command(a.player.options.Program, args...).CombinedOutput()
		if err == nil {
			a.player.log.add(eventDone, "voters are "+strings.Join(strings.Fields(string(output)), " "))
			return nil, nil
		}
		err = fmt.Errorf("voters %s at %s: %w: %s", a.step.Argument, n.name, err, output)
	}
	return nil, err
}

func (a *action) lameDuck() (undo func(), err error) {
	err = a.forEach(func(n *node, _ int) error {
		_, err := call(n.running(), callLameDuck)
		return err
	})
	return a.rejoin, err
}

func (a *action) rejoin() {
	a.forEachProcess(func(process *testcluster.Process) error {
		_, err := call(process, callRejoin)
		return err
	})
}

func (a *action) fillDisk() (undo func(), err error) {
	err = a.forEach(func(n *node, _ int) error { return n.running().Fill(true) })
	return a.emptyDisk, err
}

func (a *action) emptyDisk() {
	a.forEachProcess(func(process *testcluster.Process) error { return process.Fill(false) })
}

func (a *action) failDisk() (undo func(), err error) {
	err = a.forEach(func(n *node, _ int) error {
		return n.writeFaults(a.player.env.scenario, diskFaults[a.step.Argument])
	})
	return a.repairDisk, err
}

func (a *action) repairDisk() {
	for _, n := range a.nodes {
		a.player.reportProblem(n.writeFaults(a.player.env.scenario, nil))
	}
}

func (a *action) writeRevision() (undo func(), err error) {
	number := a.player.nextRevision()
	return nil, a.forEach(func(n *node, _ int) error { return a.player.env.writeRevision(n, number) })
}

func (a *action) setCounter() (undo func(), err error) {
	return nil, a.player.env.setCounter(a.step.Argument)
}

// failQuoteServer makes a quote server answer every request with an error.
func (a *action) failQuoteServer() (undo func(), err error) {
	number, err := strconv.Atoi(a.step.Argument)
	if err != nil {
		return nil, err
	}
	server := a.player.env.quoteServers[number-1]
	server.SetFaults(&fakes.Faults{Error: 1})
	return func() { server.SetFaults(nil) }, nil
}

func (a *action) shiftCustomers() (undo func(), err error) {
	a.player.env.busyShift.Add(1)
	return nil, nil
}

func (a *action) reload() (undo func(), err error) {
	return nil, a.forEach(func(n *node, _ int) error { return n.running().Signal(syscall.SIGHUP) })
}

func (a *action) transferLease() (undo func(), err error) {
	return nil, a.forEach(func(n *node, _ int) error {
		_, err := call(n.running(), callTransfer+leaseservice.RoleExport+" "+n.name)
		return err
	})
}

func (a *action) sendGarbage() (undo func(), err error) {
	return nil, a.forEach(func(n *node, _ int) error { return n.sendGarbage() })
}

func (a *action) changeKeys() (undo func(), err error) {
	return nil, a.player.env.changeGossipKeys(a.step.Argument)
}
