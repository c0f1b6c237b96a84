package quotashare

// Seconds are those of a clock that only goes on.
type Seconds = float64

// Incarnation is one start of a process: a later one is higher.
type Incarnation struct{ Boot, Nonce uint64 }

// Newer tells whether c is a later start than o.
func (c Incarnation) Newer(o Incarnation) bool {
	return c.Boot > o.Boot || c.Boot == o.Boot && c.Nonce > o.Nonce
}

// CustomerReport is what a door says of a member to another one.
type CustomerReport struct {
	Customer   string         `cbor:"1,keyasint"`
	Rate       float64        `cbor:"2,keyasint,omitempty"` // units a second asked at the sender
	Lent       float64        `cbor:"3,keyasint,omitempty"` // units a second of its own that the receiver may use; absent lines: none
	Totals     []CounterTotal `cbor:"4,keyasint,omitempty"`
	UsesGrants bool           `cbor:"5,keyasint,omitempty"` // the sender goes by loans for it
}

// Message is a message between doors. It is whole: a member that is not in it has no loan of the sender's.
type Message struct {
	Incarnation      [2]uint64        `cbor:"1,keyasint"`
	Seq              uint64           `cbor:"2,keyasint"`           // of the sender to the receiver
	AckSeq           uint64           `cbor:"3,keyasint,omitempty"` // the receiver's last word that the sender had
	AckIncarnation   [2]uint64        `cbor:"9,keyasint,omitempty"` // the receiver's start that said it
	CounterTrusted   bool             `cbor:"4,keyasint,omitempty"` // the sender trusts the counter
	Customers        []CustomerReport `cbor:"5,keyasint,omitempty"`
	Zone             string           `cbor:"6,keyasint,omitempty"`
	UnhealthyServers []string         `cbor:"7,keyasint,omitempty"` // servers that the sender itself finds bad
	ServerCount      int              `cbor:"8,keyasint,omitempty"` // of its list
}

// QuotaGrant is what this ingress has of a member's quota.
type QuotaGrant struct {
	Customer string
	Rate     float64 // units a second; of Scaled: the part of what the module itself reckons
	Less     float64 // of Scaled: units a second of it that are lent
	Keep     float64 // units a second that it has in any case
	Scaled   bool
}

// Options are those of a process.
type Options struct {
	Name        string
	Zone        string
	Ingresses   int // ingresses in all, by the configuration
	Incarnation Incarnation
	// Counter: there is one. Without, nothing is ever counted, and doors lend from the first moment on.
	HasCounter bool
}

// customer is what is known of a member's quota.
type customer struct {
	firstGateway, gateways int
	quota                  float64
	rate                   float64 // units a second asked here, lately
	pendingUnits           float64 // units since rated
	ratedAt                Seconds
	lastDemand             Seconds
	reports                map[string]peerReport // of the other doors, by name
	lent                   map[string]float64
}

// peerReport is what another door said of a member.
type peerReport struct {
	at         Seconds
	rate       float64
	usesGrants bool
}

// sentMessage is a word that left, as far as it lent something.
type sentMessage struct {
	seq    uint64
	sentAt Seconds
	lent   map[string]float64 // by member
}

// peer is another ingress.
type peer struct {
	incarnation      Incarnation
	sentSeq          uint64        // of the last word to it
	sent             []sentMessage // that it may go by
	ackedSeq         uint64        // the last of these that it had
	receivedSeq      uint64        // its own last
	lastContact      Seconds
	counterTrusted   bool
	borrowed         map[string]float64 // by member
	borrowedUntil    Seconds            // of these
	nextSendAt       Seconds
	zone             string
	unhealthyServers []string
}

// sentAt is when a word left that is remembered.
func (p *peer) sentAt(seq uint64) (Seconds, bool) {
	for _, s := range p.sent {
		if s.seq == seq {
			return s.sentAt, true
		}
	}
	return 0, false
}

// maxBelieved is the most of a member's quota that a borrower may believe it has: of all words since the one that it answered last.
func (p *peer) maxBelieved(now Seconds, name string) (most float64) {
	for _, s := range p.sent {
		if s.seq >= p.ackedSeq && (now <= s.sentAt+ReclaimDelay && !mutated("back-early") || now <= s.sentAt+LeaseDuration/3) {
			most = max(most, s.lent[name])
		}
	}
	if mutated("promise-last") && len(p.sent) > 0 {
		most = p.sent[len(p.sent)-1].lent[name]
	}
	return most
}

// Status is what is told of a member.
type Status struct {
	Customer     string   `json:"member"`
	Quota        float64  `json:"quota"` // units a second
	Grant        float64  `json:"right"`
	Demand       float64  `json:"asked"`
	LentTo       []Loan   `json:"given,omitempty"`
	BorrowedFrom []Loan   `json:"taken,omitempty"`
	Gateways     []string `json:"doors"`
	Silent       []string `json:"silent,omitempty"` // doors that were not heard of late
}

// Loan is what is lent between two doors, in units a second.
type Loan struct {
	Peer string  `json:"name"`
	Rate float64 `json:"rate"`
}
