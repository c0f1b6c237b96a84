package quotashare

// Event is an input of Allocator.Step.
type Event interface{ event() }

// Demand is a request of a customer that came to this ingress.
type Demand struct {
	Customer     string
	FirstGateway int     // index of the first of the consecutive ingresses that serve the customer
	Gateways     int     // their number
	Quota        float64 // units a second
	Units        float64
}

// Received is a message of another ingress.
type Received struct {
	From    string
	Message Message
}

// CounterCall is a call of the counter that starts.
type CounterCall struct {
	Name   string
	Amount float64
	TTL    Seconds // for how long the counter keeps the name
}

// CounterAnswer is the outcome of the oldest pending call for a name.
type CounterAnswer struct {
	Name     string
	Answered bool // by the counter, be it with an error
	HasTotal bool
	Total    float64
}

// Tick reports the passing of time. It is expected about ten times a second.
type Tick struct {
	Ingresses        map[int]string // names by index, as membership knows them, this one included
	AlivePeers       []string
	UnhealthyServers []string // by this ingress's own evidence
	ServerCount      int      // length of its endpoint list
}

// Paused reports that the process was suspended: its leases have expired.
type Paused struct{}

// NameLost reports that another process has this ingress's name, and with it its share.
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

// SetGrants replaces all grants of this ingress. If no other SetGrants follows until Until, the process was
// suspended, and each customer's QuotaGrant.Reserved is left.
type SetGrants struct {
	Grants []QuotaGrant
	Until  Seconds
}

// WarnServers replaces the set of servers that other ingresses find unhealthy.
type WarnServers struct{ Servers []string }

// CounterTrustChanged reports that the counter is trusted from now on, or isn't.
type CounterTrustChanged struct {
	Trusted bool
	Reason  string // why it isn't
}

func (SendMessage) action() {}

func (SetGrants) action() {}

func (WarnServers) action() {}

func (CounterTrustChanged) action() {}
