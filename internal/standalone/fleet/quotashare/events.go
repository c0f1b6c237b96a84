package quotashare

// Event is an input of Allocator.Step.
type Event interface{ event() }

// Demand is a request of a customer that arrived at this ingress.
type Demand struct {
	Customer     string
	FirstGateway int     // index of the first of the consecutive ingresses that serve the customer
	Gateways     int     // number of these ingresses
	Quota        float64 // units a second
	Units        float64 // units of this request
}

// Received is a message from another ingress.
type Received struct {
	From    string
	Message Message
}

// CounterCall reports the start of a call to the counter, which adds an amount under a name.
type CounterCall struct {
	Name   string
	Amount float64
	TTL    Seconds // how long the counter keeps the name
}

// CounterAnswer is the outcome of the oldest pending call for a name.
type CounterAnswer struct {
	Name     string
	Answered bool    // whether the counter answered, with a total or an error
	HasTotal bool    // whether the answer has a total
	Total    float64 // units added under the name by all ingresses
}

// Tick reports the passing of time. It is expected about ten times a second.
type Tick struct {
	Ingresses        map[int]string // names by index as known to membership, including this ingress
	AlivePeers       []string
	UnhealthyServers []string // as observed by this ingress itself
	ServerCount      int      // length of this ingress's endpoint list
}

// Paused reports that the process was suspended. The loans to this ingress are dropped, because their leases may have
// expired.
type Paused struct{}

// NameLost reports that this process has left the fleet or lost its name to another process, which may therefore own
// this ingress's share of the quotas.
type NameLost struct{}

func (Demand) event() {}

func (Received) event() {}

func (CounterCall) event() {}

func (CounterAnswer) event() {}

func (Tick) event() {}

func (Paused) event() {}

func (NameLost) event() {}

// Action is an output of Allocator.Step, to be carried out by the caller in order.
type Action interface{ action() }

// SendMessage sends a message to an ingress. It may be lost.
type SendMessage struct {
	To      string
	Message Message
}

// SetGrants replaces all grants of this ingress. They are valid until Until. If no other SetGrants follows by then, the
// process was suspended, and only QuotaGrant.Reserved remains for each customer.
type SetGrants struct {
	Grants []QuotaGrant
	Until  Seconds
}

// WarnServers replaces the set of servers that enough other ingresses find unhealthy.
type WarnServers struct{ Servers []string }

// CounterTrustChanged reports that the counter has become trusted or distrusted.
type CounterTrustChanged struct {
	Trusted bool
	Reason  string // why it is distrusted; empty if it is trusted
}

func (SendMessage) action() {}

func (SetGrants) action() {}

func (WarnServers) action() {}

func (CounterTrustChanged) action() {}
