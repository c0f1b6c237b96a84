package gossip

import (
	"cmp"
	"log"
	"math"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/hashicorp/memberlist"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// Parameters of the SWIM protocol.
const (
	gossipNodes            = 3                       // random members to which each round of gossip goes
	suspicionTimeout       = 2400 * time.Millisecond // approximate time that a suspected member has to refute
	minSuspicionMultiplier = 4                       // lower bound of memberlist's SuspicionMult
	maxSuspicionMultiplier = 10                      // upper bound of memberlist's SuspicionMult
	maxTimeoutMultiplier   = 2                       // factor on suspicionTimeout until others confirm the suspicion
	pushPullInterval       = 15 * time.Second        // between two exchanges of the complete state
	tcpTimeout             = 3 * time.Second         // for a dial, read or write of a stream
	deadNodeReclaimTime    = time.Second             // from a member's death until its name may have another address
	gossipToTheDeadTime    = 15 * time.Second        // time for which a dead member gets gossip, so that it can refute
)

// instance is one run of the SWIM protocol. After the process was suspended, a new instance replaces it.
type instance struct {
	fleet      *Fleet
	memberlist *memberlist.Memberlist
	transport  *transport
	closed     atomic.Bool
}

// startInstance starts the protocol. It fails while an older process of this ingress still has the address, and the
// runner then retries it.
func (f *Fleet) startInstance() {
	inner, addr, err := f.newTransport()
	if err != nil {
		if f.protocolLog.recordFailure(bindFailure) {
			level.Warn(f.log).Log("msg", "cannot listen at the fleet's address; it is retried",
				"code", "fleet-address-taken", "listen", f.options.Listen, "error", err,
			)
		}
		return
	}
	i := &instance{fleet: f}
	i.transport = wrapTransport(inner, &f.meter, func() bool { return i.closed.Load() || f.paused() })
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		i.transport.Shutdown()
		return
	}
	f.mu.Lock()
	f.view.SetAddr(addr)
	f.mu.Unlock()
	if i.memberlist, err = memberlist.Create(f.protocolConfig(i, host, port)); err != nil {
		i.transport.Shutdown()
		level.Error(f.log).Log("msg", "cannot start the membership protocol; it is retried",
			"code", "fleet-protocol", "error", err,
		)
		return
	}
	f.protocolLog.clearFailure(bindFailure)
	f.instance.Store(i)
	f.mu.Lock()
	f.nextJoinAt = time.Time{}
	f.joined = false
	f.exchangesDone = 0
	f.mu.Unlock()
	f.step(membership.ProtocolRestarted{})
	level.Info(f.log).Log("msg", "membership protocol started",
		"code", "fleet-started", "fleet", f.options.Fleet, "addr", addr, "bound", f.boundAddr(inner),
		"boot", f.Self().Boot,
	)
}

// protocolConfig returns the configuration of an instance that other members reach at host and port.
func (f *Fleet) protocolConfig(i *instance, host, port string) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = f.options.Name
	c.Label = f.options.Fleet
	c.Transport = i.transport
	c.Keyring = f.keyring
	c.AdvertiseAddr = host
	c.AdvertisePort, _ = strconv.Atoi(port)
	c.BindPort = c.AdvertisePort
	c.ProbeInterval = f.options.Interval
	c.ProbeTimeout = f.options.Interval * 2 / 5 // the rest of the interval is for indirect probes
	c.GossipInterval = f.options.Interval / 4
	c.GossipNodes = gossipNodes
	c.SuspicionMult = suspicionMultiplier(f.options.Interval, f.options.Expect)
	c.SuspicionMaxTimeoutMult = maxTimeoutMultiplier
	c.PushPullInterval = pushPullInterval
	c.TCPTimeout = tcpTimeout
	c.DeadNodeReclaimTime = deadNodeReclaimTime
	c.GossipToTheDeadTime = gossipToTheDeadTime
	c.EnableCompression = false
	c.Delegate = i
	c.Events = i
	c.Logger = log.New(f.protocolLog, "", 0)
	return c
}

// suspicionMultiplier returns the value of memberlist's SuspicionMult that gives a suspected member about
// suspicionTimeout to refute. A fixed multiplier doesn't fit all fleets, because memberlist's time-out grows with the
// logarithm of the fleet's size. In a small fleet with 30% packet loss, the time-out of a fixed multiplier was so short
// that healthy members were declared dead.
func suspicionMultiplier(interval time.Duration, fleetSize int) int {
	scale := max(1, math.Log10(float64(max(1, fleetSize))))
	multiplier := int(math.Round(suspicionTimeout.Seconds() / (interval.Seconds() * scale)))
	return min(maxSuspicionMultiplier, max(minSuspicionMultiplier, multiplier))
}

// newTransport returns the transport of an instance and the address at which others reach it.
func (f *Fleet) newTransport() (memberlist.NodeAwareTransport, string, error) {
	if f.options.Network != nil {
		return f.options.Network()
	}
	s, err := listen(f.options.Listen, log.New(f.protocolLog, "", 0))
	if err != nil {
		return nil, "", err
	}
	host, _, _ := net.SplitHostPort(f.options.Listen)
	return s, cmp.Or(f.options.Advertise, s.boundAddr(host)), nil
}

// boundAddr returns the address at which a transport listens; empty if the transport doesn't use sockets.
func (f *Fleet) boundAddr(t memberlist.NodeAwareTransport) string {
	if s, ok := t.(*sockets); ok {
		return s.boundAddr(s.localAddr.IP.String())
	}
	return ""
}

// stopInstance ends the protocol without announcing that this member leaves.
func (f *Fleet) stopInstance() {
	if i := f.instance.Swap(nil); i != nil {
		i.closed.Store(true)
		i.memberlist.Shutdown()
	}
}
