package quotashare

// Event is what happens.
type Event interface{ event() }

// The events.
type (
	// Demand tells of a request that came.
	Demand struct {
		Customer               string
		FirstGateway, Gateways int
		Quota, Units           float64
	}
	// Received is a word of another ingress.
	Received struct {
		From    string
		Message Message
	}
	// CounterCall tells of a call of the counter as it leaves; Counted what came of it.
	CounterCall struct {
		Name   string
		Amount float64
		TTL    Seconds
	}
	CounterAnswer struct {
		Name     string
		Answered bool // by the counter, in whatever words
		HasTotal bool // with a total
		Total    float64
	}
	// Tick lets time pass; it comes ten times a second or so.
	Tick struct {
		Ingresses        map[int]string // ingresses by number, as membership knows them; this one among them
		AlivePeers       []string       // the others
		UnhealthyServers []string       // servers that this ingress itself finds bad
		ServerCount      int            // servers of its list
	}
	// Paused tells that the process stood still: what it borrowed has ended.
	Paused struct{}
	// NameLost tells that another process has this ingress's name: its part is that one's.
	NameLost struct{}
)

func (Demand) event() {}

func (Received) event() {}

func (CounterCall) event() {}

func (CounterAnswer) event() {}

func (Tick) event() {}

func (Paused) event() {}

func (NameLost) event() {}

// Action is what is to be done.
type Action interface{ action() }

// The actions.
type (
	// SendMessage sends a word.
	SendMessage struct {
		To      string
		Message Message
	}
	// SetGrants sets what this ingress has of members' quotas, in units a second, in place of all before; Until: if nothing is said by
	// then, the process stood still, and has of each what it never lends.
	SetGrants struct {
		Grants []QuotaGrant
		Until  Seconds
	}
	// WarnServers names the servers that others' votes speak against, in place of all before.
	WarnServers struct{ Servers []string }
	// CounterTrustChanged tells that the counter is trusted from now on, or is not, and why.
	CounterTrustChanged struct {
		Trusted bool
		Reason  string
	}
)

func (SendMessage) action() {}

func (SetGrants) action() {}

func (WarnServers) action() {}

func (CounterTrustChanged) action() {}
