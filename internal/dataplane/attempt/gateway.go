package attempt

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// The methods below pass on to the gateway what concerns no single request.

// SetShare sets which part of the ingress, from 0 to 1, this process is. A secondary process is one whose quota use the
// other process of the ingress reports to the counter.
func (d *Dispatcher[H]) SetShare(share float64, secondary bool) { d.gateway.SetShare(share, secondary) }

// HandOver returns half of the tokens of the quota buckets, which it takes from them, and what the gateway has learned.
func (d *Dispatcher[H]) HandOver(now decision.Seconds) decision.Knowledge {
	return d.gateway.HandOver(now)
}

// Restore takes over what HandOver of another process returned, and returns how many customers and backends it was of.
func (d *Dispatcher[H]) Restore(now decision.Seconds, k decision.Knowledge) (customers, backends int) {
	return d.gateway.Restore(now, k)
}

// PoolSize returns how many backends are listed, and how many of these the gateway avoids now.
func (d *Dispatcher[H]) PoolSize(now decision.Seconds) (listed, avoided int) {
	return d.gateway.PoolSize(now)
}

// Stats returns the gateway's statistics.
func (d *Dispatcher[H]) Stats(now decision.Seconds) decision.Stats { return d.gateway.Stats(now) }

// SetGrants sets the gateway's quota grants, which are valid until a time.
func (d *Dispatcher[H]) SetGrants(now decision.Seconds, grants []decision.QuotaGrant, until decision.Seconds) {
	d.gateway.SetGrants(now, grants, until)
}

// SetSuspects sets the backends that other gateways find unhealthy.
func (d *Dispatcher[H]) SetSuspects(now decision.Seconds, backends []string) {
	d.gateway.SetSuspects(now, backends)
}

// UnhealthyServers returns the backends that this gateway itself finds unhealthy.
func (d *Dispatcher[H]) UnhealthyServers(now decision.Seconds) []string {
	return d.gateway.UnhealthyServers(now)
}

// SetMembers sets how many gateways there are, and how many of them a customer may use.
func (d *Dispatcher[H]) SetMembers(now decision.Seconds, gateways, customerGateways int) {
	d.gateway.SetMembers(gateways)
	d.gateway.SetCustomerGateways(now, customerGateways)
}

// SetZoneRank sets the rank of this gateway among the peers of its zone.
func (d *Dispatcher[H]) SetZoneRank(rank, peers int) { d.gateway.SetZoneRank(rank, peers) }

// ExpectDisruption announces a planned disruption that lasts until a time: see decision.Gateway.ExpectDisruption.
func (d *Dispatcher[H]) ExpectDisruption(until decision.Seconds) {
	if !mutants.On("attempt/planned-untold") {
		d.gateway.ExpectDisruption(until)
	}
}
