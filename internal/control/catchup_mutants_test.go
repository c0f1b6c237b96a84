//go:build mutants

package control

import (
	"testing"

	"mulleinrouter/internal/control/mutant"
)

func TestCatchUpMutants(t *testing.T) {
	defer func() { mutant.Name = "" }()
	for _, mutant.Name = range []string{"mixes-epochs", "older-source", "epoch-before-items", "recent-off-by-one", "position-without-items", "accepts-behind"} {
		seed, wrong := uint64(0), ""
		for _, n := range boundaries {
			if wrong == "" {
				wrong = recentWrong(n)
			}
		}
		for ; seed < 1500 && wrong == ""; seed++ {
			wrong, _ = catchUpWalk(seed)
		}
		if wrong == "" {
			t.Errorf("%s: not found", mutant.Name)
		}
		t.Logf("%s: seed %d: %s", mutant.Name, seed-1, wrong)
	}
}

func TestReadyBehindMutant(t *testing.T) {
	defer func() { mutant.Name = "" }()
	mutant.Name = "ready-behind"
	if ready, _ := readyBehind(t); ready <= readyBound {
		t.Error("not found")
	}
}

func TestBeginsAnewMutant(t *testing.T) {
	defer func() { mutant.Name = "" }()
	mutant.Name = "begins-anew"
	if total, bytes := slowLink(t); bytes < total*5/4 {
		t.Error("not found")
	}
}
