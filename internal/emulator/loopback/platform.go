package loopback

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	readinessInterval    = time.Second // between two checks of a machine
	readinessTimeout     = time.Second // for one check
	maxReadinessFailures = 2           // consecutive failed checks that remove a machine from rotation
)

// edgeHealth is the state of an edge machine as observed by the platform.
type edgeHealth struct {
	failures   int  // consecutive failed checks
	inRotation bool // the platform sends clients to the machine
}

// watchReadiness checks every second whether each edge machine is ready, as the operators' platform does.
func (cl *cluster) watchReadiness() {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	for {
		var all sync.WaitGroup
		for n, m := range cl.edge {
			all.Go(func() { cl.recordReadiness(n, cl.ready(m, readinessTimeout)) })
		}
		all.Wait()
		select {
		case <-cl.lifetime.Done():
			return
		case <-t.C:
		}
	}
}

func (cl *cluster) recordReadiness(n int, ready bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	health := &cl.edgeHealth[n]
	if ready {
		*health = edgeHealth{inRotation: true}
		return
	}
	health.failures++
	if health.failures >= maxReadinessFailures {
		health.inRotation = false
	}
}

// ready requests the readiness of an edge machine, and reports whether it is ready for clients.
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

// chooseEdge returns the machine to which the platform sends a client's connection (PROTOCOL.md, "How clients arrive").
// It chooses a machine in rotation from the nearest zone that has one. If less than half of the machines of that zone
// are in rotation, it chooses any machine of the zone. If no machine at all is in rotation, it chooses any machine.
// Each further attempt of a request goes to the next one of these machines.
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
