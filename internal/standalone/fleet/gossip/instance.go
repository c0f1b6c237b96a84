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
	if b := *i.fleet.metadata.Load(); len(b) <= limit {
		return b
	}
	return nil
}

// NotifyMsg takes a message. The protocol waits meanwhile: it is only looked at.
func (i *instance) NotifyMsg(b []byte) {
	m := &message{}
	if err := decode(b, m); err != nil || m.From == "" || len(m.From) > 64 {
		i.fleet.meter.rejected.Add(1)
		return
	}
	if i.closed.Load() {
		return
	}
	if m.Kind == payload {
		if take := i.fleet.handlers[m.Topic].Load(); take != nil {
			(*take)(m.From, m.Data)
		}
		return
	}
	select {
	case i.fleet.messages <- m:
	default:
		i.fleet.mu.Lock()
		i.fleet.dropped++
		i.fleet.mu.Unlock()
	}
}

// GetBroadcasts, LocalState and MergeRemoteState: what the fleet shares does not travel with the protocol.
func (i *instance) GetBroadcasts(int, int) [][]byte   { return nil }
func (i *instance) LocalState(bool) []byte            { return nil }
func (i *instance) MergeRemoteState(_ []byte, _ bool) {}

// NotifyJoin, NotifyUpdate and NotifyLeave are called with the protocol's mutex held: what they tell is taken note of.
func (i *instance) NotifyJoin(n *memberlist.Node)   { i.update(n, membership.Alive) }
func (i *instance) NotifyUpdate(n *memberlist.Node) { i.update(n, membership.Alive) }
func (i *instance) NotifyLeave(n *memberlist.Node)  { i.update(n, membership.Dead) }

func (i *instance) update(n *memberlist.Node, s membership.State) {
	f := i.fleet
	if i.closed.Load() || n.Name == f.options.Name {
		return
	}
	t := membership.Update{State: s, Member: membership.Member{Name: n.Name, Addr: net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port)))}}
	var a metadata
	if err := decode(n.Meta, &a); err != nil && s == membership.Alive {
		f.meter.rejected.Add(1)
		return
	}
	t.Member.Incarnation, t.Member.Zone, t.Member.Version, t.Member.Phase, t.Member.Number = incarnationFromPair(a.Incarnation), a.Zone, a.Version, a.Phase, a.Number
	if s == membership.Dead && a.Phase == membership.Leaving {
		t.State = membership.Left // it said so before
	}
	f.mu.Lock()
	if len(f.pendingUpdates) < 4*membership.MaxMembers { // beyond, the next exchange of the whole state tells again
		f.pendingUpdates = append(f.pendingUpdates, t)
	}
	f.mu.Unlock()
	select {
	case f.updatesReady <- struct{}{}:
	default:
	}
}

// send sends a message as a datagram, which may be lost.
func (i *instance) send(name, addr string, m *message) {
	if to, err := udpAddr(addr); err == nil {
		i.memberlist.SendToAddress(memberlist.Address{Addr: to.String(), Name: name}, encode(m))
	}
}

// Handle has messages of a topic taken. take must not wait: the protocol does meanwhile.
func (f *Fleet) Handle(t Topic, take func(from string, data []byte)) { f.handlers[t].Store(&take) }

// Send sends a payload to a member: as a datagram, which may be lost, or where it is long by a stream, which may come late or not
// at all. Beyond mostStreams at once it is lost.
func (f *Fleet) Send(name string, t Topic, data []byte) {
	i := f.instance.Load()
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
	m := &message{Kind: payload, From: f.options.Name, Topic: t, Data: data}
	if len(data) <= maxDatagramPayload {
		i.memberlist.SendToAddress(memberlist.Address{Addr: to.String(), Name: name}, encode(m))
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
			i.memberlist.SendReliable(&memberlist.Node{Name: name, Addr: a.Addr().AsSlice(), Port: a.Port()}, encode(m))
		}
	}()
}

// sendLinks tells a member whom this one hears.
func (f *Fleet) sendLinks(m *message) {
	i := f.instance.Load()
	if i == nil {
		return
	}
	select {
	case f.linksResponses <- struct{}{}:
	default:
		return // more operators ask than there need be
	}
	f.mu.Lock()
	answer := &message{Kind: linksResponse, From: f.options.Name, QueryID: m.QueryID, Links: f.links()}
	f.mu.Unlock()
	go func() {
		defer func() { <-f.linksResponses }()
		for _, n := range i.memberlist.Members() {
			if n.Name == m.From {
				i.memberlist.SendReliable(n, encode(answer))
				return
			}
		}
	}()
}

// links is whom this member hears. The mutex is held.
func (f *Fleet) links() map[string]membership.Link {
	all := map[string]membership.Link{}
	for _, s := range f.view.Members(f.now()) {
		if s.Name != f.options.Name {
			all[s.Name] = s.Link
		}
	}
	return all
}

// Links asks all members whom they hear. Those that do not answer have no row.
func (f *Fleet) Links() map[string]map[string]membership.Link {
	f.mu.Lock()
	rows := map[string]map[string]membership.Link{f.options.Name: f.links()}
	ask := uint64(time.Since(f.startedAt)) // of this process, no two questions have one number
	wait := make(chan *message, membership.MaxMembers)
	f.linksQueries[ask] = wait
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.linksQueries, ask)
		f.mu.Unlock()
	}()
	i := f.instance.Load()
	if i == nil {
		return rows
	}
	wanted := 0
	for _, n := range i.memberlist.Members() {
		if n.Name != f.options.Name {
			wanted++
			i.send(n.Name, n.Address(), &message{Kind: linksRequest, From: f.options.Name, QueryID: ask})
		}
	}
	for late := time.After(linksTimeout); len(rows) <= wanted; {
		select {
		case m := <-wait:
			rows[m.From] = m.Links
		case <-late:
			return rows
		}
	}
	return rows
}

// protocolLog takes the protocol's log: refusals are counted, the rest is for debugging.
type protocolLog struct {
	log     *logrus.Logger
	refused *atomic.Int64

	mu         sync.Mutex
	reported   map[string]bool
	lastReport time.Time
}

// rejectionTexts are what the protocol says of packets and streams that it does not take.
var rejectionTexts = []string{"Decrypt packet failed", "unacceptable label", "failed to receive", "not supported", "Failed to decode", "missing message type",
	"invalid checksum", "truncated messages", "Received invalid msgType", "double packet label", "packet too short", "label header"}

const rejectionLogInterval = 10 * time.Second

func (l *protocolLog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	for _, r := range rejectionTexts {
		if !strings.Contains(text, r) {
			continue
		}
		n := l.refused.Add(1)
		l.mu.Lock()
		due := time.Since(l.lastReport) > rejectionLogInterval
		if due {
			l.lastReport = time.Now()
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

// firstTime tells whether a trouble is new; again forgets it.
func (l *protocolLog) firstTime(what string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reported == nil {
		l.reported = map[string]bool{}
	}
	was := l.reported[what]
	l.reported[what] = true
	return !was
}

func (l *protocolLog) reset(what string) {
	l.mu.Lock()
	delete(l.reported, what)
	l.mu.Unlock()
}
