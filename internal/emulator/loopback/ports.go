package loopback

import (
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	innerPorts   = 4                             // number of ports of a machine for calls between its programs
	metricsPorts = 2                             // number of ports for metrics, one for each of at most two programs
	allPorts     = 3 + innerPorts + metricsPorts // number of all ports of a machine
	minPort      = 10000                         // lowest first port that is drawn
	portSpan     = 20000                         // size of the range of first ports, below the ephemeral ports
	portAttempts = 200                           // number of first ports that are drawn until a run fails

	anyPort = "127.0.0.1:0" // the kernel chooses a free port
)

// ports contains the ports of a run, which are the same on all machines.
type ports struct {
	front   int // port for clients
	ready   int // port for the platform's readiness checks
	control int // port for servers and operators
	inner   int // first of innerPorts consecutive ports
	metrics int // first of metricsPorts consecutive ports
}

// portsFrom returns consecutive ports that begin with first.
func portsFrom(first int) ports {
	p := ports{front: first, ready: first + 1, control: first + 2, inner: first + 3}
	p.metrics = p.inner + innerPorts
	return p
}

// choosePorts returns consecutive ports that are free on the addresses of all machines. They begin with first; if first
// is 0, choosePorts draws them.
func choosePorts(first int, rng *rand.Rand, ips []string) (ports, error) {
	if first == 0 {
		return drawPorts(rng, ips)
	}
	if !allFree(ips, first, first+allPorts) {
		return ports{}, &PortsInUseError{First: first, Last: first + allPorts - 1}
	}
	return portsFrom(first), nil
}

// drawPorts draws consecutive ports that are free on the addresses of all machines.
func drawPorts(rng *rand.Rand, ips []string) (ports, error) {
	for range portAttempts {
		first := minPort + rng.IntN(portSpan)
		if allFree(ips, first, first+allPorts) {
			return portsFrom(first), nil
		}
	}
	return ports{}, ErrNoFreePorts
}

// allFree reports whether the ports from first up to, but not including, end are free on all addresses.
func allFree(ips []string, first, end int) bool {
	for port := first; port < end; port++ {
		for _, ip := range ips {
			l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}
