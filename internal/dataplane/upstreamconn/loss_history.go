package upstreamconn

import "mulleinrouter/internal/decision"

// A request may be written in two parts, the last byte some milliseconds after the rest: a server that has forgotten
// the connection answers the first part with a reset, and while the last byte is held back that proves that nothing
// has run. Each request that is held back pays for it in latency, so it is done only where it may prove something:
//
//   - on connections to a server that lost one a moment ago, for whatever reason: it restarts, is overloaded, or
//     closes idle connections sooner than it says;
//   - before a request that must run at most once: without a proof, its client gets a failure;
//   - on a connection that has been idle for long. An idempotent request that is lost with it is retried, and the
//     loss is remembered.
const (
	lossMemory decision.Seconds = 10 // how long a lost connection counts against the others to its server
	longIdle   decision.Seconds = 1  // a server may have forgotten a connection that has been idle for longer
)

// Evidence is what is known of a connection and a request before the request is written.
type Evidence struct {
	New        bool             // nothing has been answered on the connection
	IdleFor    decision.Seconds // since its last answer
	AtMostOnce bool             // the request must run at most once
}

// LossHistory remembers when each server last lost a connection. Its zero value is empty.
type LossHistory struct {
	lastLoss map[string]decision.Seconds // by server
}

// Record records a connection that ended while it was idle, or as a request was written to it.
func (lh *LossHistory) Record(server string, now decision.Seconds) {
	if lh.lastLoss == nil {
		lh.lastLoss = map[string]decision.Seconds{}
	}
	lh.lastLoss[server] = now
}

// HoldLastByte reports whether the last byte of a request is to be held back.
func (lh *LossHistory) HoldLastByte(server string, now decision.Seconds, e Evidence) bool {
	if at, ok := lh.lastLoss[server]; ok && now-at < lossMemory {
		return true
	}
	return e.AtMostOnce || !e.New && e.IdleFor > longIdle
}

// Expire drops losses that no longer count.
func (lh *LossHistory) Expire(now decision.Seconds) {
	for server, at := range lh.lastLoss {
		if now-at >= lossMemory {
			delete(lh.lastLoss, server)
		}
	}
}
