package modelcheck

import "mulleinrouter/internal/decision"

// server is a quote server, with its state in the endpoint list.
type server struct {
	id            string
	address       string
	listed        bool
	serving       bool
	drainingSince decision.Seconds // time at which it was listed as draining, or removed
	down          bool             // whether it refuses connections
}

// updateBackends sends the endpoint list to the decision module.
func (w *world) updateBackends() {
	update := decision.Backends{Complete: true}
	for _, s := range w.servers {
		if s.listed {
			update.List = append(update.List, decision.Backend{ID: s.id, Zone: "a", Serving: s.serving, Size: 1})
		}
	}
	w.applyEffects(w.dispatcher.Handle(w.now, update))
}

// server returns the server with an ID, whether or not it is listed; nil if there never was one.
func (w *world) server(id string) *server {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// lookup returns the address of a server in the endpoint list, and whether it is serving; "" and false if it is not
// listed.
func (w *world) lookup(id string) (address string, serving bool) {
	if s := w.server(id); s != nil && s.listed {
		return s.address, s.serving
	}
	return "", false
}
