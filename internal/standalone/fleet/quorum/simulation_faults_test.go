package quorum

import (
	"slices"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// injectFault injects a random fault. In one of three cases it also ends all faults of the network.
func (s *simulation) injectFault() {
	m := s.machines[s.rng.IntN(len(s.machines))]
	s.lastFaultAt = s.now
	switch s.rng.IntN(11) {
	case 0, 1:
		duration := []float64{0.3, 1.2, 4, 30}[s.rng.IntN(4)]
		if m.up {
			m.pausedUntil = s.now + duration
		}
	case 2:
		s.pauseHolders()
	case 3, 4:
		s.stop(m)
		s.startAfter(0.2+5*s.rng.Float64(), m)
	case 5:
		s.stop(m)
		if s.rng.IntN(3) == 0 {
			s.loseStore(m)
		}
		s.startAfter(0.5, m)
	case 6:
		s.partitionPair(m, s.machines[s.rng.IntN(len(s.machines))])
	case 7:
		s.isolate(m)
	case 8:
		s.lossRate, s.maxDelay = 0.4*s.rng.Float64(), s.rng.Float64()
	case 9:
		m.store.full = true
		s.after(1+3*s.rng.Float64(), func() { m.store.full = false })
	case 10:
		s.restartAll()
	}
	if s.rng.IntN(3) == 0 {
		s.healNetwork()
	}
}

// pauseHolders pauses the machines that may act, for ten times the duration of a lease.
func (s *simulation) pauseHolders() {
	for _, m := range s.machines {
		if _, ok := m.leaseHolder.FencingToken(s.clock(m), simulatedRole); ok && m.up {
			m.pausedUntil = s.now + 10*singleton.LeaseDuration
		}
	}
}

// loseStore empties a voter's store. At most a minority of the voters lose their stores, because the simulation doesn't
// replace such voters, and if all lost their stores one after another, they would bootstrap a new group.
func (s *simulation) loseStore(m *machine) {
	if s.lostStores >= (s.voterCount-1)/2 || slices.Index(s.machines, m) >= s.voterCount {
		return
	}
	s.lostStores++
	m.store.durable, m.store.nextID = nil, m.store.nextID+1
}

// partitionPair cuts the link between two machines in one direction or in both.
func (s *simulation) partitionPair(m, other *machine) {
	s.partitioned[link{m.name, other.name}] = true
	if s.rng.IntN(2) == 0 {
		s.partitioned[link{other.name, m.name}] = true
	}
}

// isolate cuts off a machine, in one direction or in both, from all others or from every second one.
func (s *simulation) isolate(m *machine) {
	in, out := s.rng.IntN(2) == 0, s.rng.IntN(2) == 0
	every := 1 + s.rng.IntN(2)
	index := slices.Index(s.machines, m)
	for i, other := range s.machines {
		if i != index && (i+index)%every == 0 {
			s.partitioned[link{m.name, other.name}] = out || !in
			s.partitioned[link{other.name, m.name}] = in
		}
	}
}

// restartAll simulates a power failure of all machines.
func (s *simulation) restartAll() {
	for _, m := range s.machines {
		s.stop(m)
		s.startAfter(0.5+s.rng.Float64(), m)
	}
}

// rollBackStore restores the store of a voter from a copy. It does so only if the fleet had no fault for a while after
// the copy was made, because only then have the other voters seen the voter's progress beyond the copy.
func (s *simulation) rollBackStore() {
	m := s.machines[s.rng.IntN(s.voterCount)]
	s.healNetwork()
	if m.store.durable != nil {
		m.backup = m.store.copy()
	}
	s.after(3, func() {
		for _, v := range s.voters() {
			if !v.up || s.now < v.pausedUntil+1 || v.voter == nil || v.voter.state != Voting {
				return
			}
		}
		if s.now < s.lastFaultAt+2 || s.lostStores >= (s.voterCount-1)/2 || m.backup == nil {
			return
		}
		s.lostStores++
		s.restoreBackup(m)
	})
}

// restoreBackup restarts a machine on the copy of its store.
func (s *simulation) restoreBackup(m *machine) {
	s.stop(m)
	m.store.durable = m.backup
	s.start(m)
}

func (s *simulation) healNetwork() {
	clear(s.partitioned)
	s.lossRate, s.maxDelay = 0, 0
}

// heal ends all faults.
func (s *simulation) heal() {
	s.healNetwork()
	for _, m := range s.machines {
		m.store.full, m.pausedUntil = false, min(m.pausedUntil, s.now)
		if !m.up {
			s.start(m)
		}
	}
}
