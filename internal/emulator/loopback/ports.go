package loopback

import (
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	innerPorts   = 4 // ports of a machine for calls between the programs
	metricsPorts = 2 // a machine runs two programs at most
	allPorts     = 3 + innerPorts + metricsPorts
	minPort      = 10000 // the ports lie below those that the kernel gives to connections
	portSpan     = 20000
	portAttempts = 200

	anyPort = "127.0.0.1:0" // the kernel chooses a free one
)

// ports are the ports of a run: the same on all machines.
type ports struct {
	front   int // for clients
	ready   int // for the platform
	control int // for servers and operators
	inner   int // the first of innerPorts
	metrics int // the first of metricsPorts
}

// portsFrom returns consecutive ports.
func portsFrom(first int) ports {
	p := ports{front: first, ready: first + 1, control: first + 2, inner: first + 3}
	p.metrics = p.inner + innerPorts
	return p
}

// choosePorts returns the ports from first on, or for 0 any that are free on the addresses of all machines.
func choosePorts(first int, rng *rand.Rand, ips []string) (ports, error) {
	if first == 0 {
		return drawPorts(rng, ips)
	}
	if !allFree(ips, first, first+allPorts) {
		return ports{}, &PortsInUseError{First: first, Last: first + allPorts - 1}
	}
	return portsFrom(first), nil
}

// drawPorts finds consecutive ports that are free on the addresses of all machines.
func drawPorts(rng *rand.Rand, ips []string) (ports, error) {
	for range portAttempts {
		first := minPort + rng.IntN(portSpan)
		if allFree(ips, first, first+allPorts) {
			return portsFrom(first), nil
		}
	}
	return ports{}, ErrNoFreePorts
}

// allFree tells whether the ports from first to before end are free on all addresses.
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
