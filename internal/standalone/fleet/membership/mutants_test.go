//go:build mutants

package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"mulleinrouter/internal/mutants"
)

// maxWalks is the number of random walks within which a seeded fault has to be found.
const maxWalks = 4000

// TestMutants checks that random walks find each seeded fault, and that they find nothing without a fault.
func TestMutants(t *testing.T) {
	for _, fault := range []string{
		"",
		"left-agreed",
		"old-claim",
		"replays-count",
		"never-aside",
		"dead-unasked",
		"heard-is-dead",
		"half-is-enough",
		"answers-answers",
	} {
		t.Run(fault, func(t *testing.T) {
			seeded := ""
			if fault != "" {
				seeded = "membership/" + fault
			}
			mutants.Seed(t, seeded)
			violation := ""
			for seed := uint64(0); seed < maxWalks && violation == ""; seed++ {
				violation = walkViolation(seed)
			}
			switch {
			case fault == "" && violation != "":
				t.Errorf("without a fault: %s", violation)
			case fault != "" && violation == "":
				t.Error("the fault is not found: a property is missing")
			default:
				t.Log(violation)
			}
		})
	}
}

// seededChooser draws random numbers from a seed, and panics with the violation instead of failing a test.
type seededChooser struct{ rng *rand.Rand }

func (c seededChooser) below(n int) int                   { return c.rng.IntN(n) }
func (c seededChooser) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// walkViolation returns the property violation that a random walk finds; empty if it finds none.
func walkViolation(seed uint64) (violation string) {
	defer func() {
		if r := recover(); r != nil {
			violation = fmt.Sprint(r)
		}
	}()
	randomWalk(seededChooser{rand.New(rand.NewPCG(seed, 1))})
	return ""
}
