package node

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/hotrestart"
)

// Limits of a graceful shutdown: the load balancer in front goes on sending for up to 0.4 s after SIGTERM, and
// SIGKILL comes after 3.7 s at the soonest.
const (
	acceptAfterSignal = 500 * time.Millisecond  // the listener stays open
	drainTimeout      = 2700 * time.Millisecond // for requests in flight to be answered
	abortTimeout      = 300 * time.Millisecond  // for the answers to those that the drain timeout aborted
)

// Drain shuts the node down gracefully. It serves on while the load balancer still sends, then closes idle
// connections and waits until requests in flight have been answered, within the time that a planned restart allows.
func (n *Node) Drain() {
	n.server.Shutdown()
	n.publishDeparture()
	// A newer process may listen on the same address: new connections go there from now on, and those that are queued
	// here are accepted before the listener closes, which would reset them.
	if err := hotrestart.Steer(n.listener); err != nil {
		level.Warn(n.log).Log("msg", "cannot redirect new connections; they arrive here until the listener closes",
			"code", "process-not-steered", "error", err,
		)
	}
	time.Sleep(acceptAfterSignal)
	n.draining.Store(true)
	n.listener.Close()
	if n.fleet != nil {
		go n.fleet.Leave(false) // the first call alone does it, and the one in closeFleet waits for it
	}
	n.server.Drain(drainTimeout, abortTimeout)
	n.stop()
}

// Stop ends the node at once: requests in flight lose their answers.
func (n *Node) Stop() {
	n.listener.Close()
	n.server.Drain(0, abortTimeout)
	n.stop()
}

// stop ends what start began, in the reverse order, and waits for it.
func (n *Node) stop() {
	n.cancel()
	n.tasks.Wait()
	for _, closer := range slices.Backward(n.closers) {
		closer()
	}
	n.closers = nil
	n.acceptLoops.Wait()
}
