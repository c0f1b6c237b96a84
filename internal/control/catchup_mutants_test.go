//go:build mutants

package control

import (
	"testing"

	"mulleinrouter/internal/control/mutant"
)

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
