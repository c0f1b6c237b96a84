// Package revisionlog brings the revisions of a catalogue into one order over a fleet. Whoever holds the duty of the catalogue says
// which content a number stands for; each ingress takes what is said under the newest token that it has heard, keeps it, and
// refuses what comes under an older one. A holder begins by asking all that live for what they were told before, so that a
// revision which its predecessor announced to a few goes on to all.
//
// It does no I/O, reads no clock and starts no goroutine: Step takes an event and the time and gives actions.
package revisionlog

import (
	"cmp"
	"maps"
	"slices"
)

// Seconds are those of the host's clock that only goes on.
type Seconds = float64

// The times, in seconds, and the bounds.
const (
	gatherTimeout  = 1.5 // a new holder announces nothing of its own before, unless all that live have answered
	resendInterval = 1.0 // what is not confirmed is said again
	queryInterval  = 5.0 // a member is asked what it has

	// MostEntries are remembered: older ones, by number, are past.
	MaxEntries = 16
	// MostText is the longest revision, in bytes.
	MaxTextBytes  = 1 << 20
	maxMembers    = 1024
	maxNameLength = 64
)

// Entry is a revision as it was announced.
type Entry struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Token  uint64 `cbor:"2,keyasint" json:"token"` // of who announced it
	Digest string `cbor:"3,keyasint" json:"digest"`
	Text   []byte `cbor:"4,keyasint" json:"text,omitempty"`
}

// Record is what an ingress keeps.
type Record struct {
	LastToken uint64  `json:"Taken"` // the newest token that it was told anything under
	Entries   []Entry `json:"Entries"`
}

// Kind is what a message is.
type MessageKind uint8

// The kinds.
const (
	Query       MessageKind = 1 // of the holder: what have you?
	Inventory   MessageKind = 2 // the answer: entries without text, as far as they are on disk
	Announce    MessageKind = 3 // of the holder: these hold
	Submit      MessageKind = 4 // to the holder: my own file has these
	Reject      MessageKind = 5 // of the holder: your file's revision has a number that stands for another
	Fetch       MessageKind = 6 // of the holder: send me the text of these
	FetchResult MessageKind = 7 // the answer
)

// Message is what ingresses say to each other.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	Token   uint64      `cbor:"2,keyasint,omitempty"` // of the holder; of Have: the newest that was taken
	Entries []Entry     `cbor:"3,keyasint,omitempty"`
}

// Event is what happens.
type Event interface{ event() }

// The events.
type (
	// Offered tells of a revision in this ingress's own file.
	LocalRevision struct{ Entry Entry }
	// Gained and Lost tell of the duty.
	LeaseGained struct{ Token uint64 }
	LeaseLost   struct{}
	// Heard is a message; its texts were read by the host and are what their digests say.
	MessageReceived struct {
		From    string
		Message Message
	}
	// Kept tells that a record is on disk.
	RecordStored struct{ Record Record }
	// Tick lets time pass.
	Tick struct {
		LivePeers   []string // the others, by name
		LeaseHolder string   // of the duty, as last heard; empty: nobody is known
	}
)

func (LocalRevision) event()   {}
func (LeaseGained) event()     {}
func (LeaseLost) event()       {}
func (MessageReceived) event() {}
func (RecordStored) event()    {}
func (Tick) event()            {}

// Action is what is to be done.
type Action interface{ action() }

// The actions.
type (
	// Send brings a message to a member. One of a holder is sent only while it may act under Message.Token.
	Send struct {
		To      string
		Message Message
	}
	// Take has a revision hold, in place of any other of its number.
	Apply struct{ Entry Entry }
	// Keep replaces the record on disk; Kept answers it.
	StoreRecord struct{ Record Record }
	// Turned tells that a revision of this ingress's own file is not announced: its number stands for another.
	ReportConflict struct{ Entry Entry }
)

func (Send) action()           {}
func (Apply) action()          {}
func (StoreRecord) action()    {}
func (ReportConflict) action() {}

// member is what a holder knows of another.
type peer struct {
	entries     map[uint64]Entry // without text; nil: it has not said
	nextQueryAt Seconds
	announcedAt map[uint64]Seconds
}

// Book is what one ingress knows. It is not safe for use by several goroutines.
type Log struct {
	entries      map[uint64]Entry
	lastToken    uint64
	stored       map[uint64]Entry // of these, those on disk; without text
	storedToken  uint64
	nextStoreAt  Seconds
	local        map[uint64]Entry // of the own file, not announced yet
	conflicts    map[uint64]string
	nextSubmitAt Seconds
	announcer    string // who last told anything as the holder
	rejected     int    // messages under an older token, or that cannot be

	token     uint64 // held; 0: not
	gainedAt  Seconds
	gathered  bool // it has gathered
	peers     map[string]*peer
	livePeers []string
}

// New returns what a process knows that begins, with what was kept.
func New(r Record) *Log {
	b := &Log{entries: map[uint64]Entry{}, stored: map[uint64]Entry{}, local: map[uint64]Entry{}, conflicts: map[uint64]string{}, peers: map[string]*peer{}, lastToken: r.LastToken, storedToken: r.LastToken}
	for _, e := range r.Entries {
		b.entries[e.Number], b.stored[e.Number] = e, e.brief()
	}
	return b
}

func (e Entry) brief() Entry {
	e.Text = nil
	return e
}

// Entries are those that were announced, by number, and the newest token.
func (b *Log) Entries() ([]Entry, uint64) {
	return sortedByNumber(b.entries), b.lastToken
}

// Refused is how many messages changed nothing.
func (b *Log) Rejected() int { return b.rejected }

func sortedByNumber(all map[uint64]Entry) []Entry {
	return slices.SortedFunc(maps.Values(all), func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
}

// Step takes an event.
func (b *Log) Step(now Seconds, e Event) (actions []Action) {
	switch e := e.(type) {
	case LocalRevision:
		if was, known := b.entries[e.Entry.Number]; known && was.Digest == e.Entry.Digest || len(e.Entry.Text) > MaxTextBytes {
			break
		} else if known {
			return b.reportConflict(e.Entry)
		}
		e.Entry.Token = 0
		if b.local[e.Entry.Number] = e.Entry; len(b.local) > MaxEntries {
			delete(b.local, slices.Min(slices.Collect(maps.Keys(b.local))))
		}
		b.nextSubmitAt = now
	case LeaseGained:
		b.token, b.gainedAt, b.gathered = e.Token, now, mutated("ungathered")
		clear(b.peers)
		if b.lastToken < e.Token { // as its own first hearer, it takes nothing older from now on
			b.lastToken = e.Token
			return []Action{b.storeRecord()}
		}
	case LeaseLost:
		b.token = 0
	case RecordStored:
		clear(b.stored)
		b.storedToken = e.Record.LastToken
		for _, k := range e.Record.Entries {
			b.stored[k.Number] = k.brief()
		}
		if b.announcer != "" && b.token == 0 {
			return []Action{b.inventory(b.announcer)}
		}
	case MessageReceived:
		return b.messageReceived(now, e.From, e.Message)
	case Tick:
		b.livePeers = e.LivePeers
		return b.tick(now, e.LeaseHolder)
	}
	return nil
}

// turn tells once that a revision of the own file has a number that stands for another.
func (b *Log) reportConflict(e Entry) []Action {
	delete(b.local, e.Number)
	if b.conflicts[e.Number] == e.Digest {
		return nil
	}
	if len(b.conflicts) > MaxEntries {
		clear(b.conflicts)
	}
	b.conflicts[e.Number] = e.Digest
	return []Action{ReportConflict{e}}
}

// hear goes by a message.
func (b *Log) messageReceived(now Seconds, from string, m Message) (actions []Action) {
	if len(m.Entries) > MaxEntries {
		b.rejected++
		return nil
	}
	switch m.Kind {
	case Query, Announce, Fetch, Reject:
		// Of a holder. One whose token is older has lost the duty without knowing; it hears so.
		if m.Token < b.lastToken && !mutated("older-taken") {
			b.rejected++
			return []Action{Send{from, Message{Kind: Inventory, Token: b.lastToken}}}
		}
		newer := m.Token > b.lastToken
		b.lastToken, b.announcer = max(b.lastToken, m.Token), from
		switch m.Kind {
		case Query:
			if newer {
				actions = append(actions, b.storeRecord())
			}
			actions = append(actions, b.inventory(from))
		case Announce:
			actions = b.applyAnnounced(m.Entries)
			if newer || len(actions) > 0 {
				actions = append(actions, b.storeRecord())
			} else {
				actions = append(actions, b.inventory(from))
			}
		case Fetch:
			for _, e := range m.Entries { // one a message: they may be long
				if l, ok := b.entries[e.Number]; ok {
					actions = append(actions, Send{from, Message{Kind: FetchResult, Token: m.Token, Entries: []Entry{l}}})
				}
			}
		case Reject:
			for _, e := range m.Entries {
				if own, ok := b.local[e.Number]; ok && own.Digest == e.Digest {
					actions = append(actions, b.reportConflict(own)...)
				}
			}
		}
	case Inventory, Submit, FetchResult:
		if b.token == 0 {
			return nil // it was the holder a moment ago; whoever is now is told
		}
		actions = b.replyReceived(now, from, m)
	}
	return actions
}

// told takes what the holder says: of one number the newest token's content stands.
func (b *Log) applyAnnounced(all []Entry) (actions []Action) {
	for _, e := range all {
		was, known := b.entries[e.Number]
		if e.Number == 0 || len(e.Text) == 0 || len(e.Text) > MaxTextBytes || e.Token > b.lastToken || known && (was.Digest == e.Digest || e.Token < was.Token) {
			continue
		}
		b.entries[e.Number] = e
		delete(b.local, e.Number)
		b.prune()
		if _, stays := b.entries[e.Number]; stays {
			actions = append(actions, Apply{e})
		}
	}
	return actions
}

// prune lets go of what is past.
func (b *Log) prune() {
	for len(b.entries) > MaxEntries {
		delete(b.entries, slices.Min(slices.Collect(maps.Keys(b.entries))))
	}
}

func (b *Log) storeRecord() Action {
	return StoreRecord{Record{LastToken: b.lastToken, Entries: sortedByNumber(b.entries)}}
}

// isKept tells whether all is on disk.
func (b *Log) isStored() bool {
	if b.storedToken < b.lastToken || len(b.stored) != len(b.entries) {
		return false
	}
	for n, e := range b.entries {
		if k := b.stored[n]; k.Digest != e.Digest || k.Token != e.Token {
			return false
		}
	}
	return true
}

// have says what is on disk.
func (b *Log) inventory(to string) Action {
	from := b.stored
	if mutated("unkept-confirmed") {
		from = b.entries
	}
	var all []Entry
	for _, e := range sortedByNumber(from) {
		all = append(all, e.brief())
	}
	return Send{to, Message{Kind: Inventory, Token: b.lastToken, Entries: all}}
}

// answered goes by what a member says to the holder.
func (b *Log) replyReceived(now Seconds, from string, m Message) (actions []Action) {
	if m.Kind == Inventory && m.Token > b.token {
		return nil // another holds the duty by now: the lease will say so
	}
	p := b.peer(from)
	if p == nil {
		return nil
	}
	changed := false
	switch m.Kind {
	case Inventory:
		p.entries = map[uint64]Entry{}
		var need []Entry
		for _, e := range m.Entries {
			p.entries[e.Number] = e
			if was, known := b.entries[e.Number]; e.Token < b.token && (!known && b.fits(e.Number) || known && was.Digest != e.Digest && e.Token > was.Token) {
				need = append(need, e)
			}
		}
		if len(need) > 0 {
			p.entries = nil // it is asked again once these are here
			actions = append(actions, Send{from, Message{Kind: Fetch, Token: b.token, Entries: need}})
		}
	case FetchResult: // of earlier holders, as they announced it
		for _, e := range m.Entries {
			was, known := b.entries[e.Number]
			if e.Number == 0 || len(e.Text) == 0 || len(e.Text) > MaxTextBytes || e.Token >= b.token || known && (was.Digest == e.Digest || e.Token <= was.Token) {
				continue
			}
			b.entries[e.Number] = e
			changed = true
			actions = append(actions, Apply{e})
		}
		p.nextQueryAt = now
	case Submit:
		for _, e := range m.Entries {
			was, known := b.entries[e.Number]
			switch {
			case known && was.Digest == e.Digest:
			case known && !mutated("number-again") || !known && !b.fits(e.Number):
				actions = append(actions, Send{from, Message{Kind: Reject, Token: b.token, Entries: []Entry{e.brief()}}})
			case b.gathered && e.Number > 0 && len(e.Text) > 0 && len(e.Text) <= MaxTextBytes:
				changed = true
				actions = append(actions, b.announce(e))
			}
		}
	}
	if changed {
		b.prune()
		actions = append(actions, b.storeRecord())
	}
	return actions
}

// announce has a revision stand for its number, under the token that is held.
func (b *Log) announce(e Entry) Action {
	e.Token = b.token
	b.entries[e.Number] = e
	return Apply{e}
}

// fits tells whether a number is not of the past.
func (b *Log) fits(number uint64) bool {
	return number > 0 && (len(b.entries) < MaxEntries || number > slices.Min(slices.Collect(maps.Keys(b.entries))))
}

func (b *Log) peer(name string) *peer {
	p := b.peers[name]
	if p == nil && len(b.peers) < maxMembers && name != "" && len(name) <= maxNameLength {
		p = &peer{announcedAt: map[uint64]Seconds{}}
		b.peers[name] = p
	}
	return p
}

// tick says again what was not confirmed; a holder opens once it has gathered.
func (b *Log) tick(now Seconds, holder string) (actions []Action) {
	if now >= b.nextStoreAt && !b.isStored() { // the disk had no room, or is slow
		b.nextStoreAt = now + resendInterval
		actions = append(actions, b.storeRecord())
	}
	if b.token == 0 {
		if holder != "" && len(b.local) > 0 && now >= b.nextSubmitAt {
			b.nextSubmitAt = now + resendInterval
			for _, e := range sortedByNumber(b.local) {
				actions = append(actions, Send{holder, Message{Kind: Submit, Entries: []Entry{e}}})
			}
		}
		return actions
	}
	heard := 0
	for _, name := range b.livePeers {
		p := b.peer(name)
		if p == nil {
			continue
		}
		if now >= p.nextQueryAt {
			p.nextQueryAt = now + queryInterval
			if p.entries == nil {
				p.nextQueryAt = now + resendInterval
			}
			actions = append(actions, Send{name, Message{Kind: Query, Token: b.token}})
		}
		if p.entries == nil {
			continue
		}
		heard++
		for _, e := range sortedByNumber(b.entries) {
			if p.entries[e.Number].Digest == e.Digest || now < p.announcedAt[e.Number]+resendInterval || !b.gathered {
				continue
			}
			if low := lowestNumber(p.entries); low > 0 && e.Number < low && len(p.entries) >= MaxEntries {
				continue // past, there
			}
			p.announcedAt[e.Number] = now
			actions = append(actions, Send{name, Message{Kind: Announce, Token: b.token, Entries: []Entry{e}}})
		}
		for n := range p.announcedAt {
			if _, there := b.entries[n]; !there {
				delete(p.announcedAt, n)
			}
		}
	}
	if !b.gathered && (heard == len(b.livePeers) && now > b.gainedAt+resendInterval/4 || now > b.gainedAt+gatherTimeout) {
		b.gathered = true
	}
	if b.gathered && len(b.local) > 0 {
		changed := false
		for _, e := range sortedByNumber(b.local) {
			delete(b.local, e.Number)
			if was, known := b.entries[e.Number]; known || !b.fits(e.Number) {
				if was.Digest != e.Digest {
					actions = append(actions, b.reportConflict(e)...)
				}
				continue
			}
			changed = true
			actions = append(actions, b.announce(e))
		}
		if changed {
			b.prune()
			actions = append(actions, b.storeRecord())
		}
	}
	return actions
}

func lowestNumber(all map[uint64]Entry) (low uint64) {
	for n := range all {
		if low == 0 || n < low {
			low = n
		}
	}
	return low
}
