package decision

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
)

// fleetShape describes the parts of a deployment that the selection of servers depends on.
type fleetShape struct {
	name            string
	gatewaysPerZone []int
	serversPerZone  []int   // servers of the only service
	slots           int     // requests that a server handles concurrently
	queue           int     // requests that a server queues; it rejects further ones
	serviceTime     Seconds // mean time to handle a request
	requestRate     float64 // requests per second, over all gateways
	configApply     Seconds // longest time for a configuration to be applied (configApplyMs)
}

// simulatedServer handles a number of requests concurrently and queues a few more.
type simulatedServer struct {
	zone     int
	received int       // requests, including rejected ones
	freeAt   []Seconds // by slot: time at which it has finished its requests
	starts   []Seconds // start times of the queued requests, earliest first
}

// attemptEnd is the future end of an attempt that is in flight.
type attemptEnd struct {
	at      Seconds
	gateway *Gateway
	ended   AttemptEnded
}

type attemptEnds []attemptEnd

func (ae attemptEnds) Len() int           { return len(ae) }
func (ae attemptEnds) Less(i, j int) bool { return ae[i].at < ae[j].at }
func (ae attemptEnds) Swap(i, j int)      { ae[i], ae[j] = ae[j], ae[i] }
func (ae *attemptEnds) Push(x any)        { *ae = append(*ae, x.(attemptEnd)) }
func (ae *attemptEnds) Pop() any {
	last := (*ae)[len(*ae)-1]
	*ae = (*ae)[:len(*ae)-1]
	return last
}

// simulatedFleet runs gateways and servers in simulated time. Requests cycle through the classes.
type simulatedFleet struct {
	shape    fleetShape
	classes  []*Class
	rng      *rand.Rand
	gateways []*Gateway
	servers  map[string]*simulatedServer
	now      Seconds
	tickAt   Seconds
	inFlight attemptEnds
	arrived  []Seconds // arrival time, by request
	served   []int     // served requests, by class
	onTime   []int     // requests served within the latency target, by class
}

func newSimulatedFleet(shape fleetShape, seed uint64, classes ...*Class) *simulatedFleet {
	sf := &simulatedFleet{
		shape:   shape,
		classes: classes,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*simulatedServer{},
		served:  make([]int, len(classes)),
		onTime:  make([]int, len(classes)),
	}
	s := testSettings()
	s.CapacityInSlots = true
	s.RemoteZoneCost = 1.25
	s.SlowStartTime = 3
	s.SlowStartShare = 0.5
	s.MaxAttempts = 2
	s.RetryShare = 0.16
	s.RetrySlack = 50
	s.Gateways = 0
	for _, n := range shape.gatewaysPerZone {
		s.Gateways += n
	}
	for zone, n := range shape.gatewaysPerZone {
		for rank := range n {
			s.Zone, s.Index = zoneName(zone), int(sf.rng.Uint32())
			g := New(s, sf.rng.Uint64())
			g.Handle(0, Start{})
			g.SetZoneRank(rank, n)
			sf.gateways = append(sf.gateways, g)
		}
	}
	sf.join("old", 1)
	return sf
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

// join starts servers in each zone, a share of the number in the shape, and returns their ids. Servers that
// start before the first request count as warm.
func (sf *simulatedFleet) join(name string, share float64) (ids []string) {
	update := Backends{}
	for zone, n := range sf.shape.serversPerZone {
		for i := range int(math.Ceil(share * float64(n))) {
			id := fmt.Sprintf("%s-%d-%d", name, zone, i)
			sf.servers[id] = &simulatedServer{zone: zone, freeAt: make([]Seconds, sf.shape.slots)}
			update.List = append(update.List, Backend{
				ID: id, Zone: zoneName(zone), Serving: true, Size: float64(sf.shape.slots), StartedAt: sf.now,
			})
			ids = append(ids, id)
		}
	}
	for _, g := range sf.gateways {
		g.Handle(sf.now, update)
	}
	return ids
}

// run generates requests until the given time.
func (sf *simulatedFleet) run(until Seconds) {
	for sf.now < until {
		sf.now += sf.rng.ExpFloat64() / sf.shape.requestRate
		for sf.tickAt < sf.now {
			sf.endAttempts(sf.tickAt)
			for _, g := range sf.gateways {
				sf.send(g, sf.tickAt, g.Handle(sf.tickAt, Timer{tickToken}))
			}
			sf.tickAt += tickInterval
		}
		sf.endAttempts(sf.now)
		id := len(sf.arrived)
		sf.arrived = append(sf.arrived, sf.now)
		class := sf.classes[id%len(sf.classes)]
		r := testRequest(uint64(id), class.Name, "free")
		r.ClassTerms, r.TimeLeft = class, class.Deadline
		g := sf.gateways[sf.rng.IntN(len(sf.gateways))]
		sf.send(g, sf.now, g.Handle(sf.now, r))
	}
}

func (sf *simulatedFleet) endAttempts(until Seconds) {
	for len(sf.inFlight) > 0 && sf.inFlight[0].at <= until {
		end := heap.Pop(&sf.inFlight).(attemptEnd)
		sf.send(end.gateway, end.at, end.gateway.Handle(end.at, end.ended))
		if end.ended.Outcome != Succeeded {
			continue
		}
		class := int(end.ended.ID) % len(sf.classes)
		sf.served[class]++
		if end.at-sf.arrived[end.ended.ID] <= sf.classes[class].LatencyTarget {
			sf.onTime[class]++
		}
	}
}

// send passes attempts to their servers.
func (sf *simulatedFleet) send(g *Gateway, now Seconds, actions []Action) {
	for _, send := range actionsOf[Send](actions) {
		duration, outcome := sf.servers[send.Backend].accept(now, &sf.shape, sf.rng)
		r := g.requests[send.ID]
		heap.Push(&sf.inFlight, attemptEnd{at: now + duration, gateway: g, ended: AttemptEnded{
			ID: send.ID, Attempt: len(r.attempts) - 1, Backend: send.Backend, Outcome: outcome,
			Answered: outcome == Succeeded, Duration: duration,
		}})
	}
}

// accept returns the duration and the outcome of a request that arrives now. A server with a full queue
// rejects it.
func (ss *simulatedServer) accept(now Seconds, shape *fleetShape, rng *rand.Rand) (Seconds, Outcome) {
	const networkDelay = 0.002 // s
	ss.received++
	for len(ss.starts) > 0 && ss.starts[0] <= now {
		ss.starts = ss.starts[1:]
	}
	if len(ss.starts) >= shape.queue {
		return networkDelay, Rejected
	}
	slot := 0
	for i := range ss.freeAt {
		if ss.freeAt[i] < ss.freeAt[slot] {
			slot = i
		}
	}
	start := max(now, ss.freeAt[slot])
	if start > now {
		ss.starts = append(ss.starts, start)
	}
	ss.freeAt[slot] = start + shape.serviceTime*(0.5+rng.ExpFloat64()/2)
	return ss.freeAt[slot] - now + networkDelay, Succeeded
}
