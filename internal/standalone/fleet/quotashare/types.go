package quotashare

// Seconds are those of a clock that only goes on.
type Seconds = float64

// Claim is one start of a process: a later one is higher.
type Claim struct{ Boot, Nonce uint64 }

// Newer tells whether c is a later start than o.
func (c Claim) Newer(o Claim) bool { return c.Boot > o.Boot || c.Boot == o.Boot && c.Nonce > o.Nonce }

// Line is what a door says of a member to another one.
type Line struct {
	Member string  `cbor:"1,keyasint"`
	Rate   float64 `cbor:"2,keyasint,omitempty"` // units a second asked at the sender
	Lent   float64 `cbor:"3,keyasint,omitempty"` // units a second of its own that the receiver may use; absent lines: none
	Sums   []Sum   `cbor:"4,keyasint,omitempty"`
	Loans  bool    `cbor:"5,keyasint,omitempty"` // the sender goes by loans for it
}

// Word is a message between doors. It is whole: a member that is not in it has no loan of the sender's.
type Word struct {
	Claim [2]uint64 `cbor:"1,keyasint"`
	Seq   uint64    `cbor:"2,keyasint"`           // of the sender to the receiver
	Echo  uint64    `cbor:"3,keyasint,omitempty"` // the receiver's last word that the sender had
	Of    [2]uint64 `cbor:"9,keyasint,omitempty"` // the receiver's start that said it
	Sound bool      `cbor:"4,keyasint,omitempty"` // the sender trusts the counter
	Lines []Line    `cbor:"5,keyasint,omitempty"`
	Zone  string    `cbor:"6,keyasint,omitempty"`
	Bad   []string  `cbor:"7,keyasint,omitempty"` // servers that the sender itself finds bad
	Size  int       `cbor:"8,keyasint,omitempty"` // of its list
}

// Right is what this ingress has of a member's quota.
type Right struct {
	Member string
	Rate   float64 // units a second; of Scaled: the part of what the module itself reckons
	Less   float64 // of Scaled: units a second of it that are lent
	Keep   float64 // units a second that it has in any case
	Scaled bool
}

// Options are those of a process.
type Options struct {
	Name  string
	Zone  string
	Fleet int // ingresses in all, by the configuration
	Claim Claim
	// Counter: there is one. Without, nothing is ever counted, and doors lend from the first moment on.
	Counter bool
}

// member is what is known of a member's quota.
type member struct {
	first, doors int
	quota        float64
	rate         float64 // units a second asked here, lately
	asked        float64 // units since rated
	rated        Seconds
	seen         Seconds
	heard        map[string]line // of the other doors, by name
	lent         map[string]float64
}

// line is what another door said of a member.
type line struct {
	at    Seconds
	rate  float64
	loans bool
}

// sent is a word that left, as far as it lent something.
type sent struct {
	seq  uint64
	at   Seconds
	lent map[string]float64 // by member
}

// peer is another ingress.
type peer struct {
	claim  Claim
	seq    uint64 // of the last word to it
	words  []sent // that it may go by
	echoed uint64 // the last of these that it had
	got    uint64 // its own last
	heard  Seconds
	sound  bool
	taken  map[string]float64 // by member
	until  Seconds            // of these
	sayAt  Seconds
	zone   string
	bad    []string
}

// sentAt is when a word left that is remembered.
func (p *peer) sentAt(seq uint64) (Seconds, bool) {
	for _, s := range p.words {
		if s.seq == seq {
			return s.at, true
		}
	}
	return 0, false
}

// promised is the most of a member's quota that a borrower may believe it has: of all words since the one that it answered last.
func (p *peer) promised(now Seconds, name string) (most float64) {
	for _, s := range p.words {
		if s.seq >= p.echoed && (now <= s.at+Back && !mutated("back-early") || now <= s.at+Lease/3) {
			most = max(most, s.lent[name])
		}
	}
	if mutated("promise-last") && len(p.words) > 0 {
		most = p.words[len(p.words)-1].lent[name]
	}
	return most
}

// Status is what is told of a member.
type Status struct {
	Member    string   `json:"member"`
	Quota     float64  `json:"quota"` // units a second
	Right     float64  `json:"right"`
	Asked     float64  `json:"asked"`
	GivenTo   []Part   `json:"given,omitempty"`
	TakenFrom []Part   `json:"taken,omitempty"`
	DoorNames []string `json:"doors"`
	Silent    []string `json:"silent,omitempty"` // doors that were not heard of late
}

// Part is what is lent between two doors, in units a second.
type Part struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"`
}
