package proposals

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/consensus"
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
