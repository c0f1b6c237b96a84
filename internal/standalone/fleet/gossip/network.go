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

// begin brings up an instance of the protocol. Where the address is taken, by an older process of this ingress that is being
// replaced, it is tried again.
func (f *Fleet) begin() {
	inner, addr, err := f.network()
	if err != nil {
		if f.lines.once("address") {
			f.log.WithFields(logrus.Fields{"code": "fleet-address-taken", "listen": f.o.Listen}).WithError(err).Warn("the fleet's address cannot be listened at; it is tried again")
		}
		return
	}
	i := &instance{fleet: f}
	i.transport = wrap(inner, &f.meter, func() bool { return i.gone.Load() || f.still() })
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		i.transport.Shutdown()
		return
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport, c.Keyring = f.o.Name, f.o.Fleet, i.transport, f.ring
	c.AdvertiseAddr = host
	c.AdvertisePort, _ = strconv.Atoi(port)
	c.BindPort = c.AdvertisePort
	c.ProbeInterval, c.ProbeTimeout = f.o.Interval, f.o.Interval*2/5
	c.GossipInterval, c.GossipNodes = f.o.Interval/4, 3
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicion(f.o.Interval, f.o.Expect), 2
	c.PushPullInterval, c.TCPTimeout = 15*time.Second, 3*time.Second
	c.DeadNodeReclaimTime, c.GossipToTheDeadTime = time.Second, 15*time.Second
	c.EnableCompression = false
	c.Delegate, c.Events = i, i
	c.Logger = log.New(f.lines, "", 0)
	f.mu.Lock()
	f.view.SetAddr(addr)
	f.mu.Unlock()
	if i.list, err = memberlist.Create(c); err != nil {
		i.transport.Shutdown()
		f.log.WithField("code", "fleet-protocol").WithError(err).Error("the fleet's protocol does not begin; it is tried again")
		return
	}
	f.lines.again("address")
	f.inst.Store(i)
	f.mu.Lock()
	f.joinAt, f.joined, f.exchanges = time.Time{}, false, 0
	f.mu.Unlock()
	f.step(membership.ProtocolRestarted{})
	f.log.WithFields(logrus.Fields{"code": "fleet-started", "fleet": f.o.Fleet, "addr": addr, "bound": f.bound(inner), "boot": f.Self().Boot}).Info("in the fleet")
}

// suspicion is the library's multiplier for which a suspect has about suspectFor to refute. The library's own grows with
// the logarithm of the fleet: of a small one, a member that is well was given up too soon under 30% of loss.
func suspicion(interval time.Duration, fleet int) int {
	scale := max(1, math.Log10(float64(max(1, fleet))))
	return min(10, max(4, int(math.Round(suspectFor.Seconds()/(interval.Seconds()*scale)))))
}

// network is the transport of an instance, and the address that others are told.
func (f *Fleet) network() (memberlist.NodeAwareTransport, string, error) {
	if f.o.Network != nil {
		return f.o.Network()
	}
	s, err := listen(f.o.Listen, log.New(f.lines, "", 0))
	if err != nil {
		return nil, "", err
	}
	host, _, _ := net.SplitHostPort(f.o.Listen)
	return s, cmp.Or(f.o.Advertise, s.bound(host)), nil
}

func (f *Fleet) bound(t memberlist.NodeAwareTransport) string {
	if s, ok := t.(*sockets); ok {
		return s.bound(s.from.IP.String())
	}
	return ""
}

// join asks those that are written down, and those of the record, for as long as nobody is known to live.
func (f *Fleet) join() {
	i := f.inst.Load()
	if i == nil {
		return
	}
	f.mu.Lock()
	lost := !f.joined || f.view.Isolated()
	due := (lost || f.exchanges < exchanges) && time.Now().After(f.joinAt)
	known := f.view.AgreedMembers()
	if due {
		f.joinAt = time.Now().Add(joinEvery)
	}
	f.mu.Unlock()
	if !due {
		return
	}
	if !lost {
		// What a member that joins says is passed on as often as the fleet is large, as it is known then: where all join at
		// once some hear too little, and would wait for the protocol's next exchange.
		f.exchanges++
		if all := i.list.Members(); len(all) > 1 {
			go i.list.Join([]string{all[mathrand.IntN(len(all))].Address()})
		}
		return
	}
	self := f.Self().Addr
	var all []string
	for _, a := range f.o.Join {
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
		if n, err := i.list.Join(all); n > 0 || len(all) == 0 {
			f.mu.Lock()
			f.joined = f.joined || f.inst.Load() == i
			f.mu.Unlock()
			f.lines.again("join")
		} else if f.lines.once("join") {
			f.log.WithField("code", "fleet-alone").WithError(err).Warn("none of the fleet's addresses answers; they are tried again")
		}
	}()
}

// stop ends the instance, without goodbye.
func (f *Fleet) stop() {
	if i := f.inst.Swap(nil); i != nil {
		i.gone.Store(true)
		i.list.Shutdown()
	}
}

func (f *Fleet) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}
