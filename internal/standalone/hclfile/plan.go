package hclfile

import "mulleinrouter/internal/decision"

// Plan is a plan as files have it. Units are those that requests count; rates are units a second.
type Plan struct {
	Name         string  `hcl:"name,label"`
	Rate         float64 `hcl:"rate,optional"`
	Burst        float64 `hcl:"burst,optional"`
	Open         int     `hcl:"open,optional"`
	Price        float64 `hcl:"price,optional"`
	ExcessWorth  float64 `hcl:"excess_worth,optional"`
	BeyondCosts  float64 `hcl:"beyond_costs,optional"`
	CeilingRate  float64 `hcl:"ceiling_rate,optional"`
	CeilingDepth float64 `hcl:"ceiling_depth,optional"`
	CeilingSlack float64 `hcl:"ceiling_slack,optional"`
}

// Plan is the plan in the decision module's form.
func (p Plan) Plan() decision.Plan {
	return decision.Plan{
		Name:        p.Name,
		Rate:        p.Rate,
		Burst:       p.Burst,
		MaxInFlight: p.Open,
		ValueWeight: p.Price,
		ExcessValue: p.ExcessWorth,
		ExcessCost:  p.BeyondCosts,
		LimitRate:   p.CeilingRate,
		LimitBurst:  p.CeilingDepth,
		LimitSlack:  p.CeilingSlack,
	}
}

// FromPlan is a plan of the decision module as files have it.
func FromPlan(p decision.Plan) Plan {
	return Plan{
		Name:         p.Name,
		Rate:         p.Rate,
		Burst:        p.Burst,
		Open:         p.MaxInFlight,
		Price:        p.ValueWeight,
		ExcessWorth:  p.ExcessValue,
		BeyondCosts:  p.ExcessCost,
		CeilingRate:  p.LimitRate,
		CeilingDepth: p.LimitBurst,
		CeilingSlack: p.LimitSlack,
	}
}
