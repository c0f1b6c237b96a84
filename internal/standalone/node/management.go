package node

import (
	"fmt"
	"net"

	"mulleinrouter/internal/standalone/mgmt"
)

// endOfAnswer is the last line of an answer of several lines.
const endOfAnswer = "--"

// startManagement serves the management address.
func (n *Node) startManagement() error {
	listener, err := net.Listen("tcp4", n.config.Mgmt)
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	n.management = listener
	server := &mgmt.Server{Handler: n.handleCall, Log: n.log}
	n.acceptLoops.Go(func() { server.Serve(listener) })
	n.closers = append(n.closers, func() { listener.Close() })
	return nil
}

// handleCall answers one call at the management address.
func (n *Node) handleCall(word, arguments string) (bool, []string) {
	defer n.publishPhase()
	switch word {
	case "PING":
		return n.server.Phase().Alive(), nil
	case "LAMEDUCK":
		ok := n.server.LameDuck()
		if ok && n.leases != nil {
			n.leases.Resign()
		}
		return ok, nil
	case "REJOIN":
		ok := n.server.Rejoin()
		if ok && n.leases != nil {
			n.leases.Rejoin()
		}
		return ok, nil
	case "INFO":
		return true, append(n.Stats(), endOfAnswer)
	}
	if n.fleet != nil {
		return n.handleFleetCall(word, arguments)
	}
	return false, nil
}

// Stats returns the statistics of INFO in the statsd line format: counts since the process started (|c) and gauges
// (|g). Responses and attempts are counted in the ingress server, the endpoint list and ejections in the decision
// module, and configuration files read at SIGHUP here.
func (n *Node) Stats() []string {
	classes, active := n.server.Stats()
	listed, ejected := n.engine.PoolSize()
	lines := make([]string, 0, 4*len(classes)+6)
	var attempts int64
	for _, c := range classes {
		prefix := "ingress.responses." + c.Class
		lines = append(lines,
			mgmt.Count(prefix+".ok", c.OK),
			mgmt.Count(prefix+".shed", c.Rejected),
			mgmt.Count(prefix+".errors", c.Errors),
			mgmt.Count(prefix+".tries", c.Attempts))
		attempts += c.Attempts
	}
	if n.fleet != nil {
		lines = append(lines, n.fleetStats()...)
	}
	return append(lines,
		mgmt.Count("ingress.tries", attempts),
		mgmt.Gauge("ingress.active", active),
		mgmt.Gauge("ingress.pool_size", int64(listed)),
		mgmt.Gauge("ingress.pool_ejected", int64(ejected)),
		mgmt.Count("ingress.config_applied", n.reloadsApplied.Load()),
		mgmt.Count("ingress.config_rejected", n.reloadsRejected.Load()))
}

// MgmtAddr returns the management address, or an empty string if there is none.
func (n *Node) MgmtAddr() string {
	if n.management == nil {
		return ""
	}
	return n.management.Addr().String()
}
