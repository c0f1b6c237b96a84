package loopback

import "time"

const (
	unresponsiveTime = 3 * time.Second       // time for which a server is unresponsive
	badResponseTime  = 2 * time.Second       // time for which servers send faulty responses
	badResponseRate  = 0.15                  // share of the responses of a server that are faulty
	replaceDelay     = time.Second           // between the crash of a server and the start of its replacement
	reuseMargin      = 50 * time.Millisecond // added to the time after which an address may be reused

	releaseStartDelay = 200 * time.Millisecond // between the start of a new server and the departure of an old one
	releaseInterval   = 300 * time.Millisecond // between an old server's departure and the next start
)

// serviceNames returns the service of each class.
func (cl *cluster) serviceNames() (names []string) {
	for _, c := range cl.classes {
		names = append(names, c.service)
	}
	return names
}

// servingServers returns the servers of a service that are neither stopped nor draining; for an empty name, those of
// all services.
func (cl *cluster) servingServers(service string) (list []*server) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, s := range cl.servers {
		matches := service == "" || s.service == service
		if matches && s.ctx.Err() == nil && !s.draining.Load() {
			list = append(list, s)
		}
	}
	return list
}

// serverAt returns one of the serving servers, selected by n; nil: there is none.
func (cl *cluster) serverAt(n int) *server {
	list := cl.servingServers("")
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

// replaceServer starts a server during a fault. A failure to start is reported as a note.
func (cl *cluster) replaceServer(service, zone, addr, generation string) {
	if err := cl.startServer(service, zone, addr, generation); err != nil {
		cl.recorder.notef("a server could not be started: %v", err)
	}
}

func crashServer(cl *cluster, target int) {
	s := cl.serverAt(target)
	if s == nil {
		return
	}
	s.stop()
	cl.sleepInTraffic(replaceDelay)
	cl.replaceServer(s.service, s.zone, anyPort, s.generation)
}

func reuseAddress(cl *cluster, target int) {
	s := cl.serverAt(target)
	if s == nil {
		return
	}
	s.stop()
	cl.sleepInTraffic(seconds(cl.options.Bounds.ReuseAfter) + reuseMargin)
	for _, name := range cl.serviceNames() {
		if name != s.service {
			cl.replaceServer(name, s.zone, s.addr, s.generation)
			break
		}
	}
	cl.replaceServer(s.service, s.zone, anyPort, s.generation)
}

func blackHoleServer(cl *cluster, target int) {
	if s := cl.serverAt(target); s != nil {
		s.blackHole(unresponsiveTime)
	}
}

func releaseService(cl *cluster, target int) {
	names := cl.serviceNames()
	for _, s := range cl.servingServers(names[target%len(names)]) {
		cl.replaceServer(s.service, s.zone, anyPort, "v2")
		if !cl.sleepInTraffic(releaseStartDelay) {
			return
		}
		cl.faultRuns.Go(s.depart)
		cl.sleepInTraffic(releaseInterval)
	}
}

func removeServer(cl *cluster, target int) {
	if s := cl.serverAt(target); s != nil {
		s.depart()
	}
}

// badResponses returns a function that makes all servers apply a fault to a share of their responses, for
// badResponseTime.
func badResponses(fault responseFault) func(cl *cluster, target int) {
	return func(cl *cluster, _ int) {
		list := cl.servingServers("")
		for _, s := range list {
			s.setFaultRate(fault, badResponseRate)
		}
		cl.sleepInTraffic(badResponseTime)
		for _, s := range list {
			s.setFaultRate(fault, 0)
		}
	}
}
