//go:build mutants

package control

import (
	"testing"
	"time"

	"mulleinrouter/internal/mutants"
)

// The histories and the isolated leaseholder detect faults that are seeded into the tables and the service. Faults that
// concern the tables or the replicas alone are detected by the tests of their packages.
func TestCoordinationMutants(t *testing.T) {
	for _, fault := range []string{
		"coordination/lock-expires-at-take-over", "coordination/fence-from-memory",
		"coordination/delayed-release-ends-hold", "shards/replies-to-any-process",
	} {
		t.Run(fault, func(t *testing.T) {
			mutants.Seed(t, fault)
			const maxSeeds = 50
			for seed := range uint64(maxSeeds) {
				if wrong, _ := runApplications(t, 1000+seed, 12); len(wrong) > 0 {
					t.Logf("seed %d: %s", 1000+seed, wrong[0])
					return
				}
			}
			t.Errorf("%s: not found by %d seeds", fault, maxSeeds)
		})
	}
	for _, fault := range []string{"shards/lease-not-looked-at", "shards/answers-before-commit"} {
		t.Run(fault, func(t *testing.T) {
			mutants.Seed(t, fault)
			var wrong []string
			for _, severed := range isolations {
				wrong = append(wrong, isolatedLeaseholder(t, severed)...)
			}
			if len(wrong) == 0 {
				t.Errorf("%s: not found", fault)
			}
			t.Log(wrong)
		})
	}
}

// The restarted caller detects replies that are sent to whichever process of a node is connected.
func TestRestartedCallerFindsMutant(t *testing.T) {
	const scenarios = 3
	mutants.Seed(t, "shards/replies-to-any-process")
	wrong := repliesOfFormerProcess(t)
	if len(wrong) != scenarios {
		t.Errorf("found in %d of %d scenarios: %q", len(wrong), scenarios, wrong)
	}
	t.Log(wrong)
}

// The frozen node detects puts that are handled although they may have waited for long.
func TestPutKeptByFrozenNodeFindsMutant(t *testing.T) {
	mutants.Seed(t, "httpapi/handles-late-puts")
	for _, acceptAfterPause := range []bool{false, true} {
		if got := putKeptByFrozenNode(t, 45*time.Second, acceptAfterPause); got == valueBeforeLatePut {
			t.Errorf("not found with acceptAfterPause = %t", acceptAfterPause)
		}
	}
}
