package quorum

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// checkTable checks that all voters have the same table at the same index of the log, and that each token was granted
// to one holder only.
func (s *simulation) checkTable(m *machine) {
	v := m.voter
	table := fmt.Sprintf("%d %v", v.table.LastToken, v.table.Leases)
	if other, known := s.tables[v.appliedIndex]; known && other != table {
		s.reportProblem("%s has another table at entry %d: got %s, want %s", m.name, v.appliedIndex, table, other)
	}
	s.tables[v.appliedIndex] = table
	for _, tenure := range v.table.History {
		holder := fmt.Sprint(tenure.Holder)
		if other, known := s.grants[tenure.Token]; known && other != holder {
			s.reportProblem("token %d was granted to %s and to %s", tenure.Token, other, holder)
		}
		s.grants[tenure.Token] = holder
	}
}

// checkActor checks that only one machine acts under each token, and that tokens of consecutive actors don't decrease.
func (s *simulation) checkActor(m *machine, token uint64) {
	actor := fmt.Sprint(m.name, m.incarnation)
	if other, acted := s.actors[token]; acted && other != actor {
		s.reportProblem("%s acts under token %d, as %s did", actor, token, other)
	}
	s.actors[token] = actor
	if token < s.lastToken {
		s.reportProblem("%s acts under token %d, and %s has acted under %d",
			actor, token, s.actors[s.lastToken], s.lastToken)
	}
	s.lastToken = max(s.lastToken, token)
	if s.lastEffectAt > 0 && s.now > s.lastEffectAt+0.3 {
		s.gaps = append(s.gaps, s.now-s.lastEffectAt)
	}
	s.lastEffectAt = s.now
}

// confirmation is an operation on the register of the role's holder, by which a leader confirms a lease.
type confirmation struct {
	token  uint64
	holder string
}

// holderModel models the role's holder as a register, for porcupine. A confirmation is legal for the present token and
// its holder, or for a later token. A confirmation of an older token is illegal.
var holderModel = porcupine.Model{
	Init: func() any { return confirmation{} },
	Step: func(state, input, _ any) (bool, any) {
		present, next := state.(confirmation), input.(confirmation)
		switch {
		case next.token > present.token:
			return true, next
		case next.token == present.token:
			return next.holder == present.holder, present
		}
		return false, present
	},
}

// recordConfirmations records the confirmed leases of a response for holderModel.
func (s *simulation) recordConfirmations(m *machine, r singleton.AcquireResponse) {
	key := requestKey(m, r.ID)
	sentAt, waiting := s.requestSentAt[key]
	for _, status := range r.Statuses {
		if !waiting || !status.Confirmed {
			continue
		}
		s.history = append(s.history, porcupine.Operation{
			ClientId: slices.Index(s.machines, m),
			Input:    confirmation{status.Token, fmt.Sprint(m.name, m.incarnation)},
			Output:   true,
			Call:     int64(sentAt * 1e6),
			Return:   int64(s.now * 1e6),
		})
	}
	delete(s.requestSentAt, key)
}

// votingCount counts the voters whose state is Voting.
func (s *simulation) votingCount() (count int) {
	for _, m := range s.voters() {
		if m.voter != nil && m.voter.state == Voting {
			count++
		}
	}
	return count
}

// checkProgress checks that a machine has acted in the last second, and that the last action is not the one at the time
// since. It checks nothing if no majority of the voters votes.
func (s *simulation) checkProgress(since float64) {
	if len(s.problems) > 0 || 2*s.votingCount() <= s.voterCount {
		return
	}
	if s.lastEffectAt == since || s.now > s.lastEffectAt+1 {
		s.reportProblem("no machine acts %d s after the end of all faults, with %d of %d voting",
			recoverySeconds, s.votingCount(), s.voterCount)
	}
}

// checkRetired checks that no more voters retired than stores were lost or rolled back.
func (s *simulation) checkRetired() {
	retired := 0
	for _, m := range s.voters() {
		if m.voter != nil && m.voter.state == Retired {
			retired++
		}
	}
	if retired > s.lostStores {
		s.reportProblem("%d voters retired, and %d stores were lost or rolled back", retired, s.lostStores)
	}
}

// checkTokensKnown checks that the table of each voting voter has reached the last token under which a machine acted.
func (s *simulation) checkTokensKnown() {
	for _, m := range s.voters() {
		if m.voter == nil || m.voter.state != Voting || len(s.problems) > 0 {
			continue
		}
		if last := m.voter.table.LastToken; last < s.lastToken {
			s.reportProblem("%s knows token %d, and a machine acted under %d", m.name, last, s.lastToken)
		}
	}
}

// checkLinearizable checks that the first confirmations are linearizable. It checks only maxOperations of them, because
// the time that this takes grows with their number.
func (s *simulation) checkLinearizable() {
	const maxOperations = 60
	history := s.history[:min(len(s.history), maxOperations)]
	if len(s.problems) == 0 && !porcupine.CheckOperations(holderModel, history) {
		s.reportProblem("the register of holders is not linearizable")
	}
}
