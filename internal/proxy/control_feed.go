package proxy

import (
	"cmp"
	"math"
	"strconv"
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
	// contactTTL is the time without contact to a majority of the control nodes after which a route, a tenant or a
	// service that is not known here may exist all the same.
	contactTTL = 1500 * time.Millisecond
	// disruptionMargin is added to ConfigApply for the disruption window, in seconds.
	disruptionMargin = 1
)

// controlFeed is what the proxy gets from the agent beside it: the configuration, the servers, the number of ingresses,
// and the counters of quotas.
type controlFeed struct {
	log  log.Logger
	node string
	// process is the reporter of PerRequest reports: a process that starts anew must not be taken for the one before
	// it.
	process   string
	startedAt time.Time
	store     *replication.Store
	agent     *replication.Client
	engine    *engine.Engine
	shedder   *shedder
	bounds    func() settings.Bounds // in force

	table      atomic.Pointer[configuration.RoutingTable]
	complete   atomic.Bool   // a complete configuration came from an agent that had it from the control nodes
	ready      chan struct{} // closed with complete
	quorumAt   atomic.Int64  // when the agent was last in contact with a majority, in ns since startedAt
	ingresses  atomic.Int64  // ingressCount.value of counted; 0: none was reported
	calls      atomic.Int64  // counter calls in flight
	nextSerial atomic.Uint64

	// The fields below belong to the goroutine of agent.Run, which calls applyUpdate.
	engineStarted bool
	counted       ingressCount
	members       int // as last passed to the engine
	rank, peers   int // in the zone, as last passed to the engine
}

// newControlFeed makes the feed of a process with that incarnation; the caller sets agent and engine.
func newControlFeed(watcher *settings.Watcher, incarnation uint64, logger log.Logger) *controlFeed {
	s := watcher.Current()
	cf := &controlFeed{
		log:       logger,
		node:      s.Node,
		process:   s.Node + "#" + strconv.FormatUint(incarnation, 36),
		startedAt: time.Now(),
		store:     replication.NewStore(incarnation),
		shedder:   newShedder(s.Limits.LinkMbps),
		bounds:    func() settings.Bounds { return watcher.Current().Bounds },
		ready:     make(chan struct{}),
	}
	cf.table.Store(configuration.NewRoutingTable())
	return cf
}

// applyUpdate applies an update that is merged into the store already. With the first one the common clock is known,
// and the engine starts.
func (cf *controlFeed) applyUpdate(update *transport.Update) {
	if !cf.engineStarted {
		cf.engineStarted = true
		cf.engine.Start(cf)
	}
	if len(update.Items) > 0 {
		cf.engine.ExpectDisruption(cf.disruptionWindow())
		cf.table.Store(cf.table.Load().With(cf.store.Snapshot(), update.Items))
		cf.log.Log("msg", "configuration in force", "epoch", newestEpoch(update.Items), "items", len(update.Items))
	}
	if len(update.Instances) > 0 {
		cf.engine.SetBackends(decision.Backends{List: cf.backends(update.Instances)})
	}
	cf.setMembers(update.Members)
	linkDelay := time.Duration(update.LinkDelay * float64(time.Second))
	cf.shedder.observe(time.Now(), linkDelay, update.LinkDelay > 0)
	if update.ZonePeers > 0 && (update.Rank != cf.rank || update.ZonePeers != cf.peers) {
		cf.rank, cf.peers = update.Rank, update.ZonePeers
		cf.engine.SetZoneRank(update.Rank, update.ZonePeers)
	}
	if update.Quorum { // as of when it was sent: this process may have been stopped
		cf.quorumAt.Store(int64(time.Since(cf.startedAt) - cf.agent.Clock.Age(update.Clock)))
	}
	sufficient := update.Complete && update.Ready && cf.table.Load().RouteCount() > 0
	if sufficient && cf.complete.CompareAndSwap(false, true) {
		close(cf.ready)
	}
}

// disruptionWindow returns for how long after a change of settings or configuration a broken connection counts as
// caused by it (RULES, LOST).
func (cf *controlFeed) disruptionWindow() decision.Seconds {
	return cf.bounds().ConfigApply + disruptionMargin
}

// newestEpoch returns the highest epoch of some items.
func newestEpoch(items []configuration.Item) (epoch uint64) {
	for _, item := range items {
		epoch = max(epoch, item.Epoch)
	}
	return epoch
}

// setMembers sets the number of ingresses; 0 or less: it is not known.
func (cf *controlFeed) setMembers(members int) {
	if members <= 0 {
		return
	}
	cf.counted.observe(time.Now(), members)
	ingresses := int64(cf.counted.value())
	changed := cf.ingresses.Swap(ingresses) != ingresses
	if changed || members != cf.members {
		cf.members = members
		cf.engine.SetMembers(members, int(ingresses))
	}
}

// ingressCount returns the number of ingresses that a tenant's requests may come through.
func (cf *controlFeed) ingressCount() int {
	return cmp.Or(int(cf.ingresses.Load()), defaultIngressCount)
}

// upToDate reports whether the configuration here is complete and no older than contactTTL: a route, a tenant or a
// service that it lacks then does not exist, as far as that can be known.
func (cf *controlFeed) upToDate() bool { return cf.complete.Load() && cf.contactAge() < contactTTL }

// contactAge returns the time since the agent was in contact with a majority of the control nodes.
func (cf *controlFeed) contactAge() time.Duration {
	return time.Since(cf.startedAt) - time.Duration(cf.quorumAt.Load())
}

// serviceExists reports whether there is such a service.
func (cf *controlFeed) serviceExists(service string) bool {
	return cf.table.Load().Service(service) != nil
}

// backends translates instances for the decision module. Those that are gone, silent or draining are sent nothing.
func (cf *controlFeed) backends(instances []registry.Instance) []decision.Backend {
	list := make([]decision.Backend, 0, len(instances))
	for _, changed := range instances {
		instance, ok := cf.store.Instance(changed.ID)
		if !ok {
			continue
		}
		backend := decision.Backend{
			ID:      instance.ID,
			Group:   instance.Service,
			Kind:    instance.Service,
			Zone:    instance.Zone,
			Serving: instance.Phase == registry.Serving,
			Size:    float64(instance.Capacity),
		}
		if instance.SlowStartUntil > 0 && !math.IsInf(instance.SlowStartUntil, 0) {
			backend.StartedAt = instance.SlowStartUntil - slowStartTime
		}
		list = append(list, backend)
	}
	return list
}

// lookup returns where a server is, and whether it may be sent new requests.
func (cf *controlFeed) lookup(id string) (addr string, serving bool) {
	instance, ok := cf.store.Instance(id)
	return instance.Address, ok && instance.Phase == registry.Serving
}
