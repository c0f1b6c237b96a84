package coordinationsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// crashAllTimeout is the time after which crashes that have not returned count as a deadlock.
const crashAllTimeout = 30 * time.Second

// TestConcurrentCrashAll guards against a deadlock of two series of faults. Each held the locks of some nodes that it
// had killed, and waited for the other nodes, whose locks the other series held.
func TestConcurrentCrashAll(t *testing.T) {
	const series, nodeCount = 2, 5
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	s := &soak{rnd: rand.New(rand.NewPCG(1, 1))}
	faults, end := context.WithCancel(context.Background())
	end() // the delays before the restarts are skipped
	s.faults = faults
	for i := range nodeCount {
		n := &node{ip: fmt.Sprint("node-", i), dir: t.TempDir(), program: program}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20 {
			var crashes sync.WaitGroup
			for range series {
				crashes.Go(s.crashAll)
			}
			crashes.Wait()
		}
	}()
	select {
	case <-done:
		s.killAll()
	case <-time.After(crashAllTimeout):
		t.Fatal("two concurrent crashes of all nodes wait for each other")
	}
	if len(s.problems) > 0 {
		t.Error(s.problems)
	}
}
