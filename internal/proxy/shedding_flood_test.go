package proxy

import (
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/traffic"
)

// Sizes and times of floodedLink.
const (
	floodStep     = time.Millisecond
	floodCapacity = 250.0 // bytes a step: 2 Mbit/s
	segmentBytes  = 66.0  // of a packet without data
	requestBytes  = 2800.0
	floodDeadline = 2 * time.Second
	floodTries    = 4                    // of a client, after connections that are refused or reset
	floodRTT      = 2 * time.Millisecond // between a client and the link
	updatePeriod  = 500 * time.Millisecond
)

// floodClient is a client's present connection.
type floodClient struct {
	begun       time.Duration
	tries       int // before this one
	opens       int // the open period in which its first packet was answered
	established bool
}

// floodPacket is what waits in the queue of a floodedLink.
type floodPacket struct {
	kind   int
	sent   time.Duration
	client *floodClient // of an update: nil
	bytes  float64      // that are not through yet
}

const (
	synPacket = iota
	ackPacket // the client's second: with it, the connection is established
	requestPacket
	updatePacket // of the agent's sources
)

// floodedLink is a model of a machine's link with one queue, and of an address that is open for a part of the time. A
// first packet is refused while the address is closed; a connection that is not established as the address closes is
// reset, and its request crosses the link all the same. The shedder sees what a proxy sees: the bytes of connections
// that are established, and the age of updates as they arrive.
type floodedLink struct {
	now                  time.Duration
	queue, retries       []floodPacket
	shedder              *shedder
	open                 bool
	opens                int // open periods so far
	accepted, acceptedAt int // connections in all, and as the open period began
	inTime               int // requests that were through soon enough to be answered
	changesAt            time.Duration
	openTime             time.Duration // of the present period
}

// at returns the time for the shedder.
func (fl *floodedLink) at() time.Time { return time.Unix(1000, 0).Add(fl.now) }

// step offers so many new clients, moves the address, and lets through what the link bears.
func (fl *floodedLink) step(clients int) {
	for range clients {
		fl.send(synPacket, &floodClient{begun: fl.now}, segmentBytes)
	}
	for len(fl.retries) > 0 && fl.now >= fl.retries[0].sent+floodRTT {
		fl.send(synPacket, fl.retries[0].client, segmentBytes)
		fl.retries = fl.retries[1:]
	}
	if fl.now%updatePeriod == 0 {
		fl.send(updatePacket, nil, requestBytes)
	}
	fl.moveAddress()
	for left := floodCapacity; len(fl.queue) > 0 && left > 0; {
		part := min(left, fl.queue[0].bytes)
		left -= part
		if fl.queue[0].bytes -= part; fl.queue[0].bytes <= 0 {
			through := fl.queue[0]
			fl.queue = fl.queue[1:]
			fl.arrive(through)
		}
	}
	fl.now += floodStep
}

func (fl *floodedLink) send(kind int, client *floodClient, bytes float64) {
	fl.queue = append(fl.queue, floodPacket{kind: kind, sent: fl.now, client: client, bytes: bytes})
}

// moveAddress opens and closes the address as sheddingListener.Run does.
func (fl *floodedLink) moveAddress() {
	if fl.now < fl.changesAt {
		return
	}
	share := fl.shedder.admitted(fl.at())
	switch {
	case !fl.open:
		fl.open, fl.opens, fl.acceptedAt = true, fl.opens+1, fl.accepted
		fl.openTime = openPeriod(share)
		fl.changesAt = fl.now + fl.openTime
	case share == 1:
		fl.acceptedAt, fl.openTime = fl.accepted, shedInterval
		fl.changesAt = fl.now + shedInterval
	default:
		fl.open = false
		established := fl.accepted > fl.acceptedAt
		if !established {
			fl.shedder.nothingEstablished(fl.at())
		}
		fl.changesAt = fl.now + closedPeriod(share, fl.openTime, established, fl.shedder.standingDelay(fl.at()))
	}
}

// arrive handles a packet that is through.
func (fl *floodedLink) arrive(p floodPacket) {
	client := p.client
	switch {
	case p.kind == updatePacket:
		fl.shedder.observe(fl.at(), max(fl.now-p.sent, 1), true)
	case p.kind == synPacket && fl.open:
		client.opens = fl.opens
		fl.send(ackPacket, client, segmentBytes)
		fl.send(requestPacket, client, requestBytes)
	case p.kind == ackPacket && fl.open && client.opens == fl.opens:
		fl.accepted++
		client.established = true
	case p.kind == requestPacket && client.established:
		fl.shedder.counter.Read(int(requestBytes) - traffic.TransferOverheadBytes)
		if fl.now-client.begun < floodDeadline {
			fl.inTime++
		}
	case p.kind != requestPacket && client.tries+1 < floodTries && fl.now-client.begun < floodDeadline:
		next := &floodClient{begun: client.begun, tries: client.tries + 1} // after a reset
		fl.retries = append(fl.retries, floodPacket{sent: fl.now, client: next})
	}
}

// TestFloodIsShedWithinSeconds has a machine offered half of what its link bears, and then twice as much at once. Three
// seconds later and from then on it serves a fifth of what its link bears at least. With open periods of 40 ms whatever
// the queue it served 0.02, 0.09 and 0.18: most connections were pending as their open period ended, and their requests
// crossed the link for nothing. At three times as much, this model serves nobody in either case.
func TestFloodIsShedWithinSeconds(t *testing.T) {
	fl := &floodedLink{shedder: newShedder(2), open: true}
	const borne = floodCapacity / requestBytes // requests a step
	offer := func(times float64, span time.Duration) (served float64) {
		before, owed := fl.inTime, 0.0
		for end := fl.now + span; fl.now < end; owed -= float64(int(owed)) {
			owed += times * borne
			fl.step(int(owed))
		}
		return float64(fl.inTime-before) / (borne * float64(span/floodStep))
	}
	if served := offer(0.5, 5*time.Second); served < 0.45 {
		t.Fatalf("without overload %.2f of the link's capacity served, want 0.5", served)
	}
	offer(2, 3*time.Second)
	for second := 3; second < 15; second += 4 {
		if served := offer(2, 4*time.Second); served < 0.2 {
			t.Errorf("from second %d: %.2f of the link's capacity served, want 0.2 at least", second, served)
		}
	}
}

func TestPeriods(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		share        float64
		established  bool
		delay        time.Duration
		open, closed time.Duration
	}{
		"half":                    {share: 0.5, established: true, open: 200 * ms, closed: 200 * ms},
		"little":                  {share: 0.04, established: true, open: 40 * ms, closed: 960 * ms},
		"most":                    {share: 0.8, established: true, open: 320 * ms, closed: 80 * ms},
		"most, and no connection": {share: 0.8, open: 320 * ms, closed: 400 * ms},
		"most, and a queue stands": {
			share: 0.8, established: true, delay: time.Second,
			open: 320 * ms, closed: time.Second,
		},
		"the queue is very long":  {share: 0.8, delay: time.Minute, open: 320 * ms, closed: 5 * time.Second},
		"little, and a short one": {share: 0.04, established: true, delay: 200 * ms, open: 40 * ms, closed: 960 * ms},
	} {
		open := openPeriod(c.share)
		closed := closedPeriod(c.share, open, c.established, c.delay)
		if open != c.open || closed.Round(ms) != c.closed {
			t.Errorf("%s: open %v and closed %v, want %v and %v", name, open, closed, c.open, c.closed)
		}
	}
}

// TestStandingDelay checks that a delay counts while it is fresh and more than a burst, and that periods in which no
// connection was established lower the share unless an update has just come without delay.
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
	for _, want := range []float64{blockDecrease, blockDecrease * blockDecrease} {
		s.nothingEstablished(now)
		if got := s.admitted(now); got != want {
			t.Errorf("admitted share %v, want %v", got, want)
		}
	}
}

// TestUnusedMachineOpensAgain checks that a machine which shed load admits all again once its link is free, also where
// no client comes meanwhile.
func TestUnusedMachineOpensAgain(t *testing.T) {
	now, s := time.Unix(1000, 0), newShedder(2)
	s.admitted(now)
	s.observe(now, 2*blockedDelay, true)
	now = now.Add(time.Second)
	share := s.admitted(now)
	if share > 0.1 {
		t.Fatalf("admitted share %v after a second of a queue", share)
	}
	for end := now.Add(30 * time.Second); now.Before(end) && share < 1; {
		open := openPeriod(share)
		now = now.Add(open)
		s.observe(now, time.Millisecond, true)
		s.nothingEstablished(now)
		now = now.Add(closedPeriod(share, open, false, s.standingDelay(now)))
		share = s.admitted(now)
	}
	if share < 1 {
		t.Errorf("admitted share %v half a minute after the queue has gone", share)
	}
}
