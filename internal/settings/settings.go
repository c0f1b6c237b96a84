// Package settings decodes the settings object of a gateway. The simulator's adapter and the real
// ingress both read it here, so that a key cannot come to mean two things.
package settings

import (
	"errors"
	"fmt"

	"mulleinrouter/internal/jsontext"
	"mulleinrouter/passhub"
)

const mostIngresses = 100_000

// Decode reads the settings object that an instance is given at its start, in the simulator's first
// message or in a real ingress's configuration. Keys it does not know are ignored.
func Decode(raw []byte) (passhub.Settings, error) {
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
		return passhub.Settings{}, errors.New("no settings")
	}
	if err := jsontext.Decode(raw, &w); err != nil {
		return passhub.Settings{}, fmt.Errorf("settings: %w", err)
	}
	// A number that cannot be true would silence this ingress, or have all take the same place among them.
	if w.Balancers < 0 || w.Balancers > mostIngresses {
		return passhub.Settings{}, fmt.Errorf("settings: Balancers: %d is not from 0 to %d", w.Balancers, mostIngresses)
	}
	if w.Me < 0 || w.Balancers > 0 && w.Me >= w.Balancers {
		return passhub.Settings{}, fmt.Errorf("settings: Me: %d is not below Balancers, %d", w.Me, w.Balancers)
	}
	s := passhub.Settings{
		Balancers: w.Balancers, Me: w.Me, Zone: w.Zone,
		DrainGrace: w.Invariants.DrainGrace, AnswerSlack: w.Invariants.AnswerSlack,
		ColdShare: w.Invariants.StartCapacity, WarmUp: w.Invariants.WarmUp,
		OverloadFactor: w.Invariants.OverloadFactor, OverloadFor: w.Invariants.OverloadFor,
		MaxAttempts:   w.Permissions.SendCap,
		MayCancel:     w.Permissions.Cancelling,
		MayRetryAfter: w.Permissions.RetryAfter, MaxRetryAfter: w.Permissions.MaxRetryAfter,
		ConnectTimeout: w.Permissions.ConnectTimeout, Keepalive: w.Permissions.Keepalive,
		MayCount: w.FamilyInfo.MayCount, CountFee: w.FamilyInfo.CountFee, CountWait: w.FamilyInfo.CountWait,
		CostAfter: w.FamilyInfo.CostAfter, MaxUnits: w.FamilyInfo.MaxUnits,
	}
	effects := map[string]passhub.Effect{"pure": passhub.Safe, "token": passhub.Keyed}
	scopes := map[string]passhub.Scope{
		"all": passhub.ScopeAll, "zone": passhub.ScopeZone, "cell": passhub.ScopeCell,
	}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, passhub.Class{
			Name: c.Name, Aim: c.Promise, Deadline: c.Deadline, Worth: c.Gain, LateWorth: c.LateWorth,
			Effect: effects[c.Effect], Scope: scopes[c.DedupScope],
		})
	}
	for _, p := range w.Packages {
		s.Plans = append(s.Plans, passhub.Plan{
			Name: p.Name, Rate: p.Refill, Burst: p.Burst, Open: p.Open, Price: p.Pays,
			ExcessWorth: p.ExcessWorth, BeyondCosts: p.BeyondCosts,
			CeilingRate: p.NeverOverRate, CeilingDepth: p.NeverOverDepth, CeilingSlack: p.HardSlack,
		})
	}
	return s, nil
}
