package proxy

import (
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/traffic"
)

// Sizes and times of floodedLink.
const (
	floodStep     = time.Millisecond
	floodCapacity = 250.0  // bytes per step, which is 2 Mbit/s
	segmentBytes  = 66.0   // size of a packet without data
	requestBytes  = 2800.0 // size of a request, and of an update
	floodDeadline = 2 * time.Second
	floodAttempts = 4                    // connection attempts per client, including those after a refusal or a reset
	floodRTT      = 2 * time.Millisecond // round trip between a client and the link
	updatePeriod  = 500 * time.Millisecond
)

// floodClient is the current connection attempt of a client.
type floodClient struct {
	startedAt       time.Duration
	earlierAttempts int // number of the client's attempts before this one
	openPeriod      int // number of the open period in which its SYN was accepted
	established     bool
}

// floodPacket is a packet or a message in the queue of a floodedLink.
type floodPacket struct {
	kind   int
	sent   time.Duration
	client *floodClient // nil for an update
	bytes  float64      // bytes that are not transmitted yet
}

const (
	synPacket = iota
	ackPacket // establishes the connection
	requestPacket
	updatePacket // an update of one of the agent's sources
)

// floodedLink is a model of a machine's link with one queue, and of an address that is open for part of the time. A SYN
// is refused while the address is closed. A connection that is not established when the address closes is reset, but
// its request crosses the link nevertheless. The shedder has the same inputs as in a proxy: the bytes of established
// connections, and the age of updates on arrival.
type floodedLink struct {
	now                      time.Duration
	queue, retries           []floodPacket
	shedder                  *shedder
	open                     bool
	openPeriods              int // number of open periods so far
	accepted, acceptedAtOpen int // number of connections now, and when the open period began
	inTime                   int // requests that arrived early enough to be answered
	nextChangeAt             time.Duration
	openTime                 time.Duration // length of the current open period
}

// currentTime returns the time that the shedder is given.
func (fl *floodedLink) currentTime() time.Time { return time.Unix(1000, 0).Add(fl.now) }

// step adds new clients, opens or closes the address if it is time, and transmits as many bytes as the link can in one
// step.
func (fl *floodedLink) step(clients int) {
	for range clients {
		fl.send(synPacket, &floodClient{startedAt: fl.now}, segmentBytes)
	}
	for len(fl.retries) > 0 && fl.now >= fl.retries[0].sent+floodRTT {
		fl.send(synPacket, fl.retries[0].client, segmentBytes)
		fl.retries = fl.retries[1:]
	}
	if fl.now%updatePeriod == 0 {
		fl.send(updatePacket, nil, requestBytes)
	}
	fl.updateAddress()
	for left := floodCapacity; len(fl.queue) > 0 && left > 0; {
		part := min(left, fl.queue[0].bytes)
		left -= part
		if fl.queue[0].bytes -= part; fl.queue[0].bytes <= 0 {
			packet := fl.queue[0]
			fl.queue = fl.queue[1:]
			fl.arrive(packet)
		}
	}
	fl.now += floodStep
}

func (fl *floodedLink) send(kind int, client *floodClient, bytes float64) {
	fl.queue = append(fl.queue, floodPacket{kind: kind, sent: fl.now, client: client, bytes: bytes})
}

// updateAddress opens and closes the address in the same way as sheddingListener.Run.
func (fl *floodedLink) updateAddress() {
	if fl.now < fl.nextChangeAt {
		return
	}
	share := fl.shedder.admitted(fl.currentTime())
	switch {
	case !fl.open:
		fl.open, fl.openPeriods, fl.acceptedAtOpen = true, fl.openPeriods+1, fl.accepted
		fl.openTime = openPeriod(share)
		fl.nextChangeAt = fl.now + fl.openTime
	case share == 1:
		fl.acceptedAtOpen, fl.openTime = fl.accepted, shedInterval
		fl.nextChangeAt = fl.now + shedInterval
	default:
		fl.open = false
		established := fl.accepted > fl.acceptedAtOpen
		if !established {
			fl.shedder.observeNoConnection(fl.currentTime())
		}
		fl.nextChangeAt = fl.now +
			closedPeriod(share, fl.openTime, established, fl.shedder.standingDelay(fl.currentTime()))
	}
}

// arrive handles a packet that has been transmitted.
func (fl *floodedLink) arrive(p floodPacket) {
	client := p.client
	switch {
	case p.kind == updatePacket:
		fl.shedder.observe(fl.currentTime(), max(fl.now-p.sent, 1), true)
	case p.kind == synPacket && fl.open:
		client.openPeriod = fl.openPeriods
		fl.send(ackPacket, client, segmentBytes)
		fl.send(requestPacket, client, requestBytes)
	case p.kind == ackPacket && fl.open && client.openPeriod == fl.openPeriods:
		fl.accepted++
		client.established = true
	case p.kind == requestPacket && client.established:
		fl.shedder.counter.Read(int(requestBytes) - traffic.TransferOverheadBytes)
		if fl.now-client.startedAt < floodDeadline {
			fl.inTime++
		}
	case p.kind != requestPacket && client.earlierAttempts+1 < floodAttempts && fl.now-client.startedAt < floodDeadline:
		// the next attempt after a refusal or a reset
		next := &floodClient{startedAt: client.startedAt, earlierAttempts: client.earlierAttempts + 1}
		fl.retries = append(fl.retries, floodPacket{sent: fl.now, client: next})
	}
}

// TestFloodIsShedWithinSeconds offers a machine half of its link's capacity, and then abruptly twice the capacity. From
// three seconds later on, the machine must serve at least a fifth of the capacity. With open periods that were always
// 40 ms long, whatever the queue, it served 0.02, 0.09 and 0.18 of the capacity, because most connections were pending
// when their open period ended and their requests crossed the link in vain. At three times the capacity this model
// serves no client in either case.
func TestFloodIsShedWithinSeconds(t *testing.T) {
	fl := &floodedLink{shedder: newShedder(2), open: true}
	const requestsPerStep = floodCapacity / requestBytes // capacity of the link
	offer := func(times float64, span time.Duration) (served float64) {
		before, dueClients := fl.inTime, 0.0
		for end := fl.now + span; fl.now < end; dueClients -= float64(int(dueClients)) {
			dueClients += times * requestsPerStep
			fl.step(int(dueClients))
		}
		return float64(fl.inTime-before) / (requestsPerStep * float64(span/floodStep))
	}
	if served := offer(0.5, 5*time.Second); served < 0.45 {
		t.Fatalf("without overload %.2f of the link's capacity served, want 0.5", served)
	}
	offer(2, 3*time.Second)
	for second := 3; second < 15; second += 4 {
		if served := offer(2, 4*time.Second); served < 0.2 {
			t.Errorf("from second %d: %.2f of the link's capacity served, want at least 0.2", second, served)
		}
	}
}

// TestOpenAndClosedPeriods checks that the address is open for the admitted share of the time, but never so briefly
// that no connection is established, and that it stays closed for as long as a standing queue needs to drain.
func TestOpenAndClosedPeriods(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		share        float64
		established  bool
		delay        time.Duration
		open, closed time.Duration
	}{
		"half":                            {share: 0.5, established: true, open: 200 * ms, closed: 200 * ms},
		"little":                          {share: 0.04, established: true, open: 40 * ms, closed: 960 * ms},
		"most":                            {share: 0.8, established: true, open: 320 * ms, closed: 80 * ms},
		"most, no connection established": {share: 0.8, open: 320 * ms, closed: 400 * ms},
		"most, standing queue": {
			share: 0.8, established: true, delay: time.Second,
			open: 320 * ms, closed: time.Second,
		},
		"very long queue":     {share: 0.8, delay: time.Minute, open: 320 * ms, closed: 5 * time.Second},
		"little, short queue": {share: 0.04, established: true, delay: 200 * ms, open: 40 * ms, closed: 960 * ms},
	} {
		open := openPeriod(c.share)
		closed := closedPeriod(c.share, open, c.established, c.delay)
		if open != c.open || closed.Round(ms) != c.closed {
			t.Errorf("%s: open %v and closed %v, want %v and %v", name, open, closed, c.open, c.closed)
		}
	}
}

// TestStandingDelay checks that a delay counts only while it is recent and longer than a burst, and that open periods
// in which no connection was established lower the admitted share unless an update has just arrived without delay.
func TestStandingDelay(t *testing.T) {
	now, s := time.Unix(1000, 0), newShedder(2)
	expect := func(want time.Duration) {
		t.Helper()
		if got := s.standingDelay(now); got != want {
			t.Errorf("standing delay %v, want %v", got, want)
		}
	}
	expect(0)
	s.observe(now, shedDelay, true)
	expect(0)
	s.observe(now, time.Second, true)
	expect(time.Second)
	now = now.Add(linkDelayTTL + 1)
	expect(0)
	for _, want := range []float64{criticalDecrease, criticalDecrease * criticalDecrease} {
		s.observeNoConnection(now)
		if got := s.admitted(now); got != want {
			t.Errorf("admitted share %v, want %v", got, want)
		}
	}
}

// TestUnusedMachineOpensAgain checks that a machine that has shed load admits all connections again once its link is
// free, even if no client connects in the meantime.
func TestUnusedMachineOpensAgain(t *testing.T) {
	now, s := time.Unix(1000, 0), newShedder(2)
	s.admitted(now)
	s.observe(now, 2*criticalDelay, true)
	now = now.Add(time.Second)
	share := s.admitted(now)
	if share > 0.1 {
		t.Fatalf("admitted share %v after a second with a queue, want at most 0.1", share)
	}
	for end := now.Add(30 * time.Second); now.Before(end) && share < 1; {
		open := openPeriod(share)
		now = now.Add(open)
		s.observe(now, time.Millisecond, true)
		s.observeNoConnection(now)
		now = now.Add(closedPeriod(share, open, false, s.standingDelay(now)))
		share = s.admitted(now)
	}
	if share < 1 {
		t.Errorf("admitted share %v half a minute after the queue has drained, want 1", share)
	}
}
