package gossip

import (
	"cmp"
	"log"
	"math"
	mathrand "math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// startInstance brings up an instance of the protocol. Where the address is taken, by an older process of this ingress that is being
// replaced, it is tried again.
func (f *Fleet) startInstance() {
	inner, addr, err := f.newTransport()
	if err != nil {
		if f.protocolLog.firstTime("address") {
			f.log.WithFields(logrus.Fields{"code": "fleet-address-taken", "listen": f.options.Listen}).WithError(err).Warn("the fleet's address cannot be listened at; it is tried again")
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
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport, c.Keyring = f.options.Name, f.options.Fleet, i.transport, f.keyring
	c.AdvertiseAddr = host
	c.AdvertisePort, _ = strconv.Atoi(port)
	c.BindPort = c.AdvertisePort
	c.ProbeInterval, c.ProbeTimeout = f.options.Interval, f.options.Interval*2/5
	c.GossipInterval, c.GossipNodes = f.options.Interval/4, 3
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMultiplier(f.options.Interval, f.options.Expect), 2
	c.PushPullInterval, c.TCPTimeout = 15*time.Second, 3*time.Second
	c.DeadNodeReclaimTime, c.GossipToTheDeadTime = time.Second, 15*time.Second
	c.EnableCompression = false
	c.Delegate, c.Events = i, i
	c.Logger = log.New(f.protocolLog, "", 0)
	f.mu.Lock()
	f.view.SetAddr(addr)
	f.mu.Unlock()
	if i.memberlist, err = memberlist.Create(c); err != nil {
		i.transport.Shutdown()
		f.log.WithField("code", "fleet-protocol").WithError(err).Error("the fleet's protocol does not begin; it is tried again")
		return
	}
	f.protocolLog.reset("address")
	f.instance.Store(i)
	f.mu.Lock()
	f.nextJoinAt, f.joined, f.exchangesDone = time.Time{}, false, 0
	f.mu.Unlock()
	f.step(membership.ProtocolRestarted{})
	f.log.WithFields(logrus.Fields{"code": "fleet-started", "fleet": f.options.Fleet, "addr": addr, "bound": f.boundAddr(inner), "boot": f.Self().Boot}).Info("in the fleet")
}

// suspicionMultiplier is the library's multiplier for which a suspect has about suspectFor to refute. The library's own grows with
// the logarithm of the fleet: of a small one, a member that is well was given up too soon under 30% of loss.
func suspicionMultiplier(interval time.Duration, fleet int) int {
	scale := max(1, math.Log10(float64(max(1, fleet))))
	return min(10, max(4, int(math.Round(suspicionTimeout.Seconds()/(interval.Seconds()*scale)))))
}

// newTransport is the transport of an instance, and the address that others are told.
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

func (f *Fleet) boundAddr(t memberlist.NodeAwareTransport) string {
	if s, ok := t.(*sockets); ok {
		return s.boundAddr(s.localAddr.IP.String())
	}
	return ""
}

// joinMembers asks those that are written down, and those of the record, for as long as nobody is known to live.
func (f *Fleet) joinMembers() {
	i := f.instance.Load()
	if i == nil {
		return
	}
	f.mu.Lock()
	lost := !f.joined || f.view.Isolated()
	due := (lost || f.exchangesDone < stateExchanges) && time.Now().After(f.nextJoinAt)
	known := f.view.AgreedMembers()
	if due {
		f.nextJoinAt = time.Now().Add(joinInterval)
	}
	f.mu.Unlock()
	if !due {
		return
	}
	if !lost {
		// What a member that joins says is passed on as often as the fleet is large, as it is known then: where all join at
		// once some hear too little, and would wait for the protocol's next exchange.
		f.exchangesDone++
		if all := i.memberlist.Members(); len(all) > 1 {
			go i.memberlist.Join([]string{all[mathrand.IntN(len(all))].Address()})
		}
		return
	}
	self := f.Self().Addr
	var all []string
	for _, a := range f.options.Join {
		if a != self {
			all = append(all, a)
		}
	}
	for _, m := range known {
		if m.Addr != "" && m.Addr != self {
			all = append(all, m.Addr)
		}
	}
	go func() {
		if n, err := i.memberlist.Join(all); n > 0 || len(all) == 0 {
			f.mu.Lock()
			f.joined = f.joined || f.instance.Load() == i
			f.mu.Unlock()
			f.protocolLog.reset("join")
		} else if f.protocolLog.firstTime("join") {
			f.log.WithField("code", "fleet-alone").WithError(err).Warn("none of the fleet's addresses answers; they are tried again")
		}
	}()
}

// stopInstance ends the instance, without goodbye.
func (f *Fleet) stopInstance() {
	if i := f.instance.Swap(nil); i != nil {
		i.closed.Store(true)
		i.memberlist.Shutdown()
	}
}

func (f *Fleet) hasLeft() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left
}
