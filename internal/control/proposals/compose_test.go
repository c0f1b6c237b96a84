package proposals

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
)

func TestElectorateChangeEvaluate(t *testing.T) {
	first := consensus.InitialElectorate([]string{"a", "b", "c"})
	second := consensus.InitialElectorate([]string{"a", "b", "d"})
	other := consensus.InitialElectorate([]string{"a", "b", "e"})
	change := ElectorateChange{From: first, To: second.Voters}
	for _, test := range []struct {
		name    string
		present consensus.Electorate
		voters  []consensus.Voter
		err     error
	}{
		{"electorate unchanged", first, second.Voters, nil},
		{"change made already", second, nil, nil},
		{"electorate changed otherwise", other, nil, ErrElectorateChanged},
	} {
		t.Run(test.name, func(t *testing.T) {
			voters, err := change.evaluate(consensus.Base{Electorate: test.present})
			if !slices.Equal(voters, test.voters) || !errors.Is(err, test.err) {
				t.Errorf("got %v, %v; want %v, %v", voters, err, test.voters, test.err)
			}
		})
	}
}

// Guards against a proposal that a node accepts itself but cannot send: it would have to complete that proposal before
// any other, and its frame is rejected each time. Whatever is not rejected must fit into a frame.
func TestProposalsFitIntoFrames(t *testing.T) {
	history := make(configuration.History, 16)
	for n := range history {
		history[n] = configuration.HistoricVersion{Version: 1<<32 - uint64(n), Digest: 1<<64 - 1}
	}
	voters := make([]consensus.Voter, 9)
	for n := range voters {
		voters[n] = consensus.Voter{Addr: "255.255.255.255:65535", Disk: 1<<64 - 1}
	}
	for _, test := range []struct {
		name           string
		count, body    int // items, and bytes of each body
		history        *configuration.History
		wantsRejection bool
	}{
		{"usual", 1000, 300, nil, false},
		{"long items within the limit of a patch", 27, configuration.MaxBodyBytes, nil, false},
		{"long items with histories", 27, configuration.MaxBodyBytes, &history, false},
		{"a little below the limit", 31, configuration.MaxBodyBytes, &history, false},
		{"the limit", 32, configuration.MaxBodyBytes, nil, true},
		{"superseded versions of long items", 40, configuration.MaxBodyBytes, &history, true},
		{"many items with histories", 110_000, 250, &history, true},
		{"many short items", 860_000, 25, nil, true},
		{"short items that fit", 500_000, 25, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := make([]byte, test.body)
			items := make([]configuration.Item, test.count)
			for n := range items {
				items[n] = configuration.Item{
					Key:     configuration.Key{Kind: configuration.Routes, Name: fmt.Sprintf("r%08x", n)},
					Version: 1<<32 - 1, Epoch: 1 << 40, Body: body, History: test.history,
				}
			}
			left, verdicts := rejectTooLong(items, []consensus.Verdict{{AlreadyApplied: true}, {Included: true}})
			if rejected := verdicts[1].Err != nil; rejected != test.wantsRejection {
				t.Errorf("got %+v, want a rejection: %v", verdicts[1], test.wantsRejection)
			}
			proposal := consensus.Proposal{
				Ballot: consensus.Ballot{Round: 1 << 60, Node: "255.255.255.255:65535/18446744073709551615/1"},
				Epoch:  1 << 60, Items: left, Voters: voters,
			}
			accept := &transport.Accept{Proposal: proposal}
			if _, err := transport.Append(nil, &transport.Frame{Accept: accept}); err != nil {
				t.Errorf("not rejected, and cannot be sent: %v", err)
			}
		})
	}
}
