package node

import (
	"io"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/handover"
)

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// An older process and a younger one, through an upgrade: what was learned goes over once, the parts never make more than
// one, and what the older one leaves behind is taken.
func TestPair(t *testing.T) {
	dir := t.TempDir()
	beside := func(process int64) *pair { return beside(dir, "n1", "10.0.0.4:80", process, quiet()) }
	old, shared := beside(1), 0
	share := func() decision.Knowledge {
		shared++
		return decision.Knowledge{At: unix(), TypicalTime: 0.25}
	}
	if k := old.learn(); k != nil {
		t.Fatal("learned from nobody")
	}
	if v := old.turn(share); !v.Alone || v.Own.Part != 1 {
		t.Fatalf("alone: %+v", v)
	}
	young, learned := beside(2), make(chan *decision.Knowledge)
	go func() { learned <- young.learn() }()
	var k *decision.Knowledge
	for k == nil {
		select {
		case k = <-learned:
			if k == nil {
				t.Fatal("nothing was handed over")
			}
		default:
			old.turn(share)
		}
	}
	if k.TypicalTime != 0.25 || shared != 1 {
		t.Errorf("handed over %+v, %d times", k, shared)
	}
	var got []float64
	step := func(p *pair) {
		v := p.turn(share)
		if got = append(got, v.Own.Part); v.Junior != (p == young) && p.folder != nil && len(got) < 4 {
			t.Errorf("process %d, junior %v", v.Own.Process, v.Junior)
		}
	}
	step(young)
	step(old)
	old.member.Leave()
	step(old)
	step(young)
	old.folder.Remove(records, 1)
	step(young)
	if diff := cmp.Diff([]float64{0.5, 0.5, 0.2, 0.8, 1}, got); diff != "" {
		t.Error(diff)
	}
}

// A folder that cannot be used, and files that are rubbish, cost a line and nothing else.
func TestPairWithoutAFolder(t *testing.T) {
	for _, c := range []struct{ dir, listen string }{{"", "10.0.0.4:80"}, {"/", "10.0.0.4:0"}, {"/", "nonsense"}} {
		if beside(c.dir, "n1", c.listen, 1, quiet()) != nil {
			t.Errorf("%+v: a pair", c)
		}
	}
	dir := t.TempDir()
	log, seen := quiet(), make(lines, 100)
	log.AddHook(seen)
	p, q := beside(dir, "n1", "10.0.0.4:80", 1, log), beside(dir, "n1", "10.0.0.4:80", 2, quiet())
	q.turn(nil)
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	if err := os.WriteFile(dir+"/"+files[0].Name(), []byte("rubbish"), 0o600); err != nil {
		t.Fatal(err)
	}
	if v := p.turn(nil); !v.Alone || v.Own.Part != 1 {
		t.Errorf("beside rubbish: %+v", v)
	}
	if v := p.turn(nil); !v.Alone || v.Own.Part != 1 {
		t.Errorf("beside rubbish: %+v", v)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	p.turn(nil)
	var codes []string
	for len(seen) > 0 {
		codes = append(codes, <-seen)
	}
	if len(codes) == 0 || len(codes) > 1 || codes[0] != "state-unusable" {
		t.Errorf("lines %q", codes)
	}
}

// A process that is stopped and wakes is none of the ingress until it has looked again.
func TestPartLapses(t *testing.T) {
	n, _, _ := start(t, twoPlans)
	defer n.Stop()
	if s := ask(t, n, "plus"); s != 200 {
		t.Fatalf("before: %d", s)
	}
	n.engine.SetShare(0.5, true, 1e-9) // its lease is over at once
	time.Sleep(time.Millisecond)
	if s := ask(t, n, "plus"); s != 503 {
		t.Errorf("with a part that has lapsed: %d, want a refusal", s)
	}
	n.engine.SetShare(1, false, 0)
	if s := ask(t, n, "plus"); s != 200 {
		t.Errorf("alone again: %d", s)
	}
	if handover.Lease <= 2*handover.Beat {
		t.Error("one late beat would end a lease")
	}
}
