package faulttest

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/standalone/fleet/gossip"
)

// newTestPlayer returns a player with three members that do not run, and the time at which its scenario started.
func newTestPlayer(t *testing.T) (p *player, startedAt time.Time) {
	t.Helper()
	startedAt = time.Now()
	env := &environment{scenario: &Scenario{Ingresses: 3}}
	for _, name := range env.scenario.Names() {
		env.nodes = append(env.nodes, &node{name: name})
	}
	p = &player{
		options:   Options{Slack: 1, Dir: t.TempDir()},
		env:       env,
		startedAt: startedAt,
		requests:  &requestCounts{},
	}
	return p, startedAt
}

func checkFinding(t *testing.T, got, want Finding) {
	t.Helper()
	got.Expectation, want.Expectation = Expectation{}, Expectation{}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("finding (-want +got):\n%s", diff)
	}
}

func TestEvaluateLease(t *testing.T) {
	p, start := newTestPlayer(t)
	p.tenures = []tenure{
		{at: start.Add(time.Second), ingress: "n1", token: 4, running: true},
		{at: start.Add(3 * time.Second), ingress: "n1", token: 4, running: true},
		{at: start.Add(4 * time.Second), ingress: "n2", token: 5},
		{at: start.Add(5 * time.Second), ingress: "n2", token: 5, running: true},
	}
	for _, test := range []struct {
		name        string
		expectation Expectation
		want        Finding
	}{
		{
			name:        "any token",
			expectation: Expectation{Value: leaseAny, Within: 4 * time.Second},
			want:        Finding{Passed: true, Times: []time.Duration{time.Second}, Text: "by n1"},
		},
		{
			name:        "a newer token",
			expectation: Expectation{Value: leaseAgain, After: 2 * time.Second, Within: 4 * time.Second},
			want:        Finding{Passed: true, Times: []time.Duration{3 * time.Second}, Text: "by n2"},
		},
		{
			name:        "another member",
			expectation: Expectation{Value: leaseAny, Members: []string{"n3"}, Within: 10 * time.Second},
			want:        Finding{Text: `last holder "n2", token 5`},
		},
		{
			name:        "too late",
			expectation: Expectation{Value: leaseAgain, After: 2 * time.Second, Within: time.Second},
			want:        Finding{Text: `last holder "n1", token 4`},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.expectation.Kind = ExpectLease
			checkFinding(t, p.evaluate(test.expectation), test.want)
		})
	}
}

func TestEvaluateObservations(t *testing.T) {
	p, start := newTestPlayer(t)
	p.observations = []observation{
		{
			at:           start.Add(time.Second),
			reachability: map[string]string{"n1": reachabilityComplete, "n2": reachabilityCutOff},
		},
		{
			at:           start.Add(2 * time.Second),
			agree:        true,
			reachability: map[string]string{"n1": reachabilityComplete, "n2": reachabilityComplete},
		},
	}
	for _, test := range []struct {
		name        string
		expectation Expectation
		want        Finding
	}{
		{
			name:        "agree",
			expectation: Expectation{Kind: ExpectAgree},
			want:        Finding{Passed: true, Times: []time.Duration{2 * time.Second}, Text: "once"},
		},
		{
			name:        "reachability of all",
			expectation: Expectation{Kind: ExpectReachability, Value: reachabilityComplete},
			want:        Finding{Passed: true, Times: []time.Duration{2 * time.Second}, Text: "once"},
		},
		{
			name: "reachability of one",
			expectation: Expectation{
				Kind: ExpectReachability, Value: reachabilityCutOff, Members: []string{"n2"},
			},
			want: Finding{Passed: true, Times: []time.Duration{time.Second}, Text: "once"},
		},
		{
			name: "never reported",
			expectation: Expectation{
				Kind: ExpectNotReachability, Value: reachabilityCutOff, Members: []string{"n1"},
			},
			want: Finding{Passed: true},
		},
		{
			name:        "reported once",
			expectation: Expectation{Kind: ExpectNotReachability, Value: reachabilityCutOff},
			want:        Finding{Text: "n2 reported it after 1.0 s"},
		},
		{
			name:        "nothing observed",
			expectation: Expectation{Kind: ExpectAgree, After: 3 * time.Second},
			want:        Finding{Text: nothingObserved},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.expectation.Within = 5 * time.Second
			checkFinding(t, p.evaluate(test.expectation), test.want)
		})
	}
}

func TestEvaluateNever(t *testing.T) {
	p, start := newTestPlayer(t)
	n1 := p.env.nodes[0]
	change := gossip.ChangeReport{Name: "n2", What: "state", To: stateDead}
	n1.changes = []stateChange{{at: start.Add(time.Second), ChangeReport: change}}
	for _, test := range []struct {
		name    string
		members []string
		want    Finding
	}{
		{"reported", []string{"n2"}, Finding{Text: "1 times; n1 reported n2 as dead after 1.0 s"}},
		{"not reported", []string{"n3"}, Finding{Passed: true, Text: "reported by none of 3 observers"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectation := Expectation{
				Kind: ExpectNever, Value: stateDead, Members: test.members, Within: 5 * time.Second,
			}
			checkFinding(t, p.evaluate(expectation), test.want)
		})
	}
}

func TestReported(t *testing.T) {
	start := time.Now()
	n := &node{name: "n1"}
	for i, state := range []string{stateAlive, stateDead, stateAlive} {
		change := gossip.ChangeReport{Name: "n2", What: "state", To: state}
		at := start.Add(time.Duration(i) * time.Second)
		n.changes = append(n.changes, stateChange{at: at, ChangeReport: change})
	}
	for _, test := range []struct {
		name  string
		state string
		from  time.Duration
		want  time.Duration
		ok    bool
	}{
		{"change after the time", stateDead, 500 * time.Millisecond, time.Second, true},
		{"state at the time", stateDead, 1500 * time.Millisecond, 1500 * time.Millisecond, true},
		{"state at the end", stateAlive, 5 * time.Second, 5 * time.Second, true},
		{"only before the time", stateDead, 3 * time.Second, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			at, ok := n.reported("n2", test.state, start.Add(test.from))
			if ok != test.ok || ok && !at.Equal(start.Add(test.want)) {
				t.Errorf("reported = %v after the start, %v; want %v, %v", at.Sub(start), ok, test.want, test.ok)
			}
		})
	}
}

func TestEvaluateUniqueTokens(t *testing.T) {
	const gain = "level=INFO code=duty-gained duty=export token="
	for _, test := range []struct {
		name string
		logs map[string]string // by file
		want Finding
	}{
		{
			name: "one holder each",
			logs: map[string]string{"n1.1.log": gain + "1\n", "n1.2.log": gain + "1\n", "n2.1.log": gain + "2\n"},
			want: Finding{Passed: true, Text: "3 leases acquired"},
		},
		{
			name: "two holders",
			logs: map[string]string{"n1.1.log": gain + "1\n", "n2.1.log": gain + "1\n"},
			want: Finding{Text: "token 1 has two holders: export n1 and export n2"},
		},
		{name: "no holder"},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, _ := newTestPlayer(t)
			for name, text := range test.logs {
				if err := os.WriteFile(filepath.Join(p.options.Dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			checkFinding(t, p.evaluate(Expectation{Kind: ExpectUniqueTokens}), test.want)
		})
	}
}

func TestEvaluateFencing(t *testing.T) {
	for _, test := range []struct {
		name   string
		tokens []uint64
		want   Finding
	}{
		{
			name:   "increasing",
			tokens: []uint64{1, 1, 3},
			want:   Finding{Passed: true, Text: "3 batches accepted with 2 tokens, 0 refused because of their token"},
		},
		{
			name:   "decreasing",
			tokens: []uint64{2, 1},
			want:   Finding{Text: "2 batches accepted with 2 tokens, 0 refused because of their token"},
		},
		{name: "none", want: Finding{Text: "0 batches accepted with 0 tokens, 0 refused because of their token"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, _ := newTestPlayer(t)
			for _, token := range test.tokens {
				p.acceptedBatches = append(p.acceptedBatches, fakes.AcceptedBatch{Token: token})
			}
			checkFinding(t, p.evaluate(Expectation{Kind: ExpectFencing}), test.want)
		})
	}
}

// Every kind of expectation that a file may name has an evaluator, and every action on members has a function.
func TestTablesComplete(t *testing.T) {
	for kind := range expectationValues {
		if evaluators[kind] == nil {
			t.Errorf("no evaluator of %q", kind)
		}
	}
	for _, named := range (&stepBlock{}).memberActions() {
		if actions[named.action] == nil {
			t.Errorf("no function of action %q", named.action)
		}
	}
}
