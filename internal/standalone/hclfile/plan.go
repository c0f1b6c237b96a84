package hclfile

import "mulleinrouter/internal/decision"

// Plan is the block of a plan in a configuration or a catalogue. Rates are in units per second, where units are what
// requests are counted in. decision.Plan describes the meaning of each field.
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

// Plan converts the block to the decision module's type.
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

// FromPlan converts a plan of the decision module to a block.
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
