package quotashare

import (
	"slices"
)

// Bounds on what is remembered and accepted.
const (
	maxCustomers           = 20000
	maxCustomersPerMessage = 2000
	maxPeers               = 1024
	maxSentMessages        = 64 // to one peer
	maxNameBytes           = 64
	maxRate                = 1e9 // units a second: a greater value is an error
)

// idleTTL is after how long a customer without requests or a silent peer is removed, in seconds.
const idleTTL = 30.0

// Allocator is the state of one ingress. It is not safe for concurrent use.
type Allocator struct {
	options   Options
	startedAt Seconds
	lastTick  Seconds
	nameLost  bool

	customers map[string]*customer
	peers     map[string]*peer
	ingresses map[int]string // by the last Tick
	rejected  int            // messages that changed nothing

	health          counterHealth
	grantsPublished bool // the last SetGrants had any

	unhealthyServers []string // by the last Tick
	serverCount      int      // by the last Tick
	warned           []string // by the last WarnServers
	voteTurn         int
}

// New returns the state of a process that starts.
func New(now Seconds, o Options) *Allocator {
	return &Allocator{
		options:   o,
		startedAt: now,
		lastTick:  now,
		customers: map[string]*customer{},
		peers:     map[string]*peer{},
		ingresses: map[int]string{},
		health:    newCounterHealth(now, o.HasCounter),
	}
}

// Step applies an event and returns what is to be done.
func (a *Allocator) Step(now Seconds, e Event) (actions []Action) {
	switch e := e.(type) {
	case Demand:
		a.addDemand(now, e)
	case Received:
		a.receive(now, e.From, e.Message)
	case CounterCall:
		a.health.callStarted(now, e)
	case CounterAnswer:
		return a.health.callAnswered(now, e)
	case Paused:
		for _, p := range a.peers {
			p.dropBorrowed()
		}
	case NameLost:
		a.nameLost = true
	case Tick:
		return a.tick(now, e)
	}
	return nil
}

// tick removes what is idle, decides what is lent, sends messages, and sets the grants of this ingress.
func (a *Allocator) tick(now Seconds, t Tick) (actions []Action) {
	a.lastTick = now
	a.ingresses = t.Ingresses
	a.unhealthyServers = t.UnhealthyServers
	a.serverCount = t.ServerCount
	actions = a.health.tick(now)
	for name, c := range a.customers {
		if now > c.lastDemand+idleTTL {
			delete(a.customers, name)
			continue
		}
		c.updateRate(now)
		c.removeIdleReports(now)
		a.lend(now, name, c)
	}
	for name, p := range a.peers {
		if p.isIdle(now) {
			delete(a.peers, name)
		}
	}
	actions = append(actions, a.sendMessages(now, t.AlivePeers)...)
	// After the messages: what they lend is no longer granted here before another gateway can use it.
	actions = append(actions, a.publishGrants(now)...)
	if servers := a.suspectServers(now); !slices.Equal(servers, a.warned) {
		a.warned = servers
		actions = append(actions, WarnServers{Servers: servers})
	}
	return actions
}

// isValidRate rejects NaN, too.
func isValidRate(rate float64) bool { return rate >= 0 && rate <= maxRate }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
