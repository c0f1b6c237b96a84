package coordinationsoak

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"mulleinrouter/internal/race"
)

var (
	seeds = flag.Int("seeds", 1, "number of soaks")
	first = flag.Uint64("first", 1, "seed of the first soak")
	span  = flag.Duration("span", 20*time.Second, "duration of the faults of each soak")
	nodes = flag.Int("nodes", 0, "control nodes of each soak; 0: three or five, depending on the seed")
)

// freeNetworks returns networks of loopback addresses that no other run on this machine uses, one for each soak.
func freeNetworks(t *testing.T, count int) (free []int) {
	t.Helper()
	const all = 250
	start := os.Getpid()
	for i := 0; i < all && len(free) < count; i++ {
		network := 1 + (start+i)%all
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.77.%d.1:%d", network, controlPort))
		if err == nil {
			listener.Close()
			free = append(free, network)
		}
	}
	if len(free) < count {
		t.Fatalf("%d of %d networks are free", len(free), count)
	}
	return free
}

// TestSoak runs soaks with real processes. It fails if the answers to the applications are inconsistent, a process ends
// by itself, panics or has a data race, or a node does not answer after the faults. Each soak takes the duration of its
// faults, and the time until all nodes have started before them and answer after them.
func TestSoak(t *testing.T) { runSoaks(t, false) }

// TestSoakLossesInTurn runs soaks in which nodes are lost one at a time, for good or not, at the shortest times that
// the operators' tolerance allows. It guards against a successor that does not vote when the operators count on it.
func TestSoakLossesInTurn(t *testing.T) { runSoaks(t, true) }

func runSoaks(t *testing.T, lossesInTurn bool) {
	program := filepath.Join(t.TempDir(), "control")
	args := []string{"build", "-o", program}
	if race.Enabled {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "mulleinrouter/cmd/control")...).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	networks := freeNetworks(t, *seeds)
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			count := *nodes
			if count == 0 && !lossesInTurn {
				count = 3 + 2*int(seed%2)
			}
			count = max(3, count)
			report, err := Run(Options{
				Program: program, Dir: t.TempDir(), Seed: seed, Nodes: count, Network: networks[i], Span: *span,
				LossesInTurn: lossesInTurn,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, problem := range report.Problems {
				t.Error(problem)
			}
			if len(report.Problems) > 0 {
				t.Log(report.Logs)
			}
			t.Log(report.Outcomes, "hangups at start:", report.Hangups)
		})
	}
}
