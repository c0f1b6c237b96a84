package revisionlog

import "mulleinrouter/internal/mutants"

// peer is the state that a lease holder keeps of another ingress.
type peer struct {
	// entries is its last inventory, by number. It is nil if no inventory has arrived, and while entries that the
	// inventory listed and this ingress lacks are being fetched.
	entries     map[uint64]Entry
	nextQueryAt Seconds
	announcedAt map[uint64]Seconds // time of the last Announce, by number
}

// leaseGained starts a new lease. The lease holder gathers the inventories of its peers before it announces anything,
// so that it does not reuse a number that its predecessor announced.
func (l *Log) leaseGained(now Seconds, token uint64) []Action {
	l.token, l.gainedAt, l.gathered = token, now, mutants.On("revisionlog/ungathered")
	clear(l.peers)
	if l.lastToken >= token {
		return nil
	}
	l.lastToken = token // messages with older tokens are rejected from now on
	return []Action{l.storeRecord()}
}

// subscriberMessage handles a message to the lease holder.
func (l *Log) subscriberMessage(now Seconds, from string, m Message) (actions []Action) {
	if m.Kind == Inventory && m.Token > l.token {
		return nil // another ingress holds a newer lease, and the loss of this one is about to be reported
	}
	p := l.peer(from)
	if p == nil {
		return nil
	}
	changed := false
	switch m.Kind {
	case Inventory:
		return l.inventoryReceived(from, p, m.Entries)
	case FetchResult:
		actions, changed = l.fetchResultReceived(m.Entries)
		p.nextQueryAt = now
	case Submit:
		actions, changed = l.submitReceived(from, m.Entries)
	}
	if changed {
		l.prune()
		actions = append(actions, l.storeRecord())
	}
	return actions
}

// inventoryReceived records what a peer has stored, and fetches the entries that an earlier lease holder announced to
// the peer and that this ingress lacks, or has with other content from an older announcement.
func (l *Log) inventoryReceived(from string, p *peer, listed []Entry) []Action {
	p.entries = map[uint64]Entry{}
	var missing []Entry
	for _, e := range listed {
		p.entries[e.Number] = e
		existing, known := l.entries[e.Number]
		newer := known && existing.Digest != e.Digest && e.Token > existing.Token
		if e.Token < l.token && (newer || !known && l.wouldRetain(e.Number)) {
			missing = append(missing, e)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	p.entries = nil // the peer is queried again once the fetched entries have arrived
	return []Action{Send{from, Message{Kind: Fetch, Token: l.token, Entries: missing}}}
}

// fetchResultReceived applies entries of earlier lease holders under the tokens of their announcements.
func (l *Log) fetchResultReceived(entries []Entry) (actions []Action, changed bool) {
	for _, e := range entries {
		if !e.validText() || e.Token >= l.token {
			continue
		}
		if existing, known := l.entries[e.Number]; known && (existing.Digest == e.Digest || e.Token <= existing.Token) {
			continue
		}
		l.entries[e.Number] = e
		changed = true
		actions = append(actions, Apply{e})
	}
	return actions, changed
}

// submitReceived announces revisions of another ingress's file. It rejects those whose numbers are already announced
// with other content, or are too low to be retained.
func (l *Log) submitReceived(from string, entries []Entry) (actions []Action, changed bool) {
	for _, e := range entries {
		existing, known := l.entries[e.Number]
		switch {
		case known && existing.Digest == e.Digest:
		case known && !mutants.On("revisionlog/number-again") || !known && !l.wouldRetain(e.Number):
			reject := Message{Kind: Reject, Token: l.token, Entries: []Entry{e.withoutText()}}
			actions = append(actions, Send{from, reject})
		case l.gathered && e.validText():
			changed = true
			actions = append(actions, l.announce(e))
		}
	}
	return actions, changed
}

// announce records a revision under its number, with the token of the lease. The following ticks send it to the peers.
func (l *Log) announce(e Entry) Action {
	e.Token = l.token
	l.entries[e.Number] = e
	return Apply{e}
}

// peer returns the state of a peer, created if needed; nil if the name is invalid or there are too many peers.
func (l *Log) peer(name string) *peer {
	p := l.peers[name]
	if p == nil && len(l.peers) < maxPeers && name != "" && len(name) <= maxNameLength {
		p = &peer{announcedAt: map[uint64]Seconds{}}
		l.peers[name] = p
	}
	return p
}

// tickLeaseHolder queries the peers. Once their inventories are gathered, it sends them the entries that they have not
// confirmed, and announces the revisions of this ingress's own file.
func (l *Log) tickLeaseHolder(now Seconds) (actions []Action) {
	inventories := 0
	for _, name := range l.livePeers {
		p := l.peer(name)
		if p == nil {
			continue
		}
		actions = append(actions, l.queryPeer(now, name, p)...)
		if p.entries == nil {
			continue
		}
		inventories++
		actions = append(actions, l.announceTo(now, name, p)...)
	}
	complete := inventories == len(l.livePeers) && now > l.gainedAt+minGatherTime
	if complete || now > l.gainedAt+gatherTimeout {
		l.gathered = true
	}
	if l.gathered && len(l.local) > 0 {
		actions = append(actions, l.announceLocal()...)
	}
	return actions
}

// queryPeer queries a peer when a query is due. Queries are more frequent until the first inventory arrives.
func (l *Log) queryPeer(now Seconds, name string, p *peer) []Action {
	if now < p.nextQueryAt {
		return nil
	}
	p.nextQueryAt = now + queryInterval
	if p.entries == nil {
		p.nextQueryAt = now + resendInterval
	}
	return []Action{Send{name, Message{Kind: Query, Token: l.token}}}
}

// announceTo sends a peer the entries that it has not confirmed, once the inventories are gathered. An entry is sent
// again after resendInterval.
func (l *Log) announceTo(now Seconds, name string, p *peer) (actions []Action) {
	lowest := lowestNumber(p.entries)
	for _, e := range sortedByNumber(l.entries) {
		if p.entries[e.Number].Digest == e.Digest || now < p.announcedAt[e.Number]+resendInterval || !l.gathered {
			continue
		}
		if lowest > 0 && e.Number < lowest && len(p.entries) >= MaxEntries {
			continue // the peer has pruned this entry
		}
		p.announcedAt[e.Number] = now
		actions = append(actions, Send{name, Message{Kind: Announce, Token: l.token, Entries: []Entry{e}}})
	}
	for number := range p.announcedAt {
		if _, kept := l.entries[number]; !kept {
			delete(p.announcedAt, number)
		}
	}
	return actions
}

// announceLocal announces the revisions of this ingress's own file.
func (l *Log) announceLocal() (actions []Action) {
	changed := false
	for _, e := range sortedByNumber(l.local) {
		delete(l.local, e.Number)
		existing, known := l.entries[e.Number]
		if !known && l.wouldRetain(e.Number) {
			changed = true
			actions = append(actions, l.announce(e))
		} else if existing.Digest != e.Digest {
			actions = append(actions, l.reportConflict(e)...)
		}
	}
	if changed {
		l.prune()
		actions = append(actions, l.storeRecord())
	}
	return actions
}
