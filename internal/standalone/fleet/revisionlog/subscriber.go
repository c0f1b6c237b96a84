package revisionlog

import "mulleinrouter/internal/mutants"

// messageReceived handles a message of another ingress.
func (l *Log) messageReceived(now Seconds, from string, m Message) []Action {
	if len(m.Entries) > MaxEntries {
		l.rejected++
		return nil
	}
	switch m.Kind {
	case Query, Announce, Fetch, Reject:
		return l.leaseHolderMessage(from, m)
	case Inventory, Submit, FetchResult:
		if l.token == 0 {
			return nil // this ingress has lost the lease; the sender will learn of the new holder
		}
		return l.subscriberMessage(now, from, m)
	}
	return nil
}

// leaseHolderMessage handles a message of the lease holder. A sender with an older token has lost the lease and does
// not know it yet; it is sent an inventory that carries the newer token.
func (l *Log) leaseHolderMessage(from string, m Message) (actions []Action) {
	if m.Token < l.lastToken && !mutants.On("revisionlog/older-taken") {
		l.rejected++
		return []Action{Send{from, Message{Kind: Inventory, Token: l.lastToken}}}
	}
	newer := m.Token > l.lastToken
	l.lastToken, l.announcer = max(l.lastToken, m.Token), from
	switch m.Kind {
	case Query:
		if newer {
			actions = append(actions, l.storeRecord())
		}
		actions = append(actions, l.inventory(from))
	case Announce:
		actions = l.applyAnnounced(m.Entries)
		if newer || len(actions) > 0 {
			actions = append(actions, l.storeRecord()) // confirmed to the lease holder after RecordStored
		} else {
			actions = append(actions, l.inventory(from))
		}
	case Fetch:
		for _, wanted := range m.Entries { // one per message, because texts may be long
			if e, known := l.entries[wanted.Number]; known {
				result := Message{Kind: FetchResult, Token: m.Token, Entries: []Entry{e}}
				actions = append(actions, Send{from, result})
			}
		}
	case Reject:
		for _, rejected := range m.Entries {
			if local, known := l.local[rejected.Number]; known && local.Digest == rejected.Digest {
				actions = append(actions, l.reportConflict(local)...)
			}
		}
	}
	return actions
}

// applyAnnounced applies the lease holder's entries. If there are two contents for one number, the one announced under
// the newer token applies.
func (l *Log) applyAnnounced(announced []Entry) (actions []Action) {
	for _, e := range announced {
		if !e.validText() || e.Token > l.lastToken {
			continue
		}
		if existing, known := l.entries[e.Number]; known && (existing.Digest == e.Digest || e.Token < existing.Token) {
			continue
		}
		l.entries[e.Number] = e
		delete(l.local, e.Number)
		l.prune()
		if _, kept := l.entries[e.Number]; kept {
			actions = append(actions, Apply{e})
		}
	}
	return actions
}

// inventory returns the message that lists the entries on disk. It confirms them, so that the lease holder does not
// send them again.
func (l *Log) inventory(to string) Action {
	listed := l.stored
	if mutants.On("revisionlog/unkept-confirmed") {
		listed = l.entries
	}
	var entries []Entry
	for _, e := range sortedByNumber(listed) {
		entries = append(entries, e.withoutText())
	}
	return Send{to, Message{Kind: Inventory, Token: l.lastToken, Entries: entries}}
}

// submitLocal submits the revisions of this ingress's own file to the lease holder, repeatedly until they are announced
// or rejected.
func (l *Log) submitLocal(now Seconds, leaseHolder string) (actions []Action) {
	if leaseHolder == "" || len(l.local) == 0 || now < l.nextSubmitAt {
		return nil
	}
	l.nextSubmitAt = now + resendInterval
	for _, e := range sortedByNumber(l.local) {
		actions = append(actions, Send{leaseHolder, Message{Kind: Submit, Entries: []Entry{e}}})
	}
	return actions
}
