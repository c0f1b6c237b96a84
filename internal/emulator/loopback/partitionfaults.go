package loopback

import (
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const edgePartitionTime = 3 * time.Second // duration of a partition of an edge machine from all core nodes

func partitionCore(cl *cluster, target int) {
	m := cl.coreAt(target)
	m.partition(cl.otherCore(m), bothWays)
}

func partitionCoreOutward(cl *cluster, target int) {
	m := cl.coreAt(target)
	m.partition(cl.otherCore(m), outward)
}

func partitionCoreInward(cl *cluster, target int) {
	m := cl.coreAt(target)
	m.partition(cl.otherCore(m), inward)
}

func partitionCoreFromAll(cl *cluster, target int) {
	m := cl.coreAt(target)
	cl.faultRuns.Go(func() {
		if cl.sleepInTraffic(partitionTime / 4) {
			cl.edgeAt(target).restart()
		}
	})
	m.partition(append(cl.otherCore(m), cl.edge...), bothWays)
}

func partitionCoreAndKill(cl *cluster, target int) {
	m := cl.coreAt(target)
	others := cl.otherCore(m)
	cl.faultRuns.Go(func() {
		if cl.sleepInTraffic(partitionTime / 2) {
			m.crash(m.processes, nil)
		}
	})
	m.partition(others, bothWays)
	for _, o := range others {
		if cl.sleepInTraffic(seconds(cl.options.Bounds.CatchUp)) {
			o.crash(o.processes, nil)
		}
	}
}

func partitionEdge(cl *cluster, target int) {
	m := cl.edgeAt(target)
	endFault := cl.recorder.beginFault(invariants.Fault{Machine: m.name, From: cl.now()})
	restore := cl.cutLinks(m, cl.core, bothWays)
	cl.sleepInTraffic(edgePartitionTime)
	restore()
	endFault(cl.now())
}
