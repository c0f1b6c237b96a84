package upstreamconn

import "mulleinrouter/internal/decision"

// A request may be written in two parts, the last byte some milliseconds after the rest: a server that has forgotten
// a connection answers the first part with a reset, and with the last byte still here that proves that nothing ran. The
// hold costs its time on each request. It is made where it can prove something:
//
//   - on connections to a server that lost one unawares a moment ago, for whatever reason: it restarts, is full, or
//     forgets connections sooner than it says;
//   - before a request that must not run twice: without a proof, its client is told that it failed;
//   - on a connection that has been idle for long. A read that is lost with it is sent again, and the loss is remembered.
const (
	lossMemory = 10.0 // s for which a lost connection tells of the others to its server
	longIdle   = 1.0  // s: one that answered later than this ago may have been forgotten
)

// Evidence is what is known of a connection and a request before that is written.
type Evidence struct {
	New        bool             // nothing has been answered on the connection
	IdleFor    decision.Seconds // since it last answered
	AtMostOnce bool             // the request must not run twice
}

// LossHistory remembers which servers lost connections unawares, and when. It is not safe for use by several goroutines at
// once.
type LossHistory struct{ lastLoss map[string]decision.Seconds }

// Record tells of a connection that ended without a word while it was idle, or as a request came on it.
func (h *LossHistory) Record(server string, now decision.Seconds) {
	if h.lastLoss == nil {
		h.lastLoss = map[string]decision.Seconds{}
	}
	h.lastLoss[server] = now
}

// HoldLastByte tells whether the last byte of a request is to be held back.
func (h *LossHistory) HoldLastByte(server string, now decision.Seconds, e Evidence) bool {
	if at, ok := h.lastLoss[server]; ok && now-at < lossMemory {
		return true
	}
	return e.AtMostOnce || !e.New && e.IdleFor > longIdle
}

// Expire drops what is too old to tell anything.
func (h *LossHistory) Expire(now decision.Seconds) {
	for server, at := range h.lastLoss {
		if now-at >= lossMemory {
			delete(h.lastLoss, server)
		}
	}
}
