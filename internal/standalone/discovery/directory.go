package discovery

import (
	"sync"

	"mulleinrouter/internal/decision"
)

const millisecondsPerSecond = 1000

// Directory holds the addresses of the backends on the endpoint list. It is safe for use by several goroutines.
type Directory struct {
	mu      sync.RWMutex // guards entries
	entries map[string]entry
}

type entry struct {
	addr    string
	serving bool
}

// Lookup returns a backend's address, and whether it may be sent new requests.
func (d *Directory) Lookup(id string) (addr string, serving bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e := d.entries[id]
	return e.addr, e.serving
}

// apply applies a list and returns it as an event for the decision module. The directory must be updated before the
// module is, because the module sends requests to a backend as soon as it knows it, and they need its address.
func (d *Directory) apply(l *List) decision.Backends {
	update := decision.Backends{Complete: l.All, List: make([]decision.Backend, 0, len(l.Targets))}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil || l.All {
		d.entries = make(map[string]entry, len(l.Targets))
	}
	for _, t := range l.Targets {
		serving := t.State == stateActive
		if t.State == stateLeft {
			delete(d.entries, t.UID)
		} else {
			d.entries[t.UID] = entry{addr: t.Endpoint, serving: serving}
		}
		update.List = append(update.List, decision.Backend{
			ID:        t.UID,
			Zone:      t.Zone,
			Kind:      t.Model,
			Serving:   serving,
			Size:      t.Capacity,
			StartedAt: t.BootMs / millisecondsPerSecond,
		})
	}
	return update
}
