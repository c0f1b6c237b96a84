package gossip

import (
	"net/netip"

	"github.com/hashicorp/memberlist"
)

// Topic identifies the handler of a payload. Its numbers are on the wire; each package that sends payloads has its own.
type Topic uint8

// Handle sets the handler of a topic's payloads. The handler must not block, because the protocol waits until it
// returns.
func (f *Fleet) Handle(t Topic, handler func(from string, data []byte)) {
	f.handlers[t].Store(&handler)
}

func (f *Fleet) dispatchPayload(m *message) {
	if handler := f.handlers[m.Topic].Load(); handler != nil {
		(*handler)(m.From, m.Data)
	}
}

// Send sends a payload to a member. A payload of up to maxDatagramPayload is sent as a datagram, which may be lost. A
// longer one is sent by a stream, which may fail. While maxStreams of these are being sent, further ones are dropped.
func (f *Fleet) Send(name string, t Topic, data []byte) {
	i := f.instance.Load()
	if i == nil {
		return
	}
	f.mu.Lock()
	addr := f.view.Addr(name)
	f.mu.Unlock()
	m := &message{Kind: payload, From: f.options.Name, Topic: t, Data: data}
	if len(data) <= maxDatagramPayload {
		i.send(name, addr, m)
		return
	}
	receiver, err := netip.ParseAddrPort(addr)
	if err != nil {
		return
	}
	select {
	case f.streams <- struct{}{}:
	default:
		return
	}
	f.spawn(func() {
		defer func() { <-f.streams }()
		node := &memberlist.Node{Name: name, Addr: receiver.Addr().AsSlice(), Port: receiver.Port()}
		i.memberlist.SendReliable(node, encode(m))
	})
}

// send sends a message as a datagram, which may be lost.
func (i *instance) send(name, addr string, m *message) {
	if to, err := udpAddr(addr); err == nil {
		i.memberlist.SendToAddress(memberlist.Address{Addr: to.String(), Name: name}, encode(m))
	}
}
