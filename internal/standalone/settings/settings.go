// Package settings decodes the settings object of a gateway. The simulator's adapter and the real
// ingress both read it here, so that a key cannot come to mean two things.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"math"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/jsontext"
)

const mostIngresses = 100_000

// Decode reads the settings object that an instance is given at its start, in the simulator's first
// message or in a real ingress's configuration. Keys it does not know are ignored.
func Decode(raw []byte) (decision.Settings, error) {
	var w struct {
		Balancers, Me int
		Zone          string
		Classes       []struct {
			Name                               string
			Promise, Deadline, Gain, LateWorth float64
			Effect, DedupScope                 string
		}
		Packages []struct {
			Name                                          string
			Refill, Burst, Pays, ExcessWorth, BeyondCosts float64
			NeverOverRate, NeverOverDepth, HardSlack      float64
			Open                                          int
		}
		Invariants struct {
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
	if len(raw) == 0 || string(raw) == "null" {
		return decision.Settings{}, errors.New("no settings")
	}
	if err := jsontext.Decode(raw, &w); err != nil {
		return decision.Settings{}, fmt.Errorf("settings: %w", err)
	}
	// A number that cannot be true would silence this ingress, or have all take the same place among them.
	if w.Balancers < 0 || w.Balancers > mostIngresses {
		return decision.Settings{}, fmt.Errorf("settings: Balancers: %d is not from 0 to %d", w.Balancers, mostIngresses)
	}
	if w.Me < 0 || w.Balancers > 0 && w.Me >= w.Balancers {
		return decision.Settings{}, fmt.Errorf("settings: Me: %d is not below Balancers, %d", w.Me, w.Balancers)
	}
	s := decision.Settings{
		Gateways: w.Balancers, Index: w.Me, Zone: w.Zone,
		DrainGrace: w.Invariants.DrainGrace, AnswerSlack: w.Invariants.AnswerSlack,
		SlowStartShare: w.Invariants.StartCapacity, SlowStartTime: w.Invariants.WarmUp,
		OverloadFactor: w.Invariants.OverloadFactor, OverloadFor: w.Invariants.OverloadFor,
		MaxAttempts:   w.Permissions.SendCap,
		MayCancel:     w.Permissions.Cancelling,
		MayRetryAfter: w.Permissions.RetryAfter, MaxRetryAfter: w.Permissions.MaxRetryAfter,
		ConnectTimeout: w.Permissions.ConnectTimeout, Keepalive: w.Permissions.Keepalive,
		HasCounter: w.FamilyInfo.MayCount, CounterCallCost: w.FamilyInfo.CountFee, CounterTimeout: w.FamilyInfo.CountWait,
		SettledLater: w.FamilyInfo.CostAfter, MaxUnits: w.FamilyInfo.MaxUnits,
	}
	effects := map[string]decision.Effect{"pure": decision.Idempotent, "token": decision.IdempotentByKey}
	scopes := map[string]decision.Scope{
		"all": decision.ScopeAll, "zone": decision.ScopeZone, "cell": decision.ScopeCell,
	}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, decision.Class{
			Name: c.Name, LatencyTarget: c.Promise, Deadline: c.Deadline, Value: c.Gain, LateValue: c.LateWorth,
			Effect: effects[c.Effect], Scope: scopes[c.DedupScope],
		})
	}
	for _, p := range w.Packages {
		s.Plans = append(s.Plans, decision.Plan{
			Name: p.Name, Rate: p.Refill, Burst: p.Burst, MaxInFlight: p.Open, ValueWeight: p.Pays,
			ExcessValue: p.ExcessWorth, ExcessCost: p.BeyondCosts,
			LimitRate: p.NeverOverRate, LimitBurst: p.NeverOverDepth, LimitSlack: p.HardSlack,
		})
	}
	return s, nil
}

// Check tells whether settings may take the place of those in force (before), as a SIGHUP brings them: nothing of a
// file is taken unless all of it can be. Every key that the settings in force have must be there still, in each
// section and in each class; each class needs a positive Deadline, and SendCap, the most attempts, must be a positive
// whole number. The error names the key.
func Check(raw, before []byte) error {
	var now, then map[string]any
	if err := jsontext.Decode(raw, &now); err != nil || now == nil {
		return fmt.Errorf("settings: not an object: %w", cmp.Or(err, errNone))
	}
	if err := jsontext.Decode(before, &then); err != nil {
		return fmt.Errorf("settings in force: %w", err)
	}
	if err := sameKeys("", now, then); err != nil {
		return err
	}
	classes, _ := now["Classes"].([]any)
	if len(classes) == 0 {
		return errors.New("settings: Classes: none")
	}
	var model map[string]any // the keys of a class as they were
	if old, _ := then["Classes"].([]any); len(old) > 0 {
		model, _ = old[0].(map[string]any)
	}
	for i, c := range classes {
		class, ok := c.(map[string]any)
		if !ok {
			return fmt.Errorf("settings: Classes[%d]: not an object", i)
		}
		if err := sameKeys(fmt.Sprintf("Classes[%d].", i), class, model); err != nil {
			return err
		}
		if d, ok := class["Deadline"].(float64); !ok || !(d > 0) {
			return fmt.Errorf("settings: Classes[%d].Deadline: %v is not a positive number", i, class["Deadline"])
		}
	}
	if p, ok := now["Permissions"].(map[string]any); ok {
		if v, there := p["SendCap"]; there {
			if n, ok := v.(float64); !ok || !(n >= 1) || n != math.Trunc(n) {
				return fmt.Errorf("settings: Permissions.SendCap: %v is not a positive whole number", v)
			}
		}
	}
	return nil
}

var errNone = errors.New("empty")

// sameKeys tells of a key that then has and now lacks, one section deep.
func sameKeys(prefix string, now, then map[string]any) error {
	for key, v := range then {
		w, there := now[key]
		if !there || w == nil && v != nil {
			return fmt.Errorf("settings: %s%s: missing", prefix, key)
		}
		if section, ok := v.(map[string]any); ok && prefix == "" {
			inner, ok := w.(map[string]any)
			if !ok {
				return fmt.Errorf("settings: %s: not an object", key)
			}
			if err := sameKeys(key+".", inner, section); err != nil {
				return err
			}
		}
	}
	return nil
}
