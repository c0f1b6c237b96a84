package capacity

import (
	"maps"
	"math"
)

// parameter is one value of a plan's file: the field that it sets, its bounds, and its default if it is not required.
type parameter struct {
	field        *float64
	required     bool
	defaultValue float64
	min, max     float64
}

func required(field *float64, minimum float64) parameter {
	return parameter{field: field, required: true, min: minimum, max: math.MaxFloat64}
}

func optional(field *float64, byDefault, minimum float64) parameter {
	return parameter{field: field, defaultValue: byDefault, min: minimum, max: math.MaxFloat64}
}

// fraction returns an optional parameter from 0 to 1.
func fraction(field *float64, byDefault float64) parameter {
	return parameter{field: field, defaultValue: byDefault, max: 1}
}

func bounded(field *float64, byDefault, minimum, maximum float64) parameter {
	return parameter{field: field, defaultValue: byDefault, min: minimum, max: maximum}
}

// maxVoters bounds the number of voters in a plan. It rejects implausible values only: the control plane itself accepts
// at most replica.MaxControlNodes voters.
const maxVoters = 99

// parameters returns all values that a plan's file may set, by path. docs/operate/emulator.md explains each.
func (p *Plan) parameters() map[string]parameter {
	all := map[string]parameter{}
	for _, part := range []map[string]parameter{
		p.sizeParameters(),
		p.processParameters(),
		p.updateParameters(),
		p.counterParameters(),
		p.controlParameters(),
		p.networkParameters(),
		p.limitParameters(),
	} {
		maps.Copy(all, part)
	}
	return all
}

func (p *Plan) sizeParameters() map[string]parameter {
	return map[string]parameter{
		"size.ingresses":        required(&p.Size.Ingresses, 1),
		"size.servers":          required(&p.Size.State.Servers, 0),
		"size.services":         required(&p.Size.State.Services, 0),
		"size.routes":           required(&p.Size.State.Routes, 0),
		"size.tenants":          required(&p.Size.State.Tenants, 0),
		"size.requests_per_s":   required(&p.Size.RequestsPerSecond, 0),
		"size.changes_per_day":  required(&p.Size.ChangesPerDay, 0),
		"size.control_machines": required(&p.Size.ControlMachines, 1),
		"size.regions":          required(&p.Size.Regions, 1),
		"size.zones":            required(&p.Size.Zones, 1),
		"size.failures_per_day": required(&p.Size.FailuresPerDay, 0),
		"size.restarts_per_day": required(&p.Size.RestartsPerDay, 0),
		"size.beat_s":           optional(&p.Size.HeartbeatInterval, 1.5, 0.01),
		"size.days":             optional(&p.Size.Days, 730, 0),
	}
}

func (p *Plan) processParameters() map[string]parameter {
	return map[string]parameter{
		"agent.routes":            fraction(&p.Agent.Shares.Routes, 1),
		"agent.tenants":           fraction(&p.Agent.Shares.Tenants, 1),
		"agent.services":          fraction(&p.Agent.Shares.Services, 1),
		"agent.servers":           fraction(&p.Agent.Shares.Servers, 1),
		"proxy.routes":            fraction(&p.Proxy.Shares.Routes, 1),
		"proxy.tenants":           fraction(&p.Proxy.Shares.Tenants, 1),
		"proxy.services":          fraction(&p.Proxy.Shares.Services, 1),
		"proxy.servers":           fraction(&p.Proxy.Shares.Servers, 1),
		"proxy.tenants_a_request": fraction(&p.Proxy.TenantsPerRequest, 1),
		"proxy.largest_group":     optional(&p.Proxy.LargestGroup, 20, 1),
		"proxy.ticks_per_s":       optional(&p.Proxy.TicksPerSecond, 20, 0),
		"proxy.gc_percent":        optional(&p.Proxy.GCPercent, 100, 1),
		"agent.gc_percent":        optional(&p.Agent.GCPercent, 50, 1),
		"agent.fixed_bytes":       optional(&p.Agent.FixedBytes, 0, 0),
		"proxy.fixed_bytes":       optional(&p.Proxy.FixedBytes, 0, 0),
	}
}

func (p *Plan) updateParameters() map[string]parameter {
	return map[string]parameter{
		"news.sources":         optional(&p.Updates.Sources, 3, 1),
		"news.copies":          optional(&p.Updates.Copies, 3, 1),
		"news.source_nodes":    optional(&p.Updates.SourceNodes, 3, 1),
		"news.peak":            optional(&p.Updates.Peak, 10, 1),
		"news.lines_a_restart": optional(&p.Updates.InstancesPerRestart, 3, 0),
		"news.dropped":         fraction(&p.Updates.DeletionShare, 0.25),
		"news.start":           fraction(&p.Updates.InitialShare, 1),
		"news.lookups":         fraction(&p.Updates.LookupShare, 0),
		"news.tombstone_days":  optional(&p.Updates.TombstoneDays, 0, 0),
	}
}

func (p *Plan) counterParameters() map[string]parameter {
	return map[string]parameter{
		"counters.asked":          fraction(&p.Counters.RequestShare, 1),
		"counters.batch":          optional(&p.Counters.CallsPerFrame, 1, 1),
		"counters.call_bytes":     optional(&p.Counters.CallBytes, 0, 0),
		"counters.nodes":          optional(&p.Counters.Owners, 3, 1),
		"counters.tenants_sliced": optional(&p.Counters.SlicedTenants, 0, 0),
		"counters.keep_s":         optional(&p.Counters.Retention, 3, 0),
	}
}

func (p *Plan) controlParameters() map[string]parameter {
	return map[string]parameter{
		"core.nodes_with_beats": optional(&p.Control.HeartbeatNodes, 3, 1),
		"core.told":             optional(&p.Control.HeartbeatReplicas, 2, 0),
		"core.routes":           fraction(&p.Control.Shares.Routes, 1),
		"core.tenants":          fraction(&p.Control.Shares.Tenants, 1),
		"core.services":         fraction(&p.Control.Shares.Services, 1),
		"core.servers":          fraction(&p.Control.Shares.Servers, 1),
		"core.gc_percent":       optional(&p.Control.GCPercent, 100, 1),
		"core.voters":           bounded(&p.Control.Voters, 3, 1, maxVoters),
		"core.rtt_s":            optional(&p.Control.RoundTrip, 0.1, 0),
		"core.sync_s":           optional(&p.Control.SyncTime, 0.005, 0),
		"core.fixed_bytes":      optional(&p.Control.FixedBytes, 0, 0),
	}
}

func (p *Plan) networkParameters() map[string]parameter {
	return map[string]parameter{
		"wire.segment":    optional(&p.Network.SegmentBytes, 66, 0),
		"wire.first_call": optional(&p.Network.MaxFirstCallBytes, 32<<20, 1),
		"wire.beat_http":  optional(&p.Network.HeartbeatBytes, 600, 0),
	}
}

func (p *Plan) limitParameters() map[string]parameter {
	return map[string]parameter{
		"limits.ingress.memory":      required(&p.Limits.Ingress.Memory, 1),
		"limits.ingress.cpu":         required(&p.Limits.Ingress.Cores, 0),
		"limits.ingress.bytes_per_s": required(&p.Limits.Ingress.BytesPerSecond, 1),
		"limits.ingress.speed":       optional(&p.Limits.IngressSpeed, 0.32, 0.01),
		"limits.core.memory":         required(&p.Limits.Control.Memory, 1),
		"limits.core.cpu":            required(&p.Limits.Control.Cores, 0),
		"limits.core.bytes_per_s":    required(&p.Limits.Control.BytesPerSecond, 1),
		"limits.added_s":             required(&p.Limits.AddedLatency, 0),
		"limits.change_s":            required(&p.Limits.ChangeTime, 0),
		"limits.start_s":             optional(&p.Limits.StartTime, 15, 0),
	}
}
