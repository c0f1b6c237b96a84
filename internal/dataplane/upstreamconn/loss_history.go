package upstreamconn

import "mulleinrouter/internal/decision"

// A request may be written in two parts, with the last byte some milliseconds after the rest. A server that has already
// dropped the connection answers the first part with a reset. If the reset arrives before the last byte is written, it
// proves that the request was not executed. Holding back the last byte adds latency to the request, so it is done only
// if it may provide such a proof:
//
//   - on connections to a server that lost a connection a moment ago, for whatever reason: the server restarts, is
//     overloaded, or closes idle connections sooner than it announces;
//   - before a request that must be executed at most once: without a proof, its client gets a failure;
//   - on a connection that has been idle for longer than longIdleTime. On another connection, an idempotent request may
//     be lost, but it is retried, and the recorded loss makes the first rule apply to the requests after it.
const (
	lossRetention decision.Seconds = 10 // seconds for which a lost connection counts against the others to its server
	longIdleTime  decision.Seconds = 1  // seconds of idleness after which a server may have dropped a connection
)

// WriteConditions describes a connection and a request before the request is written to the connection.
type WriteConditions struct {
	New        bool             // no answer has arrived on the connection
	IdleFor    decision.Seconds // time since its last answer, seconds
	AtMostOnce bool             // the request must be executed at most once
}

// LossHistory records when each server last lost a connection. The zero value is empty.
type LossHistory struct {
	lastLoss map[string]decision.Seconds // time of the last loss, by server
}

// Record records the loss of a connection, which ended or became unusable while it was idle, while a request was
// written to it, or before the answer was complete.
func (lh *LossHistory) Record(server string, now decision.Seconds) {
	if lh.lastLoss == nil {
		lh.lastLoss = map[string]decision.Seconds{}
	}
	lh.lastLoss[server] = now
}

// HoldLastByte reports whether the last byte of a request must be held back.
func (lh *LossHistory) HoldLastByte(server string, now decision.Seconds, c WriteConditions) bool {
	if at, ok := lh.lastLoss[server]; ok && now-at < lossRetention {
		return true
	}
	return c.AtMostOnce || !c.New && c.IdleFor > longIdleTime
}

// Expire drops losses that no longer count.
func (lh *LossHistory) Expire(now decision.Seconds) {
	for server, at := range lh.lastLoss {
		if now-at >= lossRetention {
			delete(lh.lastLoss, server)
		}
	}
}
