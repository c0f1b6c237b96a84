//go:build mutants

package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// The tests of replacements detect faults that are seeded into them.
func TestReplacementMutants(t *testing.T) {
	findSeededFaults(t, []seededFault{
		{"electorate/asks-no-others", func(t *testing.T) (failures []string) {
			if count := electoratesWithFailedLinks(t); count > 1 {
				failures = append(failures, fmt.Sprintf("%d electorates within a minute", count))
			}
			return failures
		}},
		{"electorate/slow-replacement", func(t *testing.T) (failures []string) {
			synctest.Test(t, func(t *testing.T) {
				c := newLossesInTurn(t, siteBounds[0], false)
				defer c.stopAll()
				c.lose(c.seeds[rand.IntN(len(c.seeds))], loss{replaced, 100 * time.Millisecond})
				if wrong := c.notVoting(); wrong != "" {
					failures = append(failures, wrong)
				}
			})
			return failures
		}},
		{"control/leaves-unannounced", func(t *testing.T) (failures []string) {
			synctest.Test(t, func(t *testing.T) {
				c := newLossesInTurn(t, siteBounds[0], false)
				defer c.stopAll()
				c.startDelay = 1200 * time.Millisecond
				c.lose(c.seeds[rand.IntN(len(c.seeds))], loss{planned, time.Second})
				if wrong := c.notVoting(); wrong != "" {
					failures = append(failures, wrong)
				}
			})
			return failures
		}},
	})
}
