package gossip

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// bindAttempts is the maximum number of attempts to find a free port. One attempt is not enough, because a port that is
// free for streams may be in use for datagrams.
const bindAttempts = 10

// sockets is the transport on network sockets. It dials streams from the IP address at which it listens, so that
// receivers can identify the sender.
type sockets struct {
	*memberlist.NetTransport
	localAddr net.TCPAddr

	ctx    context.Context // context of dials; Shutdown cancels it
	cancel context.CancelFunc
}

// listen binds an address for datagrams and streams. Port 0 picks a port that is free for both.
func listen(addr string, logger *log.Logger) (*sockets, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: listen at %s: %w", addr, err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("gossip: listen at %s: %w", addr, errInvalidPort)
	}
	attempts := 1
	if port == 0 {
		attempts = bindAttempts
	}
	config := &memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger}
	for range attempts {
		var inner *memberlist.NetTransport
		if inner, err = memberlist.NewNetTransport(config); err == nil {
			s := &sockets{NetTransport: inner, localAddr: net.TCPAddr{IP: net.ParseIP(host)}}
			s.ctx, s.cancel = context.WithCancel(context.Background())
			return s, nil
		}
	}
	return nil, fmt.Errorf("gossip: listen at %s: %w", addr, err)
}

// DialTimeout implements memberlist.Transport.
func (s *sockets) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (s *sockets) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !s.localAddr.IP.IsUnspecified() {
		d.LocalAddr = &s.localAddr
	}
	return d.DialContext(s.ctx, "tcp", a.Addr)
}

// Shutdown implements memberlist.Transport. It also cancels dials in progress.
func (s *sockets) Shutdown() error {
	s.cancel()
	return s.NetTransport.Shutdown()
}

// boundAddr returns host with the port at which the transport listens.
func (s *sockets) boundAddr(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.GetAutoBindPort()))
}

// udpAddr parses an address for datagrams. The host has to be an IP address, so that no name has to be looked up.
func udpAddr(addr string) (net.Addr, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: address of a member: %w", err)
	}
	return net.UDPAddrFromAddrPort(a), nil
}
