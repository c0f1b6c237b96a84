package proxy

import (
	"cmp"
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/decision"
)

const (
	// contactTTL is the time without contact to a majority of the control nodes after which the configuration here may
	// be out of date: a route, a tenant or a service that it does not contain may exist nevertheless.
	contactTTL = 1500 * time.Millisecond
	// disruptionMargin is the time by which the disruption window exceeds ConfigApply, in seconds.
	disruptionMargin = 1
)

// controlFeed receives the configuration, the servers and the number of ingresses from the agent on the same machine,
// and calls the quota counters through the agent.
type controlFeed struct {
	log  log.Logger
	node string
	// processReporter is the reporter of PerRequest reports. It includes the incarnation, because the owner of a
	// counter must be able to distinguish a restarted process from its predecessor.
	processReporter string
	startedAt       time.Time
	store           *replication.Store
	agent           *replication.Client
	engine          *engine.Engine
	shedder         *shedder
	bounds          func() settings.Bounds // returns the bounds in force

	table      atomic.Pointer[configuration.RoutingTable]
	complete   atomic.Bool   // a complete configuration was received from an agent that was ready
	ready      chan struct{} // closed when complete is set
	quorumAt   atomic.Int64  // time of the agent's last contact with a majority, in ns since startedAt
	ingresses  atomic.Int64  // memberCount.value; 0: no number was reported yet
	calls      atomic.Int64  // number of counter calls in flight
	nextSerial atomic.Uint64

	// The fields below are used only by the goroutine of agent.Run, which calls applyUpdate.
	engineStarted bool
	memberCount   ingressCount
	members       int // number of ingresses last passed to the engine
	rank, peers   int // rank and number of ingresses in the zone, as last passed to the engine
}

// newControlFeed returns the feed of the process with the given incarnation. The caller must set agent and engine.
func newControlFeed(watcher *settings.Watcher, incarnation uint64, logger log.Logger) *controlFeed {
	s := watcher.Current()
	cf := &controlFeed{
		log:             logger,
		node:            s.Node,
		processReporter: s.Node + "#" + strconv.FormatUint(incarnation, 36),
		startedAt:       time.Now(),
		store:           replication.NewStore(incarnation),
		shedder:         newShedder(s.Limits.LinkMbps),
		bounds:          func() settings.Bounds { return watcher.Current().Bounds },
		ready:           make(chan struct{}),
	}
	cf.table.Store(configuration.NewRoutingTable())
	return cf
}

// applyUpdate applies an update that is already merged into the store. The first update starts the engine, because the
// common clock is known from then on.
func (cf *controlFeed) applyUpdate(update *transport.Update) {
	if !cf.engineStarted {
		cf.engineStarted = true
		cf.engine.Start(cf)
	}
	if len(update.Items) > 0 {
		cf.engine.ExpectDisruption(cf.disruptionWindow())
		cf.table.Store(cf.table.Load().With(cf.store.Snapshot(), update.Items))
		level.Info(cf.log).Log("msg", "configuration in force",
			"epoch", newestEpoch(update.Items), "items", len(update.Items),
		)
	}
	if len(update.Instances) > 0 {
		cf.engine.SetBackends(decision.Backends{List: cf.backends(update.Instances)})
	}
	cf.setMembers(update.Members, update.RecentMembers)
	linkDelay := time.Duration(update.LinkDelay * float64(time.Second))
	cf.shedder.observe(time.Now(), linkDelay, update.LinkDelay > 0)
	if update.ZonePeers > 0 && (update.Rank != cf.rank || update.ZonePeers != cf.peers) {
		cf.rank, cf.peers = update.Rank, update.ZonePeers
		cf.engine.SetZoneRank(update.Rank, update.ZonePeers)
	}
	if update.Quorum {
		// The contact dates from the sending of the update. This process may have been suspended since then.
		cf.quorumAt.Store(int64(time.Since(cf.startedAt) - cf.agent.Clock.Age(update.Clock)))
	}
	sufficient := update.Complete && update.Ready && cf.table.Load().RouteCount() > 0
	if sufficient && cf.complete.CompareAndSwap(false, true) {
		close(cf.ready)
	}
}

// disruptionWindow returns the time after a change of settings or configuration in which a broken connection is
// attributed to that change (RULES, LOST).
func (cf *controlFeed) disruptionWindow() decision.Seconds {
	return cf.bounds().ConfigApply + disruptionMargin
}

// newestEpoch returns the highest epoch of items.
func newestEpoch(items []configuration.Item) (epoch uint64) {
	for _, item := range items {
		epoch = max(epoch, item.Epoch)
	}
	return epoch
}

// setMembers records the reported number of ingresses, and passes a change to the engine. A number of 0 or less means
// that the agent does not know it, and is ignored.
func (cf *controlFeed) setMembers(members, recent int) {
	if members <= 0 {
		return
	}
	now := time.Now()
	cf.memberCount.observe(now, members)
	ingresses := int64(cf.memberCount.value(now.Sub(cf.startedAt), recent))
	changed := cf.ingresses.Swap(ingresses) != ingresses
	if changed || members != cf.members {
		cf.members = members
		cf.engine.SetMembers(members, int(ingresses))
	}
}

// ingressCount returns the number of ingresses through which a tenant's requests may arrive.
func (cf *controlFeed) ingressCount() int {
	return cmp.Or(int(cf.ingresses.Load()), defaultIngressCount)
}

// upToDate reports whether the configuration here is complete and the last contact with a majority is more recent than
// contactTTL. Only then is a route, a tenant or a service that it does not contain considered not to exist.
func (cf *controlFeed) upToDate() bool { return cf.complete.Load() && cf.contactAge() < contactTTL }

// awaitConfiguration waits until the configuration here is complete, for limit seconds at most, and returns the time
// waited. It does not wait once there has been a complete configuration.
func (cf *controlFeed) awaitConfiguration(limit decision.Seconds) (waited decision.Seconds) {
	if cf.complete.Load() {
		return 0
	}
	begin := time.Now()
	timer := time.NewTimer(time.Duration(limit * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-cf.ready:
	case <-timer.C:
	}
	return time.Since(begin).Seconds()
}

// contactAge returns the time since the agent's last contact with a majority of the control nodes.
func (cf *controlFeed) contactAge() time.Duration {
	return time.Since(cf.startedAt) - time.Duration(cf.quorumAt.Load())
}

// serviceExists reports whether the configuration contains a service.
func (cf *controlFeed) serviceExists(service string) bool {
	return cf.table.Load().Service(service) != nil
}

// backends converts instances to backends of the decision module. Instances that are gone, silent or draining are not
// marked as serving, so that no requests are sent to them.
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

// lookup returns the address of a server, and whether new requests may be sent to it.
func (cf *controlFeed) lookup(id string) (addr string, serving bool) {
	instance, ok := cf.store.Instance(id)
	return instance.Address, ok && instance.Phase == registry.Serving
}
