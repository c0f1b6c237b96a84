package loopback

import (
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

// progressInterval is the time between two calls of Options.Progress while there is traffic.
const progressInterval = 250 * time.Millisecond

// Stage is a stage of a run.
type Stage int

// Stages of a run, in order. The traffic begins after the warm-up.
const (
	Starting Stage = iota
	WarmingUp
	Traffic
	Stopping
	Checking
)

// Progress describes the state of a run at one point in time.
type Progress struct {
	Stage                    Stage
	Elapsed                  time.Duration // time since the start of the traffic
	Served, Rejected, Failed int64         // number of requests so far
	Fault                    *Fault        // last fault that was injected; nil: none yet
}

// countOutcome counts a request of a client by its last attempt.
func (cl *cluster) countOutcome(t *invariants.Attempt) {
	if !t.Probe {
		cl.finished[outcomeOf(t)].Add(1)
	}
}

// report passes the state of the run to Options.Progress.
func (cl *cluster) report(stage Stage) {
	if cl.options.Progress == nil {
		return
	}
	p := Progress{
		Stage:    stage,
		Served:   cl.finished[Served].Load(),
		Rejected: cl.finished[Rejected].Load(),
		Failed:   cl.finished[Failed].Load(),
		Fault:    cl.lastFault.Load(),
	}
	if stage >= Traffic {
		p.Elapsed = min(seconds(cl.now()-cl.trafficStart), cl.options.TrafficTime)
	}
	cl.options.Progress(p)
}

// awaitTrafficEnd returns when the traffic time is over, and reports the progress until then.
func (cl *cluster) awaitTrafficEnd() {
	end := time.Now().Add(cl.options.TrafficTime)
	for left := cl.options.TrafficTime; left > 0; left = time.Until(end) {
		cl.report(Traffic)
		if !cl.sleepInTraffic(min(left, progressInterval)) {
			return
		}
	}
}
