package node

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/handover"
)

// An older process and a newer one, through an upgrade: what was learned is handed over once, their parts never add
// up to more than one, and the newer one takes over the part that the older one leaves.
func TestPeerProcessesThroughAnUpgrade(t *testing.T) {
	dir := t.TempDir()
	newPeer := func(process int64) *peerProcesses {
		return newPeerProcesses(dir, "n1", "10.0.0.4:80", process, logtest.Discard())
	}
	older, handedOver := newPeer(1), 0
	knowledge := func() decision.Knowledge {
		handedOver++
		return decision.Knowledge{At: unixNow(), TypicalTime: 0.25}
	}
	if k := older.awaitKnowledge(); k != nil {
		t.Fatalf("knowledge of the first process = %+v, want none", k)
	}
	if view := older.exchange(knowledge); !view.Alone || view.Own.Share != 1 {
		t.Fatalf("view of the first process = %+v, want alone with part 1", view)
	}
	newer, received := newPeer(2), make(chan *decision.Knowledge)
	go func() { received <- newer.awaitKnowledge() }()
	var got *decision.Knowledge
	for got == nil {
		select {
		case got = <-received:
			if got == nil {
				t.Fatal("nothing was handed over")
			}
		default:
			older.exchange(knowledge)
		}
	}
	if got.TypicalTime != 0.25 || handedOver != 1 {
		t.Errorf("handed over %+v, %d times; want a typical time of 0.25, once", got, handedOver)
	}
	var parts []float64
	step := func(p *peerProcesses) {
		view := p.exchange(knowledge)
		parts = append(parts, view.Own.Share)
		if wantSecondary := p == newer; view.Secondary != wantSecondary && p.folder != nil && len(parts) < 4 {
			t.Errorf("process %d: secondary = %v, want %v", view.Own.Process, view.Secondary, wantSecondary)
		}
	}
	step(newer)
	step(older)
	older.member.Leave()
	step(older)
	step(newer)
	older.folder.Remove(peerRecord, 1)
	step(newer)
	if diff := cmp.Diff([]float64{0.5, 0.5, 0.2, 0.8, 1}, parts); diff != "" {
		t.Errorf("parts (-want +got):\n%s", diff)
	}
}

func TestNoPeerProcesses(t *testing.T) {
	for _, tc := range []struct{ name, dir, listen string }{
		{"no folder", "", "10.0.0.4:80"},
		{"any port", "/", "10.0.0.4:0"},
		{"no address", "/", "nonsense"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := newPeerProcesses(tc.dir, "n1", tc.listen, 1, logtest.Discard()); got != nil {
				t.Errorf("newPeerProcesses(%q, %q) = %+v, want nil", tc.dir, tc.listen, got)
			}
		})
	}
}

// A folder that cannot be used, and files that are damaged, cost one log line and nothing else.
func TestPeerProcessesWithDamagedFolder(t *testing.T) {
	dir := t.TempDir()
	logger, logged := logtest.Record()
	first := newPeerProcesses(dir, "n1", "10.0.0.4:80", 1, logger)
	second := newPeerProcesses(dir, "n1", "10.0.0.4:80", 2, logtest.Discard())
	second.exchange(nil)
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("files %v, error %v; want one file", files, err)
	}
	if err := os.WriteFile(filepath.Join(dir, files[0].Name()), []byte("rubbish"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if view := first.exchange(nil); !view.Alone || view.Own.Share != 1 {
			t.Errorf("beside a damaged record: view = %+v, want alone with part 1", view)
		}
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	first.exchange(nil)
	if diff := cmp.Diff([]string{"state-unusable"}, logged.Codes()); diff != "" {
		t.Errorf("log codes (-want +got):\n%s", diff)
	}
}

// A process that was stopped and resumes serves no request until it has renewed its part.
func TestPartExpires(t *testing.T) {
	n, _, _ := startNode(t, twoPlans)
	defer n.Stop()
	if got := request(t, n, "plus"); got != http.StatusOK {
		t.Fatalf("before: status %d, want 200", got)
	}
	n.engine.SetShare(0.5, true, 1e-9) // its lease expires at once
	time.Sleep(time.Millisecond)
	if got := request(t, n, "plus"); got != http.StatusServiceUnavailable {
		t.Errorf("with an expired part: status %d, want 503", got)
	}
	n.engine.SetShare(1, false, 0)
	if got := request(t, n, "plus"); got != http.StatusOK {
		t.Errorf("alone again: status %d, want 200", got)
	}
	if handover.LeaseDuration <= 2*handover.HeartbeatInterval {
		t.Errorf("lease of %v s, heartbeat every %v s: one late heartbeat would end a lease",
			handover.LeaseDuration, handover.HeartbeatInterval)
	}
}
