//go:build mutants

package shards

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// The exploration detects replies that are sent to whichever process of a node is connected.
func TestForwardingExplorationFindsMutant(t *testing.T) {
	mutants.Seed(t, "shards/replies-to-any-process")
	_, violation := exploreForwarding(*forwardDepth, false)
	if violation == "" {
		t.Error("not found")
	}
	t.Log(violation)
}
