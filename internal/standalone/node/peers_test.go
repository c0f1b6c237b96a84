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

// An older process is replaced by a newer one. The older one must hand over its knowledge once, their shares must never
// add up to more than 1, and the newer one must take over the share that the older one frees.
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
		t.Fatalf("view of the first process = %+v, want alone with share 1", view)
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
	var shares []float64
	step := func(p *peerProcesses) {
		view := p.exchange(knowledge)
		shares = append(shares, view.Own.Share)
		if wantSecondary := p == newer; view.Secondary != wantSecondary && p.folder != nil && len(shares) < 4 {
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
	if diff := cmp.Diff([]float64{0.5, 0.5, 0.2, 0.8, 1}, shares); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
}

// Without a state folder, or with an address at which no second process can listen, there is no exchange with other
// processes.
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

// A damaged file and a missing folder must cause only one log line, and must not prevent the process from getting the
// complete share.
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
			t.Errorf("with a damaged record: view = %+v, want alone with share 1", view)
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

// A process that was suspended and resumes must serve no request until it has renewed its share.
func TestShareExpires(t *testing.T) {
	n, _, _ := startNode(t, twoPlans)
	defer n.Stop()
	if got := request(t, n, "plus"); got != http.StatusOK {
		t.Fatalf("before: status %d, want 200", got)
	}
	n.engine.SetShare(0.5, true, 1e-9) // its lease expires at once
	time.Sleep(time.Millisecond)
	if got := request(t, n, "plus"); got != http.StatusServiceUnavailable {
		t.Errorf("with an expired share: status %d, want 503", got)
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
