package agent

import (
	"net"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
)

// maxConnections bounds the connections of proxies, of which there are two during a handover, and of observers.
const maxConnections = 8

// classObserver is the class of a subscriber that only reads what the agent knows. The value is on the wire.
const classObserver = "visitor"

// Serve takes connections until the listener is closed. A connection ends with its other side, or with the process.
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
			Store:   a.store,
			Clock:   a.clock,
			Ready:   a.source.Ready,
			Members: a.source.Members,
			Quorum:  a.source.Quorum,
		}
		_ = source.Serve(conn, first.Hello, nil) // ends when the observer has what it wants
	case replication.ClassProxy:
		a.serveProxy(conn, first.Hello)
	}
}

// serveProxy sends a proxy updates, and forwards its counter calls, until it disconnects.
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
