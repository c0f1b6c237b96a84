package settings

import (
	"fmt"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/jsontext"
)

// maxIngresses is the largest number of ingresses that is accepted. It is far above any real number, so that only
// mistakes are rejected.
const maxIngresses = 100_000

// settingsObject is the JSON form of the settings. The names of its fields are the keys, so they are those of the
// operators' documentation and not those of the decision module. Times are in seconds, rates in units per second.
type settingsObject = struct {
	Balancers, Me int
	Zone          string
	Classes       []classObject
	Packages      []packageObject
	Invariants    struct {
		AnswerSlack, DrainGrace, OverloadFactor, OverloadFor, StartCapacity, WarmUp float64
	}
	Permissions struct {
		Cancelling, RetryAfter                   bool
		MaxRetryAfter, ConnectTimeout, Keepalive float64
		SendCap                                  int
	}
	FamilyInfo struct {
		MayCount, CostAfter           bool
		CountFee, CountWait, MaxUnits float64
	}
}

type classObject = struct {
	Name                               string
	Promise, Deadline, Gain, LateWorth float64
	Effect, DedupScope                 string
}

type packageObject = struct {
	Name                                          string
	Refill, Burst, Pays, ExcessWorth, BeyondCosts float64
	NeverOverRate, NeverOverDepth, HardSlack      float64
	Open                                          int
}

// Decode decodes the settings object of an ingress, which is in the simulator's first message and in the platform's
// configuration. Unknown keys are ignored.
func Decode(raw []byte) (decision.Settings, error) {
	var o settingsObject
	if len(raw) == 0 || string(raw) == "null" {
		return decision.Settings{}, ErrNoSettings
	}
	if err := jsontext.Decode(raw, &o); err != nil {
		return decision.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := checkIngresses(&o); err != nil {
		return decision.Settings{}, err
	}
	s := newDecisionSettings(&o)
	for _, c := range o.Classes {
		s.Classes = append(s.Classes, newClass(&c))
	}
	for _, p := range o.Packages {
		s.Plans = append(s.Plans, newPlan(&p))
	}
	return s, nil
}

// checkIngresses rejects an implausible number of ingresses, and an index of this ingress outside of it. Such
// values would keep this ingress from serving, or give several ingresses the same index.
func checkIngresses(o *settingsObject) error {
	if o.Balancers < 0 || o.Balancers > maxIngresses {
		return &KeyError{"Balancers", fmt.Sprintf("%d is not from 0 to %d", o.Balancers, maxIngresses)}
	}
	if o.Me < 0 || o.Balancers > 0 && o.Me >= o.Balancers {
		return &KeyError{"Me", fmt.Sprintf("%d is not below Balancers, %d", o.Me, o.Balancers)}
	}
	return nil
}

// newDecisionSettings returns the decision module's settings, without classes and plans.
func newDecisionSettings(o *settingsObject) decision.Settings {
	return decision.Settings{
		Gateways:        o.Balancers,
		Index:           o.Me,
		Zone:            o.Zone,
		DrainGrace:      o.Invariants.DrainGrace,
		AnswerSlack:     o.Invariants.AnswerSlack,
		SlowStartShare:  o.Invariants.StartCapacity,
		SlowStartTime:   o.Invariants.WarmUp,
		OverloadFactor:  o.Invariants.OverloadFactor,
		OverloadFor:     o.Invariants.OverloadFor,
		MaxAttempts:     o.Permissions.SendCap,
		MayCancel:       o.Permissions.Cancelling,
		MayRetryAfter:   o.Permissions.RetryAfter,
		MaxRetryAfter:   o.Permissions.MaxRetryAfter,
		ConnectTimeout:  o.Permissions.ConnectTimeout,
		Keepalive:       o.Permissions.Keepalive,
		HasCounter:      o.FamilyInfo.MayCount,
		CounterCallCost: o.FamilyInfo.CountFee,
		CounterTimeout:  o.FamilyInfo.CountWait,
		SettledLater:    o.FamilyInfo.CostAfter,
		MaxUnits:        o.FamilyInfo.MaxUnits,
	}
}

// effects maps the names of effects that permit a second execution of a request. Any other name means that a request
// must not run twice.
var effects = map[string]decision.Effect{
	"pure":  decision.Idempotent,
	"token": decision.IdempotentByKey,
}

// scopes maps the names of the sets of backends that detect a duplicate request. Any other name means only the backend
// that got the request.
var scopes = map[string]decision.Scope{
	"all":  decision.ScopeAll,
	"zone": decision.ScopeZone,
	"cell": decision.ScopeCell,
}

func newClass(c *classObject) decision.Class {
	return decision.Class{
		Name:          c.Name,
		LatencyTarget: c.Promise,
		Deadline:      c.Deadline,
		Value:         c.Gain,
		LateValue:     c.LateWorth,
		Effect:        effects[c.Effect],
		Scope:         scopes[c.DedupScope],
	}
}

func newPlan(p *packageObject) decision.Plan {
	return decision.Plan{
		Name:        p.Name,
		Rate:        p.Refill,
		Burst:       p.Burst,
		MaxInFlight: p.Open,
		ValueWeight: p.Pays,
		ExcessValue: p.ExcessWorth,
		ExcessCost:  p.BeyondCosts,
		LimitRate:   p.NeverOverRate,
		LimitBurst:  p.NeverOverDepth,
		LimitSlack:  p.HardSlack,
	}
}
