package revisionlog

import (
	"fmt"
	"math/rand/v2"
)

const (
	simulatedIngresses = 5
	simulatedSeconds   = 60
	faultSeconds       = 40 // length of the first part, in which faults are injected; later the fleet must converge
)

// ingress is one ingress of a simulated fleet.
type ingress struct {
	log      *Log
	disk     Record
	diskFull bool
	token    uint64  // token of the lease that it considers itself to hold; 0 if none
	lostAt   Seconds // when it learns that it has lost the lease; 0 if it still holds it
}

// inFlightMessage is a message on the network.
type inFlightMessage struct {
	arrivesAt Seconds
	from, to  string
	message   Message
}

// announcement identifies the announcement of a revision by one lease holder.
type announcement struct{ number, token uint64 }

// simulation is a fleet in which the lease moves between ingresses while operators write revisions, messages are lost,
// ingresses restart and disks are full.
type simulation struct {
	rng       *rand.Rand
	now       Seconds
	names     []string
	ingresses map[string]*ingress
	network   []inFlightMessage
	lossRate  float64

	lastToken   uint64
	leaseHolder string
	lastNumber  uint64 // number of the latest revision

	announced  map[announcement]string     // digests by announcement
	confirmed  map[string]map[uint64]Entry // by ingress and number
	knownToken map[string]uint64           // by ingress
	violation  string                      // the first one found; empty if none
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rng:        rand.New(rand.NewPCG(seed, 5)),
		ingresses:  map[string]*ingress{},
		announced:  map[announcement]string{},
		confirmed:  map[string]map[uint64]Entry{},
		knownToken: map[string]uint64{},
	}
	for i := range simulatedIngresses {
		name := fmt.Sprint("n", i)
		s.names = append(s.names, name)
		s.ingresses[name] = &ingress{log: New(Record{})}
		s.confirmed[name] = map[uint64]Entry{}
	}
	return s
}

// simulate runs a fleet with the faults of a seed and returns the first violation of a rule; empty if there is none.
func simulate(seed uint64) (violation string) {
	s := newSimulation(seed)
	for ; s.now < simulatedSeconds; s.now += 0.1 {
		faults := s.now < faultSeconds
		if !faults {
			s.endFaults()
		}
		if faults && s.rng.Float64() <= 0.1 {
			s.injectEvent()
		}
		if s.leaseHolder == "" || faults && s.rng.Float64() < 0.02 {
			s.moveLease()
		}
		s.updateLeases()
		s.deliver()
		for _, name := range s.names {
			s.tick(name)
		}
	}
	s.checkAgreement()
	return s.violation
}

func (s *simulation) report(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// step steps an ingress and executes its actions.
func (s *simulation) step(name string, event Event) {
	in := s.ingresses[name]
	for _, action := range in.log.Step(s.now, event) {
		switch action := action.(type) {
		case Send:
			s.send(name, action)
		case StoreRecord:
			if !in.diskFull {
				in.disk = action.Record
				s.step(name, RecordStored(action))
			}
		case Apply:
			key := announcement{action.Entry.Number, action.Entry.Token}
			if digest, known := s.announced[key]; known && digest != action.Entry.Digest {
				s.report("number %d under token %d was announced with two contents", key.number, key.token)
			}
			s.announced[key] = action.Entry.Digest
		}
	}
}

func (s *simulation) send(from string, action Send) {
	switch action.Message.Kind {
	case Inventory:
		for _, e := range action.Message.Entries {
			s.confirmed[from][e.Number] = e
		}
	case Announce:
		if s.ingresses[from].token == 0 {
			s.report("%s announces without the lease", from)
		}
	}
	if s.rng.Float64() >= s.lossRate {
		delay := 0.01 + 0.3*s.rng.Float64()*s.rng.Float64()
		s.network = append(s.network, inFlightMessage{s.now + delay, from, action.To, action.Message})
	}
}

// deliver delivers the messages that have arrived.
func (s *simulation) deliver() {
	var arrived, inFlight []inFlightMessage
	for _, t := range s.network {
		if t.arrivesAt > s.now {
			inFlight = append(inFlight, t)
		} else {
			arrived = append(arrived, t)
		}
	}
	s.network = inFlight
	for _, t := range arrived {
		s.step(t.to, MessageReceived{t.from, t.message})
	}
}

func (s *simulation) randomName() string { return s.names[s.rng.IntN(simulatedIngresses)] }

// injectEvent writes a revision as an operator would, or injects a fault.
func (s *simulation) injectEvent() {
	switch {
	case s.rng.IntN(3) == 0:
		s.writeRevision()
	case s.rng.IntN(3) == 0:
		s.lossRate = []float64{0, 0.1, 0.4}[s.rng.IntN(3)]
	case s.rng.IntN(3) == 0:
		in := s.ingresses[s.randomName()]
		in.diskFull = !in.diskFull
	case s.rng.IntN(2) == 0:
		s.restart(s.randomName())
	}
}

// writeRevision writes a revision into the file of one ingress. Some numbers are used for more than one revision.
func (s *simulation) writeRevision() {
	if s.lastNumber == 0 || s.rng.IntN(3) > 0 {
		s.lastNumber++
	}
	name := s.randomName()
	digest := fmt.Sprint(s.lastNumber, "-", s.rng.IntN(1000))
	s.step(name, LocalRevision{Entry{Number: s.lastNumber, Digest: digest, Text: []byte(digest)}})
}

// restart kills an ingress and starts it again from its disk. The disk must contain all revisions that it confirmed.
func (s *simulation) restart(name string) {
	in := s.ingresses[name]
	for _, confirmed := range s.confirmed[name] {
		stored := false
		for _, e := range in.disk.Entries {
			stored = stored || e.Number == confirmed.Number && e.Token >= confirmed.Token
		}
		dropped := len(in.disk.Entries) >= MaxEntries && confirmed.Number <= in.disk.Entries[0].Number
		if !stored && !dropped {
			s.report("%s confirmed %d but does not have it after a restart", name, confirmed.Number)
		}
	}
	in.log, in.token = New(in.disk), 0
}

// moveLease grants the lease to a random ingress. The former holder learns of the loss with a delay.
func (s *simulation) moveLease() {
	if former := s.ingresses[s.leaseHolder]; former != nil {
		former.lostAt = s.now + 3*s.rng.Float64()
	}
	s.lastToken++
	s.leaseHolder = s.randomName()
	in := s.ingresses[s.leaseHolder]
	in.token, in.lostAt = s.lastToken, 0
	s.step(s.leaseHolder, LeaseGained{s.lastToken})
}

// updateLeases ends the leases of former holders. A holder that was restarted gains the lease again.
func (s *simulation) updateLeases() {
	for _, name := range s.names {
		in := s.ingresses[name]
		if in.token != 0 && in.lostAt > 0 && s.now > in.lostAt {
			in.token, in.lostAt = 0, 0
			s.step(name, LeaseLost{})
		}
		if name == s.leaseHolder && in.token == 0 {
			s.lastToken++
			in.token = s.lastToken
			s.step(name, LeaseGained{s.lastToken})
		}
	}
}

func (s *simulation) tick(name string) {
	var peers []string
	for _, peer := range s.names {
		if peer != name {
			peers = append(peers, peer)
		}
	}
	s.step(name, Tick{LivePeers: peers, LeaseHolder: s.leaseHolder})
	s.checkToken(name)
}

// checkToken checks that the newest token known to an ingress was granted, and does not decrease below a token that is
// on its disk.
func (s *simulation) checkToken(name string) {
	in := s.ingresses[name]
	_, token := in.log.Entries()
	fellBack := token < s.knownToken[name] && !in.diskFull && in.disk.LastToken >= s.knownToken[name]
	if token > s.lastToken || fellBack {
		s.report("%s knows token %d, after %d of %d granted", name, token, s.knownToken[name], s.lastToken)
		return
	}
	s.knownToken[name] = token
}

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.lossRate = 0
	for _, in := range s.ingresses {
		in.diskFull = false
	}
}

// checkAgreement checks that all ingresses have the same revisions.
func (s *simulation) checkAgreement() {
	want, _ := s.ingresses[s.names[0]].log.Entries()
	for _, name := range s.names {
		got, _ := s.ingresses[name].log.Entries()
		if len(got) != len(want) {
			s.report("%s has %d revisions, %s has %d", name, len(got), s.names[0], len(want))
			continue
		}
		for i := range got {
			if got[i].Digest != want[i].Digest {
				s.report("number %d is %s at %s and %s at %s",
					got[i].Number, got[i].Digest, name, want[i].Digest, s.names[0])
			}
		}
	}
	if s.lastNumber > 0 && len(want) == 0 {
		s.report("nothing was announced")
	}
}
