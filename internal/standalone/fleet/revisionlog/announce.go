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
	gatherFor = 1.5 // a new holder announces nothing of its own before, unless all that live have answered
	againWait = 1.0 // what is not confirmed is said again
	askEvery  = 5.0 // a member is asked what it has

	// MostEntries are remembered: older ones, by number, are past.
	MostEntries = 16
	// MostText is the longest revision, in bytes.
	MostText    = 1 << 20
	mostMembers = 1024
	mostWord    = 64
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
	Taken   uint64  `json:"Taken"` // the newest token that it was told anything under
	Entries []Entry `json:"Entries"`
}

// Kind is what a message is.
type Kind uint8

// The kinds.
const (
	Ask    Kind = 1 // of the holder: what have you?
	Have   Kind = 2 // the answer: entries without text, as far as they are on disk
	Tell   Kind = 3 // of the holder: these hold
	Hand   Kind = 4 // to the holder: my own file has these
	Refuse Kind = 5 // of the holder: your file's revision has a number that stands for another
	Need   Kind = 6 // of the holder: send me the text of these
	Give   Kind = 7 // the answer
)

// Message is what ingresses say to each other.
type Message struct {
	Kind    Kind    `cbor:"1,keyasint"`
	Token   uint64  `cbor:"2,keyasint,omitempty"` // of the holder; of Have: the newest that was taken
	Entries []Entry `cbor:"3,keyasint,omitempty"`
}

// Event is what happens.
type Event interface{ event() }

// The events.
type (
	// Offered tells of a revision in this ingress's own file.
	Offered struct{ Entry Entry }
	// Gained and Lost tell of the duty.
	Gained struct{ Token uint64 }
	Lost   struct{}
	// Heard is a message; its texts were read by the host and are what their digests say.
	Heard struct {
		From    string
		Message Message
	}
	// Kept tells that a record is on disk.
	Kept struct{ Record Record }
	// Tick lets time pass.
	Tick struct {
		Living []string // the others, by name
		Holder string   // of the duty, as last heard; empty: nobody is known
	}
)

func (Offered) event() {}
func (Gained) event()  {}
func (Lost) event()    {}
func (Heard) event()   {}
func (Kept) event()    {}
func (Tick) event()    {}

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
	Take struct{ Entry Entry }
	// Keep replaces the record on disk; Kept answers it.
	Keep struct{ Record Record }
	// Turned tells that a revision of this ingress's own file is not announced: its number stands for another.
	Turned struct{ Entry Entry }
)

func (Send) action()   {}
func (Take) action()   {}
func (Keep) action()   {}
func (Turned) action() {}

// member is what a holder knows of another.
type member struct {
	has    map[uint64]Entry // without text; nil: it has not said
	askAt  Seconds
	toldAt map[uint64]Seconds
}

// Book is what one ingress knows. It is not safe for use by several goroutines.
type Book struct {
	log       map[uint64]Entry
	taken     uint64
	kept      map[uint64]Entry // of these, those on disk; without text
	keptTaken uint64
	keepAt    Seconds
	own       map[uint64]Entry // of the own file, not announced yet
	turned    map[uint64]string
	handAt    Seconds
	teller    string // who last told anything as the holder
	refused   int    // messages under an older token, or that cannot be

	token   uint64 // held; 0: not
	since   Seconds
	opened  bool // it has gathered
	members map[string]*member
	living  []string
}

// New returns what a process knows that begins, with what was kept.
func New(r Record) *Book {
	b := &Book{log: map[uint64]Entry{}, kept: map[uint64]Entry{}, own: map[uint64]Entry{}, turned: map[uint64]string{}, members: map[string]*member{}, taken: r.Taken, keptTaken: r.Taken}
	for _, e := range r.Entries {
		b.log[e.Number], b.kept[e.Number] = e, e.brief()
	}
	return b
}

func (e Entry) brief() Entry {
	e.Text = nil
	return e
}

// Entries are those that were announced, by number, and the newest token.
func (b *Book) Entries() ([]Entry, uint64) {
	return sorted(b.log), b.taken
}

// Refused is how many messages changed nothing.
func (b *Book) Refused() int { return b.refused }

func sorted(all map[uint64]Entry) []Entry {
	return slices.SortedFunc(maps.Values(all), func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
}

// Step takes an event.
func (b *Book) Step(now Seconds, e Event) (actions []Action) {
	switch e := e.(type) {
	case Offered:
		if was, known := b.log[e.Entry.Number]; known && was.Digest == e.Entry.Digest || len(e.Entry.Text) > MostText {
			break
		} else if known {
			return b.turn(e.Entry)
		}
		e.Entry.Token = 0
		if b.own[e.Entry.Number] = e.Entry; len(b.own) > MostEntries {
			delete(b.own, slices.Min(slices.Collect(maps.Keys(b.own))))
		}
		b.handAt = now
	case Gained:
		b.token, b.since, b.opened = e.Token, now, mutated("ungathered")
		clear(b.members)
		if b.taken < e.Token { // as its own first hearer, it takes nothing older from now on
			b.taken = e.Token
			return []Action{b.keep()}
		}
	case Lost:
		b.token = 0
	case Kept:
		clear(b.kept)
		b.keptTaken = e.Record.Taken
		for _, k := range e.Record.Entries {
			b.kept[k.Number] = k.brief()
		}
		if b.teller != "" && b.token == 0 {
			return []Action{b.have(b.teller)}
		}
	case Heard:
		return b.hear(now, e.From, e.Message)
	case Tick:
		b.living = e.Living
		return b.tick(now, e.Holder)
	}
	return nil
}

// turn tells once that a revision of the own file has a number that stands for another.
func (b *Book) turn(e Entry) []Action {
	delete(b.own, e.Number)
	if b.turned[e.Number] == e.Digest {
		return nil
	}
	if len(b.turned) > MostEntries {
		clear(b.turned)
	}
	b.turned[e.Number] = e.Digest
	return []Action{Turned{e}}
}

// hear goes by a message.
func (b *Book) hear(now Seconds, from string, m Message) (actions []Action) {
	if len(m.Entries) > MostEntries {
		b.refused++
		return nil
	}
	switch m.Kind {
	case Ask, Tell, Need, Refuse:
		// Of a holder. One whose token is older has lost the duty without knowing; it hears so.
		if m.Token < b.taken && !mutated("older-taken") {
			b.refused++
			return []Action{Send{from, Message{Kind: Have, Token: b.taken}}}
		}
		newer := m.Token > b.taken
		b.taken, b.teller = max(b.taken, m.Token), from
		switch m.Kind {
		case Ask:
			if newer {
				actions = append(actions, b.keep())
			}
			actions = append(actions, b.have(from))
		case Tell:
			actions = b.told(m.Entries)
			if newer || len(actions) > 0 {
				actions = append(actions, b.keep())
			} else {
				actions = append(actions, b.have(from))
			}
		case Need:
			for _, e := range m.Entries { // one a message: they may be long
				if l, ok := b.log[e.Number]; ok {
					actions = append(actions, Send{from, Message{Kind: Give, Token: m.Token, Entries: []Entry{l}}})
				}
			}
		case Refuse:
			for _, e := range m.Entries {
				if own, ok := b.own[e.Number]; ok && own.Digest == e.Digest {
					actions = append(actions, b.turn(own)...)
				}
			}
		}
	case Have, Hand, Give:
		if b.token == 0 {
			return nil // it was the holder a moment ago; whoever is now is told
		}
		actions = b.answered(now, from, m)
	}
	return actions
}

// told takes what the holder says: of one number the newest token's content stands.
func (b *Book) told(all []Entry) (actions []Action) {
	for _, e := range all {
		was, known := b.log[e.Number]
		if e.Number == 0 || len(e.Text) == 0 || len(e.Text) > MostText || e.Token > b.taken || known && (was.Digest == e.Digest || e.Token < was.Token) {
			continue
		}
		b.log[e.Number] = e
		delete(b.own, e.Number)
		b.prune()
		if _, stays := b.log[e.Number]; stays {
			actions = append(actions, Take{e})
		}
	}
	return actions
}

// prune lets go of what is past.
func (b *Book) prune() {
	for len(b.log) > MostEntries {
		delete(b.log, slices.Min(slices.Collect(maps.Keys(b.log))))
	}
}

func (b *Book) keep() Action { return Keep{Record{Taken: b.taken, Entries: sorted(b.log)}} }

// isKept tells whether all is on disk.
func (b *Book) isKept() bool {
	if b.keptTaken < b.taken || len(b.kept) != len(b.log) {
		return false
	}
	for n, e := range b.log {
		if k := b.kept[n]; k.Digest != e.Digest || k.Token != e.Token {
			return false
		}
	}
	return true
}

// have says what is on disk.
func (b *Book) have(to string) Action {
	from := b.kept
	if mutated("unkept-confirmed") {
		from = b.log
	}
	var all []Entry
	for _, e := range sorted(from) {
		all = append(all, e.brief())
	}
	return Send{to, Message{Kind: Have, Token: b.taken, Entries: all}}
}

// answered goes by what a member says to the holder.
func (b *Book) answered(now Seconds, from string, m Message) (actions []Action) {
	if m.Kind == Have && m.Token > b.token {
		return nil // another holds the duty by now: the lease will say so
	}
	p := b.of(from)
	if p == nil {
		return nil
	}
	changed := false
	switch m.Kind {
	case Have:
		p.has = map[uint64]Entry{}
		var need []Entry
		for _, e := range m.Entries {
			p.has[e.Number] = e
			if was, known := b.log[e.Number]; e.Token < b.token && (!known && b.fits(e.Number) || known && was.Digest != e.Digest && e.Token > was.Token) {
				need = append(need, e)
			}
		}
		if len(need) > 0 {
			p.has = nil // it is asked again once these are here
			actions = append(actions, Send{from, Message{Kind: Need, Token: b.token, Entries: need}})
		}
	case Give: // of earlier holders, as they announced it
		for _, e := range m.Entries {
			was, known := b.log[e.Number]
			if e.Number == 0 || len(e.Text) == 0 || len(e.Text) > MostText || e.Token >= b.token || known && (was.Digest == e.Digest || e.Token <= was.Token) {
				continue
			}
			b.log[e.Number] = e
			changed = true
			actions = append(actions, Take{e})
		}
		p.askAt = now
	case Hand:
		for _, e := range m.Entries {
			was, known := b.log[e.Number]
			switch {
			case known && was.Digest == e.Digest:
			case known && !mutated("number-again") || !known && !b.fits(e.Number):
				actions = append(actions, Send{from, Message{Kind: Refuse, Token: b.token, Entries: []Entry{e.brief()}}})
			case b.opened && e.Number > 0 && len(e.Text) > 0 && len(e.Text) <= MostText:
				changed = true
				actions = append(actions, b.announce(e))
			}
		}
	}
	if changed {
		b.prune()
		actions = append(actions, b.keep())
	}
	return actions
}

// announce has a revision stand for its number, under the token that is held.
func (b *Book) announce(e Entry) Action {
	e.Token = b.token
	b.log[e.Number] = e
	return Take{e}
}

// fits tells whether a number is not of the past.
func (b *Book) fits(number uint64) bool {
	return number > 0 && (len(b.log) < MostEntries || number > slices.Min(slices.Collect(maps.Keys(b.log))))
}

func (b *Book) of(name string) *member {
	p := b.members[name]
	if p == nil && len(b.members) < mostMembers && name != "" && len(name) <= mostWord {
		p = &member{toldAt: map[uint64]Seconds{}}
		b.members[name] = p
	}
	return p
}

// tick says again what was not confirmed; a holder opens once it has gathered.
func (b *Book) tick(now Seconds, holder string) (actions []Action) {
	if now >= b.keepAt && !b.isKept() { // the disk had no room, or is slow
		b.keepAt = now + againWait
		actions = append(actions, b.keep())
	}
	if b.token == 0 {
		if holder != "" && len(b.own) > 0 && now >= b.handAt {
			b.handAt = now + againWait
			for _, e := range sorted(b.own) {
				actions = append(actions, Send{holder, Message{Kind: Hand, Entries: []Entry{e}}})
			}
		}
		return actions
	}
	heard := 0
	for _, name := range b.living {
		p := b.of(name)
		if p == nil {
			continue
		}
		if now >= p.askAt {
			p.askAt = now + askEvery
			if p.has == nil {
				p.askAt = now + againWait
			}
			actions = append(actions, Send{name, Message{Kind: Ask, Token: b.token}})
		}
		if p.has == nil {
			continue
		}
		heard++
		for _, e := range sorted(b.log) {
			if p.has[e.Number].Digest == e.Digest || now < p.toldAt[e.Number]+againWait || !b.opened {
				continue
			}
			if low := least(p.has); low > 0 && e.Number < low && len(p.has) >= MostEntries {
				continue // past, there
			}
			p.toldAt[e.Number] = now
			actions = append(actions, Send{name, Message{Kind: Tell, Token: b.token, Entries: []Entry{e}}})
		}
		for n := range p.toldAt {
			if _, there := b.log[n]; !there {
				delete(p.toldAt, n)
			}
		}
	}
	if !b.opened && (heard == len(b.living) && now > b.since+againWait/4 || now > b.since+gatherFor) {
		b.opened = true
	}
	if b.opened && len(b.own) > 0 {
		changed := false
		for _, e := range sorted(b.own) {
			delete(b.own, e.Number)
			if was, known := b.log[e.Number]; known || !b.fits(e.Number) {
				if was.Digest != e.Digest {
					actions = append(actions, b.turn(e)...)
				}
				continue
			}
			changed = true
			actions = append(actions, b.announce(e))
		}
		if changed {
			b.prune()
			actions = append(actions, b.keep())
		}
	}
	return actions
}

func least(all map[uint64]Entry) (low uint64) {
	for n := range all {
		if low == 0 || n < low {
			low = n
		}
	}
	return low
}
