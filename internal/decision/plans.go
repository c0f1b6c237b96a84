package decision

import (
	"fmt"
	"hash/fnv"
	"strconv"

	"mulleinrouter/internal/decision/ratelimit"
)

// Tag is one word for a plan's figures, the same at all gateways where they are the same. The plan's name is
// no part of it. It keeps the counter's totals of one quota apart from those of another.
func (p Plan) Tag() string {
	p.Name = ""
	h := fnv.New32a()
	fmt.Fprint(h, p)
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

// split is the plan's ceiling among the gateways of a customer.
func (p *Plan) limitSplit(doors float64, counter bool) ratelimit.Split {
	return ratelimit.Split{Rate: p.LimitRate, Burst: p.LimitBurst, Slack: p.LimitSlack, Gateways: doors, Counter: counter}
}

// sendsBeyond tells whether requests are sent on beyond the quota: they earn more than they cost.
func (p *Plan) forwardsExcess() bool { return p.ExcessValue > p.ExcessCost }

// ceilingAtStart is what all gateways together take their own parts of the ceiling to hold when they start, in units. Where requests are sent on
// beyond the quota that is nothing: one that was killed cannot know what it spent. Where none are, it is two thirds of the quota's burst: what
// runs is bounded by the quota, and the ceiling is well above that (in the model, killed thrice in a second; with all of the burst it broke).
func (p *Plan) initialLimitTokens() float64 {
	if p.forwardsExcess() {
		return 0
	}
	return p.Burst * 2 / 3
}
