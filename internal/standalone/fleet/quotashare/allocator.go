package quotashare

import (
	"slices"
)

// Limits on the state and on messages, which bound memory and reject invalid values.
const (
	maxCustomers           = 20000 // customers with state
	maxCustomersPerMessage = 2000  // reports
	maxPeers               = 1024  // other ingresses with state
	maxSentMessages        = 64    // messages to one peer whose loans are remembered
	maxNameBytes           = 64    // length of the name of an ingress, customer or counter entry
	maxRate                = 1e9   // units a second; greater values are rejected
)

// idleTTL is the time after which a customer without requests or a silent peer is removed, in seconds.
const idleTTL = 30.0

// Allocator is the state machine of one ingress. It holds the customers, the loans of quota, the health of the counter
// and the votes against servers. It is not safe for concurrent use.
type Allocator struct {
	options   Options
	startedAt Seconds
	lastTick  Seconds
	nameLost  bool // this process left the fleet or lost its name, see NameLost

	customers map[string]*customer
	peers     map[string]*peer
	ingresses map[int]string // names by index, from the last Tick
	rejected  int            // number of messages that changed nothing

	health          counterHealth
	grantsPublished bool // whether the last SetGrants contained any grants

	unhealthyServers   []string // from the last Tick
	serverCount        int      // from the last Tick
	warned             []string // from the last WarnServers
	voteReceiverCursor int      // index of the last receiver of votes among the alive peers, modulo their number
}

// New returns the state of a process that starts at the given time.
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

// Step applies an event and returns the actions that the caller must carry out.
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

// tick removes idle customers and peers, decides the loans, sends messages, and sets the grants of this ingress.
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
	// The grants are computed after the messages, so that a loan is subtracted here before its borrower can use it.
	actions = append(actions, a.publishGrants(now)...)
	if servers := a.suspectServers(now); !slices.Equal(servers, a.warned) {
		a.warned = servers
		actions = append(actions, WarnServers{Servers: servers})
	}
	return actions
}

// isValidRate reports whether a rate is between 0 and maxRate. It rejects NaN because comparisons with NaN are false.
func isValidRate(rate float64) bool { return rate >= 0 && rate <= maxRate }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
