package proxy

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/decision"
)

const (
	contactTTL           = 1500 * time.Millisecond // without word of the control nodes: then what is not known here may well exist
	memberCountRetention = 20 * time.Second        // ingresses that went away may still hold slices: they are counted on for so long
	defaultIngressCount  = 24
	counterTimeout       = 350 * time.Millisecond // for a call of the keeper of counters, by way of the agent
	maxCounterCalls      = 256                    // of these out at once; more would be late anyway
)

// controlFeed is what the proxy has from the agent beside it: the configuration, the servers, how many ingresses there are, and the keepers
// of counters.
type controlFeed struct {
	log  log.Logger
	node string
	// process names this process where each of its calls adds anew: one that begins anew must not be taken for the one before it.
	process string
	store   *replication.Store
	client  *replication.Client
	engine  *engine.Engine
	shedder *shedder
	warmUp  decision.Seconds
	bounds  func() settings.Bounds // in force

	table        atomic.Pointer[configuration.RoutingTable]
	complete     atomic.Bool  // it has had a configuration whole from an agent that had it from the core
	quorumAt     atomic.Int64 // when the agent last heard more than half of the core, in ns since base
	maxMembers   atomic.Int64 // ingresses, the most of late
	calls        atomic.Int64 // of keepers, out now
	nextSerial   atomic.Uint64
	base         time.Time
	started      bool      // the engine is; only the update's goroutine looks
	members      int       // as last told to the engine; only the update's goroutine looks
	maxMembersAt time.Time // when most was last reached
	rank, peers  int       // in its zone, as last told to the engine
	ready        chan struct{}
}

// applyUpdate takes what an update brought, which is in the store already. With the first one the common clock is known, and the module starts.
func (o *controlFeed) applyUpdate(f *transport.Update) {
	if !o.started {
		o.started = true
		o.engine.Start(o)
	}
	if len(f.Items) > 0 {
		o.engine.ExpectDisruption(o.disruptionWindow())
		o.table.Store(o.table.Load().With(o.store.Snapshot(), f.Items))
		o.log.Log("msg", "configuration in force", "epoch", newestEpoch(f.Items), "items", len(f.Items))
	}
	if len(f.Instances) > 0 {
		o.engine.SetBackends(decision.Backends{List: o.backends(f.Instances)})
	}
	o.setMembers(f.Members)
	o.shedder.observe(time.Now(), time.Duration(f.LinkDelay*float64(time.Second)), f.LinkDelay > 0)
	if f.ZonePeers > 0 && (f.Rank != o.rank || f.ZonePeers != o.peers) {
		o.rank, o.peers = f.Rank, f.ZonePeers
		o.engine.SetZoneRank(f.Rank, f.ZonePeers)
	}
	if f.Quorum { // as of when it was sent: this process may have stood still
		o.quorumAt.Store(int64(time.Since(o.base) - o.client.Clock.Age(f.Clock)))
	}
	if f.Complete && f.Ready && o.table.Load().RouteCount() > 0 && o.complete.CompareAndSwap(false, true) {
		close(o.ready)
	}
}

// disruptionWindow is for how long after a change of settings or configuration what it breaks off counts as lost by it, in seconds (RULES, LOST).
func (o *controlFeed) disruptionWindow() decision.Seconds { return o.bounds().ConfigApply + 1 }

// newestEpoch is the epoch of the newest of some items.
func newestEpoch(items []configuration.Item) (epoch uint64) {
	for _, i := range items {
		epoch = max(epoch, i.Epoch)
	}
	return epoch
}

// setMembers learns how many ingresses there are.
func (o *controlFeed) setMembers(members int) {
	if members <= 0 {
		return
	}
	now := time.Now()
	if most := int(o.maxMembers.Load()); members >= most || now.Sub(o.maxMembersAt) > memberCountRetention {
		o.maxMembers.Store(int64(members))
		o.maxMembersAt = now
	}
	if members != o.members {
		o.members = members
		o.engine.SetMembers(members, o.ingressCount())
	}
}

// ingressCount is through how many ingresses a tenant's requests may come. While nobody has told, they are taken for many: a part of a quota that is
// too large cannot be taken back.
func (o *controlFeed) ingressCount() int {
	if most := int(o.maxMembers.Load()); most > 0 {
		return most
	}
	return defaultIngressCount
}

// fresh tells whether what is not known here is known nowhere, as far as can be.
func (o *controlFeed) fresh() bool {
	return o.complete.Load() && time.Since(o.base)-time.Duration(o.quorumAt.Load()) < contactTTL
}

// serviceExists tells whether there is such a service.
func (o *controlFeed) serviceExists(service string) bool {
	return o.table.Load().Service(service) != nil
}

// backends translates instances for the module. Those of a life that is over, or silent, get nothing.
func (o *controlFeed) backends(ls []registry.Instance) []decision.Backend {
	list := make([]decision.Backend, 0, len(ls))
	for _, l := range ls {
		now, ok := o.store.Instance(l.ID)
		if !ok {
			continue
		}
		b := decision.Backend{ID: now.ID, Group: now.Service, Kind: now.Service, Zone: now.Zone, Serving: now.Phase == registry.Serving, Size: float64(now.Capacity)}
		if now.ColdUntil > 0 && !math.IsInf(now.ColdUntil, 0) {
			b.StartedAt = now.ColdUntil - o.warmUp
		}
		list = append(list, b)
	}
	return list
}

// lookup is where a server is, and whether it may be sent anything new.
func (o *controlFeed) lookup(id string) (addr string, serving bool) {
	l, ok := o.store.Instance(id)
	return l.Address, ok && l.Phase == registry.Serving
}

// Add is never called: counters are pairs.
func (o *controlFeed) Add(name string, _ float64, _ decision.Seconds) {
	o.engine.PairCounterReplied(name, decision.ConnectionRefused, 0, 0)
}

// Call carries out the module's calls of the counters.
func (o *controlFeed) Call(c decision.CounterCall) {
	if o.calls.Add(1) > maxCounterCalls {
		o.calls.Add(-1)
		go o.engine.PairCounterReplied(c.Name, decision.Rejected, 0, 0)
		return
	}
	a := &transport.CounterAdd{Name: c.Customer, Cycle: c.Cycle, Reporter: o.node, Amount: c.Add, ReadOnly: c.Add == 0, Retention: c.Retention, PerRequest: c.PerRequest}
	if c.PerRequest {
		a.Serial = o.nextSerial.Add(1)
		a.Reporter = o.process
	}
	go func() {
		defer o.calls.Add(-1)
		answer, err := o.client.Call(counterTimeout, &transport.Frame{CounterAdd: a})
		switch {
		case err != nil:
			o.engine.PairCounterReplied(c.Name, decision.TimedOut, 0, 0)
		case answer.CounterTotal == nil || !answer.CounterTotal.OK:
			holders := 0
			if answer.CounterTotal != nil {
				holders = answer.CounterTotal.Reporters // taken, by a keeper that is not sure of the others yet
			}
			o.engine.PairCounterReplied(c.Name, decision.Failed, 0, holders)
		default:
			o.engine.PairCounterReplied(c.Name, decision.Succeeded, answer.CounterTotal.Sum, answer.CounterTotal.Reporters)
		}
	}()
}
