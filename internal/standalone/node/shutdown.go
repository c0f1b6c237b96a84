package node

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/hotrestart"
)

// Time limits of a graceful shutdown. The load balancer in front of the ingress sends new connections for up to 0.4 s
// after SIGTERM, and SIGKILL follows 3.7 s after SIGTERM at the earliest, so the limits must add up to less.
const (
	acceptAfterSignal = 500 * time.Millisecond  // from the signal to the closing of the listener
	drainTimeout      = 2700 * time.Millisecond // for requests in flight to be answered
	abortTimeout      = 300 * time.Millisecond  // for the answers to requests that were aborted after drainTimeout
)

// Drain shuts the node down gracefully. It keeps serving while the load balancer still sends connections. Then it
// closes idle connections and waits until requests in flight have been answered, within the time limits above.
func (n *Node) Drain() {
	n.server.Shutdown()
	n.publishDeparture()
	// If a newer process listens on the same address, new connections go there from now on. Connections that are
	// already queued here are accepted before the listener closes, because closing it would reset them.
	if err := hotrestart.Steer(n.listener); err != nil {
		level.Warn(n.log).Log("msg", "cannot redirect new connections; they arrive here until the listener closes",
			"code", "process-not-steered", "error", err,
		)
	}
	time.Sleep(acceptAfterSignal)
	n.draining.Store(true)
	n.listener.Close()
	if n.fleet != nil {
		go n.fleet.Leave(false) // only the first call has an effect; the one in closeFleet waits for it
	}
	n.server.Drain(drainTimeout, abortTimeout)
	n.stop()
}

// Stop ends the node without waiting for requests in flight. Their attempts are cancelled, and they get an answer if it
// can be sent within abortTimeout.
func (n *Node) Stop() {
	n.listener.Close()
	n.server.Drain(0, abortTimeout)
	n.stop()
}

// stop ends the tasks and waits for them. It then closes the opened resources in the reverse order of their opening.
func (n *Node) stop() {
	n.cancel()
	n.tasks.Wait()
	for _, closer := range slices.Backward(n.closers) {
		closer()
	}
	n.closers = nil
	n.acceptLoops.Wait()
}
