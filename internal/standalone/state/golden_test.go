package state_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/goldentest"
	"mulleinrouter/internal/standalone/handover"
	"mulleinrouter/internal/standalone/state"
)

// goldenKnowledge is the knowledge that a process hands over, with a distinct value in each field.
func goldenKnowledge() decision.Knowledge {
	var k decision.Knowledge
	var next int64
	goldentest.Fill(&k, &next)
	return k
}

func goldenRecords() (running, leaving handover.Record) {
	running = handover.New(7, 1740000000.25).Heartbeat(1740000000.75, nil).Own
	secondary := handover.New(8, 1740000001.25)
	secondary.Leave()
	return running, secondary.Heartbeat(1740000001.5, []handover.Record{running}).Own
}

func goldenFleet() gossip.Record {
	return gossip.Record{
		Boot: 12,
		Members: []membership.Member{
			{
				Name: "n1", Addr: "10.0.0.4:7946", Zone: "a", Version: "v1",
				Incarnation: membership.Incarnation{Boot: 12, Nonce: 1<<63 - 3},
				Phase:       membership.Serving, Number: 0,
			},
			{
				Name: "n2", Addr: "10.0.0.5:7946", Zone: "b", Version: "v2",
				Incarnation: membership.Incarnation{Boot: 3, Nonce: 99},
				Phase:       membership.LameDuck, Number: 1,
			},
		},
	}
}

// TestGoldenFiles checks that the files of an earlier version can be read, and that the same bytes are written.
func TestGoldenFiles(t *testing.T) {
	running, leaving := goldenRecords()
	for _, tc := range []struct {
		name    string
		file    string
		ingress string
		process int64
		kind    string
		want    any
		got     any
	}{
		{
			name:    "knowledge",
			file:    "ingress-623ac362.7.knowledge",
			ingress: "n1 10.0.0.4:80",
			process: 7,
			kind:    "knowledge",
			want:    goldenKnowledge(),
			got:     &decision.Knowledge{},
		},
		{
			name:    "record of a process",
			file:    "ingress-623ac362.7.record",
			ingress: "n1 10.0.0.4:80",
			process: 7,
			kind:    "record",
			want:    running,
			got:     &handover.Record{},
		},
		{
			name:    "record of a leaving process",
			file:    "ingress-623ac362.8.record",
			ingress: "n1 10.0.0.4:80",
			process: 8,
			kind:    "record",
			want:    leaving,
			got:     &handover.Record{},
		},
		{
			name:    "record of the fleet",
			file:    "ingress-7d8ebb0f.0.fleet",
			ingress: "n1",
			process: 0,
			kind:    "fleet",
			want:    goldenFleet(),
			got:     &gossip.Record{},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := state.Open("testdata", tc.ingress, 99).Read(tc.kind, tc.process, tc.got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, dereference(tc.got)); diff != "" {
				t.Errorf("read (-want +got):\n%s", diff)
			}
			dir := t.TempDir()
			if err := state.Open(dir, tc.ingress, tc.process).Write(tc.kind, tc.want); err != nil {
				t.Fatal(err)
			}
			written, err := os.ReadFile(filepath.Join(dir, tc.file))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(goldentest.Read(t, tc.file)), string(written)); diff != "" {
				t.Errorf("written (-want +got):\n%s", diff)
			}
		})
	}
}

func dereference(v any) any {
	switch v := v.(type) {
	case *decision.Knowledge:
		return *v
	case *handover.Record:
		return *v
	case *gossip.Record:
		return *v
	}
	return v
}
