package quorum

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/cryptotest"

	"github.com/fxamacker/cbor/v2"
)

// recoverySeconds is the time without faults at the end of a run, after which the role must be held again.
const recoverySeconds = 14

// seedsFromEnvironment returns the number of seeds that MULLEIN_SEEDS sets.
func seedsFromEnvironment() (uint64, bool) {
	n, err := strconv.ParseUint(os.Getenv("MULLEIN_SEEDS"), 10, 32)
	return n, err == nil
}

// simulate runs a fleet with the random faults of a seed, then without faults, and checks the observations.
func simulate(seed uint64, seconds float64) *simulation {
	s := newSimulation(seed)
	s.run(seconds, true)
	s.heal()
	healedAt := s.lastEffectAt
	s.run(recoverySeconds, false)
	s.checkProgress(healedAt)
	s.checkRetired()
	s.checkTokensKnown()
	s.checkLinearizable()
	return s
}

// TestSimulatedFaults runs fleets with random faults, and checks that no two machines act under one token, that tokens
// never decrease, and that the role is held again after the faults if a majority votes. It logs how long the role had
// no holder.
func TestSimulatedFaults(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1) // raft takes its election timeouts from it, so results are reproducible
	seeds := uint64(40)
	if n, ok := seedsFromEnvironment(); ok {
		seeds = n
	}
	effects, rejected, grants := 0, 0, 0
	var gaps []float64
	for seed := range seeds {
		s := simulate(seed, 60)
		if len(s.problems) > 0 {
			t.Errorf("seed %d: %v", seed, s.problems)
		}
		effects += s.effects
		rejected += s.rejected
		grants += len(s.grants)
		gaps = append(gaps, s.gaps...)
	}
	slices.Sort(gaps)
	if effects == 0 || grants < int(seeds) || len(gaps) == 0 {
		t.Fatalf("%d effects, %d grants, %d gaps: too few to show anything", effects, grants, len(gaps))
	}
	t.Logf("%d runs of 60 s: %d effects, %d rejected as older, %d grants", seeds, effects, rejected, grants)
	t.Logf("without a holder: median %.1f s, p99 %.1f s, worst %.1f s",
		gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1])
}

// TestRolledBackStore checks that a voter whose store was rolled back to a copy does not vote under its id again, and
// that the other voters continue without it.
func TestRolledBackStore(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1)
	if err := checkRolledBackStore(); err != nil {
		t.Error(err)
	}
}

func checkRolledBackStore() error {
	s := newSimulation(3)
	s.run(6, false)
	m := s.machines[0]
	m.backup = m.store.copy()
	s.run(3, false)
	s.restoreBackup(m)
	for range 4000 {
		if s.run(0.002, false); m.voter.state == Voting {
			return fmt.Errorf("voter %s is %s after its store was rolled back, want %s", m.name, m.voter.state, Retired)
		}
	}
	switch {
	case len(s.problems) > 0:
		return fmt.Errorf("problems: %v", s.problems)
	case m.voter.state != Retired:
		return fmt.Errorf("voter %s is %s, want %s", m.name, m.voter.state, Retired)
	case s.votingCount() != s.voterCount-1:
		return fmt.Errorf("%d voters vote, want %d", s.votingCount(), s.voterCount-1)
	case s.now > s.lastEffectAt+1:
		return fmt.Errorf("no machine has acted since %.1f s, and it is %.1f s now", s.lastEffectAt, s.now)
	}
	return nil
}

// TestWaitsForConfirmation checks that a restarted voter does not vote before a majority, itself included, has
// confirmed that it has not seen the voter ahead of its store.
func TestWaitsForConfirmation(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1)
	if err := checkWaitsForConfirmation(); err != nil {
		t.Error(err)
	}
}

func checkWaitsForConfirmation() error {
	s := newSimulation(3)
	s.run(6, false)
	m := s.machines[0]
	voter, err := Open(m.name, nil, m.store, 0)
	if err != nil {
		return err
	}
	now := 0.0
	for range 10 * helloTicks {
		now += TickInterval
		voter.Tick(now)
	}
	if voter.state != Waiting {
		return fmt.Errorf("voter that no other voter has confirmed is %s, want %s", voter.state, Waiting)
	}
	for id, name := range voter.durable.VoterNames {
		if id == voter.durable.ID {
			continue
		}
		data, err := cbor.Marshal(envelope{
			Kind:         kindProgress,
			From:         id,
			Name:         name,
			Boot:         voter.durable.Peers[id].Boot,
			Bootstrapped: true,
		})
		if err != nil {
			return err
		}
		if _, err := voter.Receive(now, data); err != nil {
			return err
		}
	}
	if voter.state != Voting {
		return fmt.Errorf("voter that all others have confirmed is %s, want %s", voter.state, Voting)
	}
	return nil
}
