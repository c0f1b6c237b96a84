package gossip

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// NodeMeta is what this member says of itself.
func (i *instance) NodeMeta(limit int) []byte {
	if b := *i.fleet.meta.Load(); len(b) <= limit {
		return b
	}
	return nil
}

// NotifyMsg takes a message. The protocol waits meanwhile: it is only looked at.
func (i *instance) NotifyMsg(b []byte) {
	m := &message{}
	if err := decode(b, m); err != nil || m.From == "" || len(m.From) > 64 {
		i.fleet.meter.refused.Add(1)
		return
	}
	if i.gone.Load() {
		return
	}
	if m.Kind == load {
		if take := i.fleet.takers[m.Topic].Load(); take != nil {
			(*take)(m.From, m.Data)
		}
		return
	}
	select {
	case i.fleet.words <- m:
	default:
		i.fleet.mu.Lock()
		i.fleet.lost++
		i.fleet.mu.Unlock()
	}
}

// GetBroadcasts, LocalState and MergeRemoteState: what the fleet shares does not travel with the protocol.
func (i *instance) GetBroadcasts(int, int) [][]byte   { return nil }
func (i *instance) LocalState(bool) []byte            { return nil }
func (i *instance) MergeRemoteState(_ []byte, _ bool) {}

// NotifyJoin, NotifyUpdate and NotifyLeave are called with the protocol's mutex held: what they tell is taken note of.
func (i *instance) NotifyJoin(n *memberlist.Node)   { i.tell(n, membership.Alive) }
func (i *instance) NotifyUpdate(n *memberlist.Node) { i.tell(n, membership.Alive) }
func (i *instance) NotifyLeave(n *memberlist.Node)  { i.tell(n, membership.Dead) }

func (i *instance) tell(n *memberlist.Node, s membership.State) {
	f := i.fleet
	if i.gone.Load() || n.Name == f.o.Name {
		return
	}
	t := membership.Update{State: s, Member: membership.Member{Name: n.Name, Addr: net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port)))}}
	var a about
	if err := decode(n.Meta, &a); err != nil && s == membership.Alive {
		f.meter.refused.Add(1)
		return
	}
	t.Member.Incarnation, t.Member.Zone, t.Member.Version, t.Member.Phase, t.Member.Number = claimOf(a.Claim), a.Zone, a.Version, a.Phase, a.Number
	if s == membership.Dead && a.Phase == membership.Leaving {
		t.State = membership.Left // it said so before
	}
	f.mu.Lock()
	if len(f.pending) < 4*membership.MaxMembers { // beyond, the next exchange of the whole state tells again
		f.pending = append(f.pending, t)
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// send sends a message as a datagram, which may be lost.
func (i *instance) send(name, addr string, m *message) {
	if to, err := udpAddr(addr); err == nil {
		i.list.SendToAddress(memberlist.Address{Addr: to.String(), Name: name}, encode(m))
	}
}

// Handle has messages of a topic taken. take must not wait: the protocol does meanwhile.
func (f *Fleet) Handle(t Topic, take func(from string, data []byte)) { f.takers[t].Store(&take) }

// Send sends a payload to a member: as a datagram, which may be lost, or where it is long by a stream, which may come late or not
// at all. Beyond mostStreams at once it is lost.
func (f *Fleet) Send(name string, t Topic, data []byte) {
	i := f.inst.Load()
	if i == nil {
		return
	}
	f.mu.Lock()
	addr := f.view.Addr(name)
	f.mu.Unlock()
	to, err := udpAddr(addr)
	if err != nil {
		return
	}
	m := &message{Kind: load, From: f.o.Name, Topic: t, Data: data}
	if len(data) <= mostDatagram {
		i.list.SendToAddress(memberlist.Address{Addr: to.String(), Name: name}, encode(m))
		return
	}
	select {
	case f.streams <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-f.streams }()
		a, err := netip.ParseAddrPort(addr)
		if err == nil {
			i.list.SendReliable(&memberlist.Node{Name: name, Addr: a.Addr().AsSlice(), Port: a.Port()}, encode(m))
		}
	}()
}

// answerRow tells a member whom this one hears.
func (f *Fleet) answerRow(m *message) {
	i := f.inst.Load()
	if i == nil {
		return
	}
	select {
	case f.sending <- struct{}{}:
	default:
		return // more operators ask than there need be
	}
	f.mu.Lock()
	answer := &message{Kind: row, From: f.o.Name, Ask: m.Ask, Row: f.row()}
	f.mu.Unlock()
	go func() {
		defer func() { <-f.sending }()
		for _, n := range i.list.Members() {
			if n.Name == m.From {
				i.list.SendReliable(n, encode(answer))
				return
			}
		}
	}()
}

// row is whom this member hears. The mutex is held.
func (f *Fleet) row() map[string]membership.Link {
	all := map[string]membership.Link{}
	for _, s := range f.view.Members(f.now()) {
		if s.Name != f.o.Name {
			all[s.Name] = s.Link
		}
	}
	return all
}

// Links asks all members whom they hear. Those that do not answer have no row.
func (f *Fleet) Links() map[string]map[string]membership.Link {
	f.mu.Lock()
	rows := map[string]map[string]membership.Link{f.o.Name: f.row()}
	ask := uint64(time.Since(f.base)) // of this process, no two questions have one number
	wait := make(chan *message, membership.MaxMembers)
	f.rows[ask] = wait
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.rows, ask)
		f.mu.Unlock()
	}()
	i := f.inst.Load()
	if i == nil {
		return rows
	}
	wanted := 0
	for _, n := range i.list.Members() {
		if n.Name != f.o.Name {
			wanted++
			i.send(n.Name, n.Address(), &message{Kind: rowAsk, From: f.o.Name, Ask: ask})
		}
	}
	for late := time.After(linksWait); len(rows) <= wanted; {
		select {
		case m := <-wait:
			rows[m.From] = m.Row
		case <-late:
			return rows
		}
	}
	return rows
}

// lines takes the protocol's log: refusals are counted, the rest is for debugging.
type lines struct {
	log     *logrus.Logger
	refused *atomic.Int64

	mu   sync.Mutex
	told map[string]bool
	at   time.Time
}

// refusals are what the protocol says of packets and streams that it does not take.
var refusals = []string{"Decrypt packet failed", "unacceptable label", "failed to receive", "not supported", "Failed to decode", "missing message type",
	"invalid checksum", "truncated messages", "Received invalid msgType", "double packet label", "packet too short", "label header"}

const refusedEvery = 10 * time.Second

func (l *lines) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	for _, r := range refusals {
		if !strings.Contains(text, r) {
			continue
		}
		n := l.refused.Add(1)
		l.mu.Lock()
		due := time.Since(l.at) > refusedEvery
		if due {
			l.at = time.Now()
		}
		l.mu.Unlock()
		if due {
			l.log.WithFields(logrus.Fields{"code": "fleet-refused", "count": n, "why": text}).Warn("something came that is not of this fleet; it changes nothing")
		}
		return len(b), nil
	}
	l.log.WithField("code", "fleet-protocol").Debug(text)
	return len(b), nil
}

// once tells whether a trouble is new; again forgets it.
func (l *lines) once(what string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told == nil {
		l.told = map[string]bool{}
	}
	was := l.told[what]
	l.told[what] = true
	return !was
}

func (l *lines) again(what string) {
	l.mu.Lock()
	delete(l.told, what)
	l.mu.Unlock()
}
