package capacity

import (
	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/registry"
)

// controlLoad is the load of one control node.
type controlLoad struct {
	heartbeats         float64 // heartbeats of servers a second
	remoteHeartbeats   float64 // heartbeats a second replicated to other control nodes; as many are received
	counterCalls       float64 // calls to counters a second
	activeCounters     float64 // counters of tenants that were active within idleTimeout
	subscribers        float64 // agents that are subscribed to this node
	updatedSubscribers float64 // subscribers to which this node sends updates, and not only heartbeats
	instances          float64 // instances in the registry
	// changes and instanceUpdates are the updates a second that each updated subscriber gets.
	changes         float64
	instanceUpdates float64
}

func (e *estimator) controlLoad() controlLoad {
	rates := e.ingressRates()
	ingresses, owners := e.Size.Ingresses, e.Counters.Owners
	heartbeats := e.Size.State.Servers / e.Size.HeartbeatInterval / e.Control.HeartbeatNodes
	calls := ingresses * rates.counterCalls / owners
	subscribers := ingresses * e.Updates.Sources / e.Updates.SourceNodes
	return controlLoad{
		heartbeats:         heartbeats,
		remoteHeartbeats:   heartbeats * e.Control.HeartbeatReplicas,
		counterCalls:       calls,
		activeCounters:     min(e.Size.State.Tenants/owners, calls*idleTimeout),
		subscribers:        subscribers,
		updatedSubscribers: subscribers * e.Updates.Copies / e.Updates.Sources,
		instances:          e.Size.State.Servers * e.Control.Shares.Servers,
		changes:            rates.changes,
		instanceUpdates:    rates.instances,
	}
}

// controlRequirements adds the requirements of one control node.
func (e *estimator) controlRequirements() {
	load := e.controlLoad()
	e.controlMemory(load)
	e.controlProcessor(load)
	e.controlBytes(load)
	e.controlBounds(load)
	e.uncollectedTombstones()
}

func (e *estimator) controlMemory(load controlLoad) {
	d := e.newDemand()
	for _, kind := range configurationKinds {
		d.addState(&e.Control.Process, kind, kind.storeSeries)
	}
	d.add("servers", e.unitCost("store.line")+e.unitCost("registry.line"), load.instances)
	d.add("counters, by tenant", e.unitCost("tally.name"), load.activeCounters)
	d.add("counters, by further reporter", e.unitCost("tally.holder.each"), load.counterCalls*e.Counters.Retention)
	d.add("tombstones", e.unitCost("store.tombstone"), e.deletionsPerDay()*e.Updates.TombstoneDays)
	d.addGarbage(e.Control.GCPercent)
	d.add("fixed", e.Control.FixedBytes, 1)
	e.require(Control, "memory", Bytes, e.Limits.Control.Memory, d.terms)
}

// deletionsPerDay returns the number of changes a day that delete an item. Each leaves a tombstone.
func (e *estimator) deletionsPerDay() float64 {
	return e.Size.ChangesPerDay * e.Updates.DeletionShare
}

func (e *estimator) controlProcessor(load controlLoad) {
	d := e.newDemand()
	d.addOperations("heartbeats received, without HTTP", "registry.beat", load.instances, load.heartbeats)
	d.addFrames("heartbeats replicated: written", "write.heard", load.remoteHeartbeats)
	d.addFrames("heartbeats replicated: read", "read.heard", load.remoteHeartbeats)
	d.addOperations("heartbeats replicated: applied", "registry.heard", load.instances, load.remoteHeartbeats)
	d.addFrames("heartbeats to agents", "write.beat", load.subscribers*heartbeatsPerSecond)
	d.addFrames("renewals of agents", "read.renew", load.subscribers*heartbeatsPerSecond)
	d.addFrames("changes to agents", "write.tenant", load.changes*load.updatedSubscribers)
	d.addFrames("frames of changes to agents", "write.beat", load.changes*load.updatedSubscribers)
	d.addFrames("instances to agents", "write.line", load.instanceUpdates*load.updatedSubscribers)
	e.addChanges(d)
	counters := max(1, e.Size.State.Tenants/e.Counters.Owners)
	d.addOperations("counter calls applied", "tally.add", counters, load.counterCalls)
	// The series count one Add and one Total as a call. An owner reads the Add and writes the Total.
	d.addFrames("counter calls: written", "write.count", load.counterCalls/2)
	d.addFrames("counter calls: read", "read.count", load.counterCalls/2)
	d.addCollector(e.Control.GCPercent)
	e.require(Control, "processor, without system calls and HTTP", Cores, e.Limits.Control.Cores, d.terms)
}

// addChanges adds the processor time of changes of the configuration, from their validation to the write to disk.
func (e *estimator) addChanges(d *demand) {
	const (
		itemsPerSave   = 1
		savesPerChange = 2 // one for each of the two syncs of a change
	)
	changes := e.changesPerSecond()
	tenants := e.Size.State.Tenants * e.Control.Shares.Tenants
	d.addOperations("changes validated", "change.check", max(1, e.Size.State.Routes), changes)
	d.addOperations("changes stored", "change.store", max(1, tenants), changes)
	d.addOperations("changes chosen", "ballot.change", e.Control.Voters, changes)
	d.addOperations("changes to disk", "vault.save", itemsPerSave, savesPerChange*changes)
}

func (e *estimator) controlBytes(load controlLoad) {
	segment := e.Network.SegmentBytes
	heartbeat := e.unitCost("wire.beat")
	d := e.newDemand()
	d.add("heartbeats of servers, request and response", e.Network.HeartbeatBytes+2*segment, load.heartbeats)
	d.add("heartbeats replicated, both ways", e.unitCost("wire.heard"), 2*load.remoteHeartbeats)
	d.add(
		"heartbeats and renewals of agents",
		heartbeat+e.unitCost("wire.renew")+2*segment,
		load.subscribers*heartbeatsPerSecond,
	)
	d.add(
		"changes to agents",
		e.unitCost("wire.tenant")+heartbeat+segment,
		load.changes*load.updatedSubscribers,
	)
	d.add("instances to agents", e.unitCost("wire.line")+segment, load.instanceUpdates*load.updatedSubscribers)
	d.add("counter calls", e.counterCallBytes()+2*segment/e.Counters.CallsPerFrame, load.counterCalls)
	e.require(Control, "bytes a second", BytesPerSecond, e.Limits.Control.BytesPerSecond, d.terms)
}

// controlBounds adds the bounds that are constants in the code of a control node. The description of each names the
// constant. The plan sets the bound of the first call, by default to transport.MaxControlFrame.
func (e *estimator) controlBounds(load controlLoad) {
	counters := e.newDemand()
	counters.terms = []Term{{Description: "active tenants", UnitCost: 1, Count: load.activeCounters}}
	e.require(Control, "tenants' counters of one owner (quota.MaxNames)", Items, quota.MaxNames, counters.terms)

	instances := e.newDemand()
	instances.terms = []Term{{Description: "servers", UnitCost: 1, Count: load.instances}}
	e.require(Control, "instances of one registry (registry.MaxInstances)", Items,
		registry.MaxInstances, instances.terms)

	first := e.newDemand()
	for _, kind := range configurationKinds {
		first.add(kind.name, e.unitCost(kind.wireSeries), kind.figure(&e.Size.State))
	}
	e.require(
		Control,
		"the first call, one frame between voters (transport.MaxControlFrame)",
		Bytes,
		e.Network.MaxFirstCallBytes,
		first.terms,
	)
}

// uncollectedTombstones adds the memory of all tombstones at the end of the planned period, if they are never removed.
func (e *estimator) uncollectedTombstones() {
	d := e.newDemand()
	unitCost := e.unitCost("store.tombstone") * (1 + e.Control.GCPercent/100)
	d.add("tombstones", unitCost, e.deletionsPerDay()*e.Size.Days)
	if e.Updates.TombstoneDays != 0 {
		return
	}
	e.require(Control, "tombstones after all days, in each replica", Bytes, e.Limits.Control.Memory, d.terms)
}
