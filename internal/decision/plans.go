package decision

import (
	"fmt"
	"hash/fnv"
	"strconv"

	"mulleinrouter/internal/decision/ratelimit"
)

// Tag is one word for a plan's numbers, the same at all gateways where they are the same. The plan's name is
// no part of it. It keeps the counter's totals of one quota apart from those of another.
//
// It hashes the values of the fields as fmt prints them: the order of Plan's fields must not change, and
// neither Plan nor its fields may have a String method.
func (p Plan) Tag() string {
	p.Name = ""
	h := fnv.New32a()
	fmt.Fprint(h, p)
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

// limitSplit divides the plan's hard rate limit among the gateways of a customer.
func (p *Plan) limitSplit(gateways float64, hasCounter bool) ratelimit.Split {
	return ratelimit.Split{
		Rate:     p.LimitRate,
		Burst:    p.LimitBurst,
		Slack:    p.LimitSlack,
		Gateways: gateways,
		Counter:  hasCounter,
	}
}

// forwardsExcess reports whether requests over quota are forwarded: they earn more than they cost.
func (p *Plan) forwardsExcess() bool { return p.ExcessValue > p.ExcessCost }

// initialLimitTokens is what all gateways together take their own parts of the rate limit to hold when they
// start, in units.
//
// Where excess is forwarded that is nothing: a gateway that was killed cannot know what it spent. Where it is
// not, it is two thirds of the quota's burst, as the quota bounds what is admitted and the rate limit is well
// above it. In the model, with gateways killed three times in a second, the limit held so; with all of the
// burst it broke.
func (p *Plan) initialLimitTokens() float64 {
	if p.forwardsExcess() {
		return 0
	}
	return p.Burst * 2 / 3
}
