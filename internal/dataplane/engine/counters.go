package engine

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/decision"
)

// countersInterval is how often an ingress logs what it decided, in seconds: rarely enough that the lines of a fleet
// can be added up.
const countersInterval decision.Seconds = 10

// counters are counts of decisions and of calls of the counter since a time.
type counters struct {
	since              decision.Seconds // 0: not begun
	decided            [4]int           // by Kind
	counterCalls       int              // that have ended
	failedCounterCalls int              // of these, without an answer, or rejected
}

// empty reports whether nothing was counted.
func (c *counters) empty() bool { return c.decided == [4]int{} && c.counterCalls == 0 }

// rotate returns what was counted and begins anew, once it is time to log it. Due: there is something to log.
func (c *counters) rotate(now decision.Seconds) (due bool, counted counters) {
	if c.since == 0 {
		c.since = now
	}
	if now-c.since < countersInterval {
		return false, counters{}
	}
	counted, *c = *c, counters{since: now}
	return !counted.empty(), counted
}

// log writes the counts as one line.
func (c *counters) log(logger log.Logger) {
	level.Info(logger).Log("msg", "decisions counted",
		"code", "engine-counts", "sent", c.decided[Send], "refused", c.decided[Reject], "failed", c.decided[Fail],
		"gone", c.decided[NoAnswer], "calls", c.counterCalls, "unanswered", c.failedCounterCalls,
	)
}
