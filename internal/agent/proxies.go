package agent

import (
	"net"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
)

// maxConnections bounds the connections of observers and proxies together; further ones are closed at once. During a
// handover two proxies are connected.
const maxConnections = 8

// classObserver is the class of a subscriber that only reads the agent's state. The value is part of the wire protocol.
const classObserver = "visitor"

// Serve accepts connections until the listener is closed. A connection ends when the peer closes it or the process
// ends.
func (a *Agent) Serve(listener net.Listener) {
	slots := make(chan struct{}, maxConnections)
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				a.serveConnection(netConn)
			}()
		default:
			netConn.Close()
		}
	}
}

// serveConnection serves one connection of a proxy or an observer.
func (a *Agent) serveConnection(netConn net.Conn) {
	conn := transport.NewConn(netConn)
	defer conn.Close()
	first, err := conn.Receive()
	if err != nil || first.Hello == nil {
		return
	}
	switch first.Hello.Class {
	case classObserver:
		source := &replication.Source{
			Store:         a.store,
			Clock:         a.clock,
			Ready:         a.source.Ready,
			Members:       a.source.Members,
			RecentMembers: a.source.RecentMembers,
			Quorum:        a.source.Quorum,
		}
		_ = source.Serve(conn, first.Hello, nil) // returns when the observer disconnects
	case replication.ClassProxy:
		a.serveProxy(conn, first.Hello)
	}
}

// serveProxy sends updates to a proxy and forwards its counter calls until it disconnects.
func (a *Agent) serveProxy(conn *transport.Conn, hello *transport.Hello) {
	a.proxies.Add(1)
	level.Info(a.log).Log("msg", "proxy connected", "node", hello.Node)
	err := a.source.Serve(conn, hello, func(call *transport.Frame) *transport.Frame {
		return a.handleCounterCall(conn, call)
	})
	level.Info(a.log).Log("msg", "proxy disconnected", "node", hello.Node, "err", err)
	if a.proxies.Add(-1) == 0 {
		select {
		case a.lastProxy <- struct{}{}:
		default:
		}
	}
}
