package revisionlog

import (
	"cmp"
	"maps"
	"slices"
)

// Seconds are seconds of the host's monotonic clock.
type Seconds = float64

// Timing of messages, in Seconds.
const (
	gatherTimeout  = 1.5                // longest wait of a new lease holder for the inventories of live peers
	minGatherTime  = resendInterval / 4 // shortest wait, even if all live peers have sent theirs or none is known yet
	resendInterval = 1.0                // time until an unconfirmed message is sent again
	queryInterval  = 5.0                // time between two queries of a peer by the lease holder
)

// Log holds the catalogue's revisions that are known to one ingress. It is not safe for concurrent use.
type Log struct {
	entries   map[uint64]Entry // by number
	lastToken uint64           // newest fencing token seen, in a message or by gaining the lease

	stored      map[uint64]Entry // entries on disk by number, without texts
	storedToken uint64           // lastToken on disk
	nextStoreAt Seconds

	local        map[uint64]Entry  // revisions of this ingress's own file that are not announced yet, by number
	conflicts    map[uint64]string // digests of local revisions that were reported as conflicts, by number
	nextSubmitAt Seconds

	announcer string // name of the last lease holder that sent a message
	rejected  int    // number of messages under an older token, or with too many entries

	token     uint64 // token of the lease that this ingress holds; 0 if it holds none
	gainedAt  Seconds
	gathered  bool // whether all inventories are known or gatherTimeout has passed, so that revisions may be announced
	peers     map[string]*peer
	livePeers []string
}

// New returns the log of a process that starts with a stored record.
func New(r Record) *Log {
	l := &Log{
		entries:     map[uint64]Entry{},
		lastToken:   r.LastToken,
		stored:      map[uint64]Entry{},
		storedToken: r.LastToken,
		local:       map[uint64]Entry{},
		conflicts:   map[uint64]string{},
		peers:       map[string]*peer{},
	}
	for _, e := range r.Entries {
		l.entries[e.Number], l.stored[e.Number] = e, e.withoutText()
	}
	return l
}

// Entries returns the announced revisions, sorted by number, and the newest fencing token seen.
func (l *Log) Entries() ([]Entry, uint64) {
	return sortedByNumber(l.entries), l.lastToken
}

// Rejected returns the number of rejected messages.
func (l *Log) Rejected() int { return l.rejected }

// Step handles an event.
func (l *Log) Step(now Seconds, event Event) (actions []Action) {
	switch event := event.(type) {
	case LocalRevision:
		return l.localRevision(now, event.Entry)
	case LeaseGained:
		return l.leaseGained(now, event.Token)
	case LeaseLost:
		l.token = 0
	case RecordStored:
		return l.recordStored(event.Record)
	case MessageReceived:
		return l.messageReceived(now, event.From, event.Message)
	case Tick:
		l.livePeers = event.LivePeers
		return l.tick(now, event.LeaseHolder)
	}
	return nil
}

// localRevision adds a revision of this ingress's own file, to be announced or submitted later. A revision with a text
// of more than MaxTextBytes is ignored.
func (l *Log) localRevision(now Seconds, e Entry) []Action {
	announced, known := l.entries[e.Number]
	if known && announced.Digest == e.Digest || len(e.Text) > MaxTextBytes {
		return nil
	}
	if known {
		return l.reportConflict(e)
	}
	e.Token = 0
	l.local[e.Number] = e
	if len(l.local) > MaxEntries {
		delete(l.local, lowestNumber(l.local))
	}
	l.nextSubmitAt = now
	return nil
}

// reportConflict reports that the number of a revision of this ingress's own file is already in use for other content
// or is too low to be retained. A conflict is reported only once, until l.conflicts exceeds MaxEntries and is cleared
// to bound its size.
func (l *Log) reportConflict(e Entry) []Action {
	delete(l.local, e.Number)
	if l.conflicts[e.Number] == e.Digest {
		return nil
	}
	if len(l.conflicts) > MaxEntries {
		clear(l.conflicts)
	}
	l.conflicts[e.Number] = e.Digest
	return []Action{ReportConflict{e}}
}

// recordStored records what is on disk, and confirms it to the lease holder.
func (l *Log) recordStored(r Record) []Action {
	clear(l.stored)
	l.storedToken = r.LastToken
	for _, e := range r.Entries {
		l.stored[e.Number] = e.withoutText()
	}
	if l.announcer == "" || l.token != 0 {
		return nil
	}
	return []Action{l.inventory(l.announcer)}
}

// tick repeats what has not succeeded yet: storing the record, submitting local revisions and, at the lease holder,
// announcing.
func (l *Log) tick(now Seconds, leaseHolder string) (actions []Action) {
	if now >= l.nextStoreAt && !l.isStored() { // the last store failed or has not finished
		l.nextStoreAt = now + resendInterval
		actions = append(actions, l.storeRecord())
	}
	if l.token == 0 {
		return append(actions, l.submitLocal(now, leaseHolder)...)
	}
	return append(actions, l.tickLeaseHolder(now)...)
}

// storeRecord returns the action that stores all entries.
func (l *Log) storeRecord() Action {
	return StoreRecord{Record{LastToken: l.lastToken, Entries: sortedByNumber(l.entries)}}
}

// isStored reports whether all entries are on disk.
func (l *Log) isStored() bool {
	if l.storedToken < l.lastToken || len(l.stored) != len(l.entries) {
		return false
	}
	for number, e := range l.entries {
		if stored := l.stored[number]; stored.Digest != e.Digest || stored.Token != e.Token {
			return false
		}
	}
	return true
}

// prune removes the entries with the lowest numbers until at most MaxEntries are left.
func (l *Log) prune() {
	for len(l.entries) > MaxEntries {
		delete(l.entries, lowestNumber(l.entries))
	}
}

// wouldRetain reports whether prune would retain an entry with the given number. Numbers at or below the lowest
// retained one count as pruned if the log is full.
func (l *Log) wouldRetain(number uint64) bool {
	return number > 0 && (len(l.entries) < MaxEntries || number > lowestNumber(l.entries))
}

func sortedByNumber(entries map[uint64]Entry) []Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
}

// lowestNumber returns the lowest number of the entries, or 0 if there are none.
func lowestNumber(entries map[uint64]Entry) uint64 {
	if len(entries) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Keys(entries)))
}
