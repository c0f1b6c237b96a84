package quorum

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"mulleinrouter/internal/mutants"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

const (
	simulatedRole  = "export"
	stallThreshold = 1.0 // seconds without a tick, by a machine's clock, after which the machine counts as paused
)

// machine is one ingress of the simulated fleet. Each is a candidate for the role, and all but the last are voters.
type machine struct {
	name        string
	clockRate   float64 // seconds of its clock per second of simulated time; within singleton.MaxClockDrift of 1
	store       *memoryStore
	backup      *Durable
	voter       *Voter // nil: the machine is down, or not a voter
	leaseHolder *singleton.LeaseHolder
	incarnation uint64
	up          bool
	pausedUntil float64
	paused      []func() // deliveries that arrived while it was paused
	lastTick    float64  // time of the last tick by its clock
}

// scheduled is a scheduled event of the simulation.
type scheduled struct {
	at  float64
	seq int // order among events with the same time
	do  func()
}

// schedule is a heap of events, the next one first.
type schedule []scheduled

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *schedule) Push(x any) { *s = append(*s, x.(scheduled)) }

func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// link is the direction from one machine to another.
type link struct{ from, to string }

// simulation is a run of a fleet in simulated time. It holds the machines, a faulty network, a service that receives
// the role's effects, and the observations that the checks use.
type simulation struct {
	rng         *rand.Rand
	now         float64 // seconds
	seq         int
	schedule    schedule
	machines    []*machine // the first voterCount are voters
	voterCount  int
	lostStores  int // stores that were lost or rolled back
	partitioned map[link]bool
	lossRate    float64
	maxDelay    float64 // seconds
	lastFaultAt float64

	problems      []string
	acceptedToken uint64 // highest token that the receiver of effects has accepted
	rejected      int    // effects with an older token
	effects       int
	actors        map[uint64]string // machine that acted, by token
	lastToken     uint64            // highest token under which a machine acted
	tables        map[uint64]string // table by index of the log
	grants        map[uint64]string // holder by token
	gaps          []float64         // lengths of periods in which no machine acted, seconds
	lastEffectAt  float64
	history       []porcupine.Operation
	requestSentAt map[string]float64 // time by requestKey
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rng:           rand.New(rand.NewPCG(seed, 1)),
		partitioned:   map[link]bool{},
		actors:        map[uint64]string{},
		tables:        map[uint64]string{},
		grants:        map[uint64]string{},
		requestSentAt: map[string]float64{},
	}
	s.voterCount = 3 + 2*s.rng.IntN(2)
	for i := range s.voterCount + 1 {
		s.machines = append(s.machines, &machine{
			name:      fmt.Sprint("n", i+1),
			clockRate: 0.951 + 0.098*s.rng.Float64(),
			store:     &memoryStore{nextID: uint64(i+1) * 1000},
		})
	}
	for _, m := range s.machines {
		s.start(m)
		s.scheduleTick(m)
	}
	return s
}

func (s *simulation) reportProblem(format string, args ...any) {
	if len(s.problems) < 5 {
		s.problems = append(s.problems, fmt.Sprintf("%.2f s: ", s.now)+fmt.Sprintf(format, args...))
	}
}

// after schedules an event after a delay in seconds.
func (s *simulation) after(delay float64, do func()) {
	s.seq++
	heap.Push(&s.schedule, scheduled{s.now + delay, s.seq, do})
}

// clock returns the time by a machine's clock.
func (s *simulation) clock(m *machine) float64 { return 1000 + s.now*m.clockRate }

// deliver runs do at a machine if its incarnation is still the given one. If the machine is paused, it runs do after
// the pause.
func (s *simulation) deliver(m *machine, incarnation uint64, do func()) {
	switch {
	case !m.up || m.incarnation != incarnation:
	case s.now < m.pausedUntil:
		m.paused = append(m.paused, do)
	default:
		do()
	}
}

func (s *simulation) voters() []*machine { return s.machines[:s.voterCount] }

func (s *simulation) voterNames() (names []string) {
	for _, m := range s.voters() {
		names = append(names, m.name)
	}
	return names
}

func (s *simulation) start(m *machine) {
	m.up, m.pausedUntil, m.paused = true, 0, nil
	m.incarnation++
	m.lastTick = s.clock(m)
	if slices.Contains(s.voterNames(), m.name) {
		m.voter, _ = Open(m.name, s.voterNames(), m.store, uint64(1e6+s.now)<<20)
	}
	self := singleton.Identity{Name: m.name, Boot: m.incarnation, Nonce: m.incarnation}
	m.leaseHolder = singleton.NewLeaseHolder(self, "a")
	s.stepLeaseHolder(m, singleton.Acquire{Role: simulatedRole})
}

func (s *simulation) stop(m *machine) { m.up, m.voter = false, nil }

// startAfter starts a machine that is still down by then.
func (s *simulation) startAfter(delay float64, m *machine) {
	s.after(delay, func() {
		if !m.up {
			s.start(m)
		}
	})
}

// scheduleTick ticks a machine every TickInterval by its own clock.
func (s *simulation) scheduleTick(m *machine) {
	s.after(TickInterval/m.clockRate, func() {
		if m.up && s.now >= m.pausedUntil {
			s.tick(m)
		}
		s.scheduleTick(m)
	})
}

func (s *simulation) tick(m *machine) {
	s.act(m) // after a pause the role may act before the lease holder detects the pause
	if s.clock(m)-m.lastTick > stallThreshold {
		s.stepLeaseHolder(m, singleton.StallDetected{})
	}
	m.lastTick = s.clock(m)
	paused := m.paused
	m.paused = nil
	for _, do := range paused {
		do()
	}
	if m.voter != nil {
		m.voter.Reopen(s.clock(m))
		s.handleOutput(m, m.voter.Tick(s.clock(m)))
	}
	s.stepLeaseHolder(m, singleton.LeaseHolderTick{})
	s.act(m)
}

// send sends a message over the network, which runs do at the receiver after a delay. A faulty network may lose the
// message or deliver it twice.
func (s *simulation) send(from, to *machine, do func()) {
	if s.partitioned[link{from.name, to.name}] || s.rng.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.maxDelay > 0 && s.rng.Float64() < 0.2 {
		copies = 2
	}
	for range copies {
		incarnation := to.incarnation
		delay := 0.0002 + 0.003*s.rng.Float64() + s.maxDelay*s.rng.Float64()*s.rng.Float64()
		s.after(delay, func() { s.deliver(to, incarnation, do) })
	}
}

func (s *simulation) machine(name string) *machine {
	for _, m := range s.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// handleOutput sends the messages of a voter's output, and checks the voter's table.
func (s *simulation) handleOutput(m *machine, output Output) {
	for _, message := range output.Messages {
		if to := s.machine(message.To); to != nil {
			s.send(m, to, func() { s.receive(to, message.Data) })
		}
	}
	for _, reply := range output.Replies {
		if to := s.machine(reply.To.Name); to != nil {
			s.send(m, to, func() { s.stepLeaseHolder(to, singleton.ResponseReceived{Response: reply.Response}) })
		}
	}
	for _, name := range output.Wake {
		if to := s.machine(name); to != nil {
			s.send(m, to, func() { s.stepLeaseHolder(to, singleton.WakeReceived{}) })
		}
	}
	if m.voter != nil && m.voter.appliedIndex > 0 && m.voter.state != Unformed {
		s.checkTable(m)
	}
}

func (s *simulation) receive(m *machine, data []byte) {
	if m.voter == nil {
		return
	}
	output, err := m.voter.Receive(s.clock(m), data)
	if err != nil {
		s.reportProblem("%v", err)
	}
	s.handleOutput(m, output)
}

// stepLeaseHolder steps a machine's lease holder and executes its actions.
func (s *simulation) stepLeaseHolder(m *machine, event singleton.LeaseHolderEvent) {
	if e, ok := event.(singleton.ResponseReceived); ok {
		s.recordConfirmations(m, e.Response)
	}
	for _, action := range m.leaseHolder.Step(s.clock(m), event) {
		switch action := action.(type) {
		case singleton.SendRequest:
			s.sendRequest(m, action.Request)
		case singleton.StepDown:
			incarnation := m.incarnation
			s.after(0.05, func() {
				s.deliver(m, incarnation, func() { s.stepLeaseHolder(m, singleton.SteppedDown(action)) })
			})
		}
	}
}

func (s *simulation) sendRequest(m *machine, r singleton.AcquireRequest) {
	s.requestSentAt[requestKey(m, r.ID)] = s.now
	for _, to := range s.voters() {
		s.send(m, to, func() {
			if to.voter != nil {
				s.handleOutput(to, to.voter.HandleRequest(s.clock(to), r))
			}
		})
	}
}

func requestKey(m *machine, id uint64) string { return fmt.Sprint(m.name, m.incarnation, id) }

// act sends an effect of the role, if the machine holds it. The machine may be paused between the check of its lease
// and the effect.
func (s *simulation) act(m *machine) {
	token, ok := m.leaseHolder.FencingToken(s.clock(m), simulatedRole)
	if !ok {
		return
	}
	s.checkActor(m, token)
	incarnation := m.incarnation
	s.after(0.05*s.rng.Float64(), func() {
		s.deliver(m, incarnation, func() { s.receiveEffect(token) })
	})
}

// receiveEffect simulates the service that receives the role's effects. It rejects effects with a token older than one
// that it has accepted.
func (s *simulation) receiveEffect(token uint64) {
	if token < s.acceptedToken && !mutants.On("quorum/unfenced") {
		s.rejected++
		return
	}
	if token < s.acceptedToken {
		s.reportProblem("an effect of token %d was accepted after one of %d", token, s.acceptedToken)
	}
	s.acceptedToken = max(s.acceptedToken, token)
	s.effects++
}

// run runs the simulation for some seconds, with random faults or without, or until a problem is found.
func (s *simulation) run(seconds float64, faults bool) {
	end := s.now + seconds
	for nextFaultAt := s.now + 3; s.now < end && len(s.problems) == 0; {
		if faults && s.now >= nextFaultAt {
			nextFaultAt = s.now + 0.3 + 2.5*s.rng.Float64()
			if s.rng.IntN(12) == 0 {
				nextFaultAt = s.now + 4
				s.rollBackStore()
			} else {
				s.injectFault()
			}
		}
		event := heap.Pop(&s.schedule).(scheduled)
		s.now = event.at
		event.do()
	}
}
