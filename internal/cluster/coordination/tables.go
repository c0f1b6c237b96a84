package coordination

import "mulleinrouter/internal/cluster/shard"

const (
	// maxRecords bounds the locks, numbers and cells of a shard, all together. Requests that would create more are
	// answered with TooMany.
	maxRecords = 10_000
	// maxValueBytes bounds the bytes of the names and values in the cells and events of a shard. A replica without them
	// receives all in one message, and each node has all in memory.
	maxValueBytes = 4 << 20
	// maxUpkeepWrites bounds the records that one upkeep deletes, all of them in one batch.
	maxUpkeepWrites = 256
	// retentionMargin is how much longer than the history passed to Load events are kept, in seconds. A watch receives
	// a revision some time after the events that follow it begin to age, and a put may be repeated for some seconds.
	retentionMargin = 10.0
)

// Tables are the records of a shard at its leaseholder, for the duration of a term.
type Tables struct {
	term      uint64  // term of the leaseholder
	retention float64 // time for which events are kept, seconds
	locks     map[string]*lock
	numbers   map[string]*number
	cells     map[string]*cell
	groups    map[string]*group
	bytes     int // bytes of all cells and events, with their names
}

// Load reads the records at the start of a term, when earlier leaseholders no longer answer requests. History is how
// long a watch may rely on events, in seconds. The error wraps ErrRecord.
func Load(records map[string][]byte, term uint64, now, history float64) (*Tables, error) {
	t := &Tables{
		term:      term,
		retention: history + retentionMargin,
		locks:     map[string]*lock{},
		numbers:   map[string]*number{},
		cells:     map[string]*cell{},
		groups:    map[string]*group{},
	}
	for key, value := range records {
		if err := t.loadRecord(key, value, now); err != nil {
			return nil, err
		}
	}
	for _, g := range t.groups {
		g.finishLoading()
		for _, e := range g.events {
			t.bytes += e.size()
		}
	}
	return t, nil
}

func (t *Tables) loadRecord(key string, value []byte, now float64) error {
	if key == "" {
		return ErrRecord
	}
	r, name := readRecord(value), key[1:]
	switch key[0] {
	case prefixLock:
		t.locks[name] = loadLock(r, now)
	case prefixNumber:
		t.numbers[name] = loadNumber(r)
	case prefixCell:
		c := loadCell(r)
		t.cells[name] = c
		t.bytes += len(name) + len(c.value)
	case prefixGroup:
		t.group(name).revision = r.number()
	case prefixEvent:
		group, revision, err := splitEventKey(key)
		if err != nil {
			return err
		}
		t.group(group).load(r, revision, now)
	default:
		return ErrRecord
	}
	return r.err
}

// Evaluate evaluates a request. Next is the number that a batch with its writes would get, committed the number of the
// last committed batch.
func (t *Tables) Evaluate(r Request, now float64, next, committed uint64) Outcome {
	switch r.Kind {
	case AcquireLock:
		return t.acquire(r, now, next)
	case RenewLock:
		return t.renew(r, now, next)
	case ReleaseLock:
		return t.release(r, now, next)
	case NextNumber:
		return t.nextNumber(r, next)
	case PutCell:
		return t.put(r, now, next)
	case GetCell:
		return t.get(r)
	case Watch:
		return t.watch(r, committed)
	}
	return Outcome{Result: Result{Code: NotFound}} // a kind that this version does not know
}

// Upkeep removes unneeded records, and returns the writes that delete them, at most maxUpkeepWrites. It removes events
// older than the retention, and locks whose hold has ended, because the leaseholder of a later term would extend the
// holds when it loads their records.
func (t *Tables) Upkeep(now float64, committed uint64) (writes []shard.Write) {
	for name, l := range t.locks {
		if now >= l.expires && l.seq <= committed && len(writes) < maxUpkeepWrites {
			delete(t.locks, name)
			writes = append(writes, shard.Write{Key: recordKey(prefixLock, name)})
		}
	}
	for name, g := range t.groups {
		for _, e := range g.trim(now-t.retention, committed, maxUpkeepWrites-len(writes)) {
			t.bytes -= e.size()
			writes = append(writes, shard.Write{Key: eventKey(name, e.revision)})
		}
	}
	return writes
}

// Stats is the number of records of each kind.
type Stats struct{ Locks, Numbers, Cells, Events int }

// Stats returns the present numbers of records.
func (t *Tables) Stats() Stats {
	s := Stats{Locks: len(t.locks), Numbers: len(t.numbers), Cells: len(t.cells)}
	for _, g := range t.groups {
		s.Events += len(g.events)
	}
	return s
}

// full reports whether the shard has reached maxRecords, so that no more records may be created.
func (t *Tables) full() bool { return len(t.locks)+len(t.numbers)+len(t.cells) >= maxRecords }
