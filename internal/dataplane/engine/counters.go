package engine

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/decision"
)

// countsLogInterval is the minimum time between two log lines of decision counts, in seconds. It keeps the number of
// lines so low that those of all ingresses of a fleet can be added up.
const countsLogInterval decision.Seconds = 10

// decisionCounts are counts of decisions and of calls of the counter over a period.
type decisionCounts struct {
	since              decision.Seconds // start of the period; 0: not started
	decided            [4]int           // decisions by Kind
	counterCalls       int              // calls of the counter that have ended
	failedCounterCalls int              // of these, calls that were rejected or not answered
}

// empty reports whether nothing was counted.
func (c *decisionCounts) empty() bool { return c.decided == [4]int{} && c.counterCalls == 0 }

// rotate returns the counts and starts a new period if countsLogInterval has passed. due reports whether the returned
// counts are to be logged; they are not if nothing was counted.
func (c *decisionCounts) rotate(now decision.Seconds) (due bool, counted decisionCounts) {
	if c.since == 0 {
		c.since = now
	}
	if now-c.since < countsLogInterval {
		return false, decisionCounts{}
	}
	counted, *c = *c, decisionCounts{since: now}
	return !counted.empty(), counted
}

// log writes the counts as one line.
func (c *decisionCounts) log(logger log.Logger) {
	level.Info(logger).Log("msg", "decisions counted",
		"code", "engine-counts", "sent", c.decided[Send], "refused", c.decided[Reject], "failed", c.decided[Fail],
		"gone", c.decided[NoAnswer], "calls", c.counterCalls, "unanswered", c.failedCounterCalls,
	)
}
