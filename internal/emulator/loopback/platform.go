package loopback

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	readinessInterval = time.Second
	readinessTimeout  = time.Second
	maxReadinessMiss  = 2 // failed checks in a row that take a machine out of rotation
)

// edgeHealth is what the platform knows of an edge machine.
type edgeHealth struct {
	failures   int // in a row
	inRotation bool
}

// watchReadiness checks every second whether each edge machine is ready, as the platform does.
func (cl *cluster) watchReadiness() {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	for {
		var all sync.WaitGroup
		for n, m := range cl.edge {
			all.Go(func() { cl.observeReadiness(n, cl.ready(m, readinessTimeout)) })
		}
		all.Wait()
		select {
		case <-cl.lifetime.Done():
			return
		case <-t.C:
		}
	}
}

func (cl *cluster) observeReadiness(n int, ready bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	health := &cl.edgeHealth[n]
	if ready {
		*health = edgeHealth{inRotation: true}
		return
	}
	health.failures++
	if health.failures >= maxReadinessMiss {
		health.inRotation = false
	}
}

// ready asks an edge machine whether it is ready for clients.
func (cl *cluster) ready(m *machine, timeout time.Duration) bool {
	c := &http.Client{Timeout: timeout, Transport: cl.httpClient.Transport}
	r, err := c.Get("http://" + m.address(cl.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK
}

// chooseEdge returns the machine that a client's connection is sent to (PROTOCOL.md, "How clients arrive"): one in
// rotation in the nearest zone that has any, or any machine of that zone when less than half of them are in rotation.
func (cl *cluster) chooseEdge(u *clientUser, attempt int) *machine {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for distance := range zones {
		var all, inRotation []*machine
		for n, m := range cl.edge {
			if m.zone != (u.zone+distance)%zones {
				continue
			}
			all = append(all, m)
			if cl.edgeHealth[n].inRotation {
				inRotation = append(inRotation, m)
			}
		}
		if len(inRotation) == 0 {
			continue
		}
		if 2*len(inRotation) < len(all) {
			inRotation = all
		}
		return inRotation[(u.number*7+attempt)%len(inRotation)]
	}
	return cl.edge[(u.number+attempt)%len(cl.edge)]
}
