package attempt

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// The methods below forward calls to the gateway that do not concern a single request.

// SetShare sets the fraction of the ingress, from 0 to 1, that this process represents while two processes of the
// ingress run: its quota buckets, rate limits and limits at backends are reduced to this fraction. If secondary is
// true, the other process reports this ingress's quota use to the counter.
func (d *Dispatcher[H]) SetShare(share float64, secondary bool) { d.gateway.SetShare(share, secondary) }

// HandOver returns the state for another process of this ingress: half of the tokens of the quota buckets, which it
// removes from them, and what the gateway has learned of customers and backends.
func (d *Dispatcher[H]) HandOver(now decision.Seconds) decision.Knowledge {
	return d.gateway.HandOver(now)
}

// Restore applies the state that HandOver returned in another process. It returns the number of customers and backends
// whose state it restored.
func (d *Dispatcher[H]) Restore(now decision.Seconds, k decision.Knowledge) (customers, backends int) {
	return d.gateway.Restore(now, k)
}

// PoolSize returns the number of listed backends, and how many of these the gateway avoids at the moment because it has
// ejected them or because they rejected work.
func (d *Dispatcher[H]) PoolSize(now decision.Seconds) (listed, avoided int) {
	return d.gateway.PoolSize(now)
}

// Stats returns the gateway's statistics.
func (d *Dispatcher[H]) Stats(now decision.Seconds) decision.Stats { return d.gateway.Stats(now) }

// SetGrants replaces the gateway's quota grants. The new grants are valid until the given time.
func (d *Dispatcher[H]) SetGrants(now decision.Seconds, grants []decision.QuotaGrant, until decision.Seconds) {
	d.gateway.SetGrants(now, grants, until)
}

// SetSuspects sets the backends that other gateways consider unhealthy.
func (d *Dispatcher[H]) SetSuspects(now decision.Seconds, backends []string) {
	d.gateway.SetSuspects(now, backends)
}

// UnhealthyServers returns the backends that this gateway itself considers unhealthy.
func (d *Dispatcher[H]) UnhealthyServers(now decision.Seconds) []string {
	return d.gateway.UnhealthyServers(now)
}

// SetMembers sets the number of gateways, and the number of gateways through which one customer may send requests.
func (d *Dispatcher[H]) SetMembers(now decision.Seconds, gateways, customerGateways int) {
	d.gateway.SetMembers(gateways)
	d.gateway.SetCustomerGateways(now, customerGateways)
}

// SetZoneRank sets the rank of this gateway, counted from 0, among the peers of its zone.
func (d *Dispatcher[H]) SetZoneRank(rank, peers int) { d.gateway.SetZoneRank(rank, peers) }

// ExpectDisruption announces a planned disruption that lasts until the given time; see
// decision.Gateway.ExpectDisruption.
func (d *Dispatcher[H]) ExpectDisruption(until decision.Seconds) {
	if !mutants.On("attempt/planned-untold") {
		d.gateway.ExpectDisruption(until)
	}
}
