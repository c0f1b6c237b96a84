package loopback

import (
	"os"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	suspendTime  = 4 * time.Second // time for which a core node is suspended
	rollInterval = 2 * time.Second // between the restarts of two machines

	// minCoreForWipe is the minimum number of core nodes with which the cluster must tolerate the loss of a disk. With
	// fewer, the nodes that remain are no majority.
	minCoreForWipe = 3
)

func (cl *cluster) edgeAt(n int) *machine { return cl.edge[n%len(cl.edge)] }
func (cl *cluster) coreAt(n int) *machine { return cl.core[n%len(cl.core)] }

// otherCore returns all core nodes except one.
func (cl *cluster) otherCore(m *machine) []*machine {
	return slices.DeleteFunc(slices.Clone(cl.core), func(o *machine) bool { return o == m })
}

func killProxy(cl *cluster, target int) {
	m := cl.edgeAt(target)
	m.crash([]*process{m.process(proxyProgram)}, nil)
}

func killAgent(cl *cluster, target int) {
	m := cl.edgeAt(target)
	m.crash([]*process{m.process(agentProgram)}, nil)
}

func killEdge(cl *cluster, target int) {
	m := cl.edgeAt(target)
	m.crash(m.processes, nil)
}

func killCore(cl *cluster, target int) {
	m := cl.coreAt(target)
	m.crash(m.processes, nil)
}

func killAllCore(cl *cluster, _ int) { cl.blackout(nil) }

func wipeCore(cl *cluster, _ int) {
	cl.changeRoute(cl.classes[0])
	m := cl.lastAcknowledger.Load()
	m.crash(m.processes, m.wipeDisk)
}

func killAllCoreAndWipe(cl *cluster, _ int) {
	cl.changeRoute(cl.classes[0])
	cl.blackout(cl.lastAcknowledger.Load())
}

func rollCore(cl *cluster, _ int) { cl.roll(cl.core) }

func rollEdge(cl *cluster, _ int) { cl.roll(cl.edge) }

// roll restarts machines one at a time.
func (cl *cluster) roll(machines []*machine) {
	for _, m := range machines {
		m.restart()
		cl.sleepInTraffic(rollInterval)
	}
}

func restartEdge(cl *cluster, target int) { cl.edgeAt(target).restart() }

func retireCore(cl *cluster, target int) { cl.coreAt(target).retire() }

func suspendCore(cl *cluster, target int) { cl.coreAt(target).suspend(suspendTime) }

// wipeDisk erases a core node's disk, if the cluster must tolerate that. The cluster must tolerate the loss of one disk
// at a time, if it has at least minCoreForWipe core nodes. A loss is over when the machine has been started again and
// has then had the time of Bounds.CatchUp to catch up with the others.
func (m *machine) wipeDisk() {
	recorder := &m.cluster.recorder
	if !m.cluster.beginDiskLoss(m) {
		recorder.notef("the disk of %s was not erased: too few core nodes, or another disk loss is not over", m.name)
		return
	}
	if err := os.RemoveAll(m.diskPath()); err != nil {
		recorder.notef("%s: %v", m.name, err)
	}
	if err := os.MkdirAll(m.diskPath(), 0o700); err != nil {
		recorder.notef("%s: %v", m.name, err)
	}
}

// beginDiskLoss reports whether a core node may lose its disk now. If so, it records the loss. The node that lost its
// disk last may lose it again at any time.
func (cl *cluster) beginDiskLoss(m *machine) (allowed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.core) < minCoreForWipe {
		return false
	}
	caughtUp := cl.diskLostAt + cl.options.Bounds.CatchUp + restartDelay.Seconds()
	if cl.diskLost != nil && cl.diskLost != m && cl.now() <= caughtUp {
		return false
	}
	cl.diskLost = m
	cl.diskLostAt = cl.now()
	return true
}

// blackout kills all core nodes and starts them again once all have been killed. In between, it erases the disk of one
// of them, unless wiped is nil. It records its start as that of the closing fault, so that package invariants checks
// that no change acknowledged before is lost.
func (cl *cluster) blackout(wiped *machine) {
	endFault := cl.recorder.beginFault(invariants.Fault{Machine: "core", Core: true, Majority: true, From: cl.now()})
	cl.recorder.update(func() { cl.recorder.log.Closing = cl.now() })
	var killed, restarted sync.WaitGroup
	killed.Add(len(cl.core))
	for _, m := range cl.core {
		restarted.Go(func() {
			m.crash(m.processes, func() {
				if m == wiped {
					m.wipeDisk()
				}
				killed.Done()
				killed.Wait()
			})
		})
	}
	restarted.Wait()
	endFault(cl.now())
}
