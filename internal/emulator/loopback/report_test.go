package loopback

import (
	"errors"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/matryer/is"

	"mulleinrouter/internal/emulator/invariants"
)

func TestFinishedRequests(t *testing.T) {
	is := is.New(t)
	answered := func(status int, done float64) invariants.Attempt {
		return invariants.Attempt{Last: true, End: invariants.Answered, Status: status, Done: done}
	}
	probe, repeated := answered(200, 11), answered(503, 11)
	probe.Probe = true
	repeated.Last = false
	is.Equal(finishedRequests([]invariants.Attempt{
		answered(204, 11), answered(429, 12), answered(500, 13), probe, repeated,
		{Last: true, End: invariants.NotConnected, Done: 14},
	}, 10), []FinishedRequest{{Served, 1}, {Rejected, 2}, {Failed, 3}, {Failed, 4}})
}

func TestChoosePorts(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	ips := []string{"127.1.0.1"}
	drawn, err := choosePorts(0, rng, ips)
	is.NoErr(err)
	given, err := choosePorts(drawn.front, rng, ips)
	is.NoErr(err)
	is.Equal(given, drawn)
	l, err := net.Listen("tcp4", net.JoinHostPort("127.1.0.1", "0"))
	is.NoErr(err)
	defer l.Close()
	used := l.Addr().(*net.TCPAddr).Port
	_, err = choosePorts(used-allPorts+1, rng, ips) // the last one is in use
	var inUse *PortsInUseError
	is.True(errors.As(err, &inUse))
	is.Equal(inUse.Last, used)
}
