package decision

import (
	"fmt"
	"hash/fnv"
	"strconv"

	"mulleinrouter/internal/decision/ratelimit"
)

// Tag returns a hash of a plan's numbers. Equal numbers give the same hash at all gateways. The plan's name
// is not included. The tag separates the counter's totals of different quotas.
//
// It hashes the values of the fields as fmt prints them, so the order of Plan's fields must not change, and
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

// forwardsExcess reports whether requests over quota are forwarded, because they earn more than they cost.
func (p *Plan) forwardsExcess() bool { return p.ExcessValue > p.ExcessCost }

// initialLimitTokens returns the units that the gateways' own parts of the rate limit hold together when
// gateways start.
//
// If excess is forwarded, they hold nothing, because a gateway that was killed and restarts does not know
// what it spent. Otherwise they hold two thirds of the quota's burst, because the quota bounds what is
// admitted and the rate limit is well above it. In a simulation that kills gateways three times in a
// second, the limit holds with two thirds of the burst and is exceeded with all of it.
func (p *Plan) initialLimitTokens() float64 {
	if p.forwardsExcess() {
		return 0
	}
	return p.Burst * 2 / 3
}
