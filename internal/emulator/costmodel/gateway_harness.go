package costmodel

import (
	"fmt"

	"mulleinrouter/internal/decision"
)

// designIngresses is the number of ingresses at the design size (docs/CAPACITY.md).
const designIngresses = 3300

const (
	// harnessStart is the simulated time of the first request in seconds, long after the end of the slow start.
	harnessStart = 20
	tickInterval = 0.05 // tick interval of decision.Gateway, in seconds
	harnessGroup = "g0"
	harnessClass = "r"
)

// gatewaySize is the size of the state of a gateway.
type gatewaySize struct {
	servers         int
	serversPerGroup int
	tenants         int // number of tenants, each of which has sent a request
	gateways        int // number of gateways that share the quota of each tenant
}

// gatewayHarness is a decision.Gateway with the settings of the proxy, in simulated time. Its servers and counters
// answer at once.
type gatewayHarness struct {
	gateway     *decision.Gateway
	now         float64 // simulated time in seconds
	lastRequest uint64  // ID of the last request
	gateways    int
	class       *decision.Class
	terms       []*decision.Terms // terms of the tenants
}

func newGatewayHarness(size gatewaySize) *gatewayHarness {
	gh := &gatewayHarness{
		gateway:  decision.New(harnessSettings(), 1),
		gateways: size.gateways,
		class: &decision.Class{
			Name:          harnessClass,
			LatencyTarget: 0.4,
			Deadline:      1,
			Value:         1,
			LateValue:     0.5,
			MaxAttempts:   2,
			MaxQueueTime:  0.088, // 22 % of LatencyTarget, as in the proxy
			Effect:        decision.Idempotent,
		},
	}
	gh.gateway.Handle(0, decision.Start{})
	gh.gateway.Handle(0, decision.Backends{List: generate(size.servers, func(i int) decision.Backend {
		return harnessBackend(i, size.serversPerGroup)
	})})
	gh.now = harnessStart
	for tenant := range size.tenants {
		gh.terms = append(gh.terms, harnessTerms(tenant))
		gh.request(tenant)
	}
	return gh
}

// harnessSettings returns the settings that the proxy uses, except that Gateways is designIngresses; the proxy starts
// with 1. It leaves out FinishNonIdempotent, which the proxy also sets, because decision.Gateway does not use it.
func harnessSettings() decision.Settings {
	return decision.Settings{
		Gateways:        designIngresses,
		Index:           1,
		Zone:            "region-hall-1",
		AnswerSlack:     0.02,
		SlowStartShare:  0.5,
		SlowStartTime:   3,
		MaxAttempts:     2,
		MayCancel:       true,
		MayRetryAfter:   true,
		MaxRetryAfter:   0.5,
		ConnectTimeout:  0.25,
		Keepalive:       8,
		HasCounter:      true,
		CounterTimeout:  0.35,
		CapacityInSlots: true,
		RemoteZoneCost:  1.25,
		PairCounters:    true,
		CounterCycle:    1,
		QuotaTolerance:  decision.QuotaTolerance{Window: 5, Excess: 0.1, Slack: 20},
		RetryShare:      0.16, // 80 % of the default bound of 0.2, as in the proxy
		RetrySlack:      48,   // 80 % of the default bound of 60, as in the proxy
	}
}

func harnessBackend(n, serversPerGroup int) decision.Backend {
	one := instance(n, 1)
	return decision.Backend{
		ID:      one.ID,
		Group:   fmt.Sprint("g", n/serversPerGroup),
		Kind:    "k",
		Zone:    one.Zone,
		Serving: true,
		Size:    3,
	}
}

func harnessTerms(tenant int) *decision.Terms {
	return &decision.Terms{
		Customer: tenantName(tenant),
		Tag:      "7",
		Plan: decision.Plan{
			Name:        tenantName(tenant),
			Rate:        float64(10 + tenant%90),
			Burst:       50,
			ValueWeight: 1,
		},
	}
}

// request passes a request of a tenant to the gateway, and answers the resulting actions: the call to a counter, if
// there is one, and the attempt.
func (gh *gatewayHarness) request(tenant int) {
	gh.lastRequest++
	request := decision.Request{
		ID:         gh.lastRequest,
		Class:      harnessClass,
		ClassTerms: gh.class,
		Group:      harnessGroup,
		TimeLeft:   0.9,
		Units:      1,
		Gateways:   gh.gateways,
	}
	if len(gh.terms) > 0 {
		terms := gh.terms[tenant%len(gh.terms)]
		request.Customer, request.Terms = terms.Customer, terms
	}
	gh.perform(gh.gateway.Handle(gh.now, request))
}

// perform answers actions of the gateway, and the actions that result from the answers.
func (gh *gatewayHarness) perform(actions []decision.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case decision.CounterCall:
			gh.perform(gh.gateway.Handle(gh.now, decision.CounterReply{
				Name:      action.Name,
				Outcome:   decision.Succeeded,
				Total:     max(1, action.Add),
				Reporters: 2,
			}))
		case decision.Send:
			gh.perform(gh.gateway.Handle(gh.now, decision.AttemptEnded{
				ID:       action.ID,
				Attempt:  1,
				Backend:  action.Backend,
				Outcome:  decision.Succeeded,
				Duration: 0.01,
			}))
		}
	}
}

// tick advances the simulated time by one interval, and fires the gateway's timer.
func (gh *gatewayHarness) tick() {
	gh.now += tickInterval
	gh.perform(gh.gateway.Handle(gh.now, decision.Timer{Token: "tick"}))
}
