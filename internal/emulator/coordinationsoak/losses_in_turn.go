package coordinationsoak

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

const (
	// catchUpTime is terms.bounds.catchUpS: how long after its start the operators count on a machine.
	catchUpTime   = 4 * time.Second
	catchUpMargin = 200 * time.Millisecond // beyond it
	changeTime    = 5 * time.Second        // time in which each change of the configuration must be acknowledged
	freezeMax     = 5 * time.Second        // longest freeze
	successorGap  = 500 * time.Millisecond // longest time from the end of a node to the start of its successor
	plannedLead   = time.Second            // longest time from the start of a successor to the SIGTERM of the node
)

// lossKind is a way in which one node is lost.
type lossKind int

const (
	replacement        lossKind = iota // it is killed and removed, and an empty node starts at another address
	orderlyReplacement                 // the same with SIGTERM
	plannedReplacement                 // the empty node starts first
	diskLoss                           // it is killed, and starts again with an empty disk
	crash                              // it is killed, and starts again
	freeze
	lossKinds
)

func (k lossKind) String() string {
	return [lossKinds]string{
		"replacement", "orderly replacement", "planned replacement", "disk loss", "crash", "freeze",
	}[k]
}

// injectLossesInTurn loses one node at a time, each as soon as the operators count on the previous one again or on its
// successor, until the fault phase ends. After each loss every node must accept a change of the configuration.
func (s *soak) injectLossesInTurn() {
	s.changeConfiguration("the start")
	for number := 1; s.running(); number++ {
		n := s.anyNode()
		kind := lossKind(s.random(int(lossKinds)))
		description := fmt.Sprintf("loss %d, %v of %s", number, kind, n.ip)
		switch kind {
		case replacement:
			s.remove(n, n.kill)
			s.sleep(time.Duration(s.random(int(successorGap))))
			s.startSuccessor()
		case orderlyReplacement:
			s.remove(n, func() { s.terminateInTime(n) })
			s.sleep(time.Duration(s.random(int(successorGap))))
			s.startSuccessor()
		case plannedReplacement:
			s.startSuccessor()
			s.sleep(time.Duration(s.random(int(plannedLead))))
			s.remove(n, func() { s.terminateInTime(n) })
		case diskLoss:
			s.crash(n, func() { s.emptyDisk(n) })
		case crash:
			s.crash(n, nil)
		case freeze:
			s.freeze(n, time.Duration(s.random(int(freezeMax))))
		}
		time.Sleep(catchUpTime + catchUpMargin)
		s.changeConfiguration(description)
	}
}

// terminateInTime ends a node with SIGTERM, and reports it if it does not end within the grace time.
func (s *soak) terminateInTime(n *node) {
	if !n.terminate() {
		s.report(n.ip + " did not end within the grace time after SIGTERM")
	}
}

// remove ends a node, and takes it out of the list of nodes.
func (s *soak) remove(n *node, end func()) {
	n.lifecycle.Lock()
	end()
	n.lifecycle.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = slices.DeleteFunc(slices.Clone(s.nodes), func(o *node) bool { return o == n })
	s.ended = append(s.ended, n)
}

// startSuccessor starts an empty node at an address that no node has had.
func (s *soak) startSuccessor() {
	s.mu.Lock()
	address := len(s.nodes) + len(s.ended) + 1
	s.mu.Unlock()
	successor := s.newNode(address)
	if err := s.prepare(successor, s.controlAddrs(), false); err != nil {
		s.report(err.Error())
		return
	}
	s.start(successor)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(slices.Clone(s.nodes), successor)
}

// controlAddrs returns the control addresses of the first three nodes.
func (s *soak) controlAddrs() (addrs []string) {
	for _, n := range s.allNodes()[:min(3, len(s.allNodes()))] {
		addrs = append(addrs, n.controlAddr())
	}
	return addrs
}

// changeConfiguration changes an item of the configuration at each node. It reports a node that does not acknowledge
// that within changeTime.
func (s *soak) changeConfiguration(after string) {
	for _, n := range s.allNodes() {
		s.configVersion++
		body := fmt.Sprintf(`{"upsert":{"services":{"s":{"healthPath":"/health","maxConns":130,"protocol":"h1",`+
			`"tlsMode":false,"generation":"%08x"}}}}`, s.configVersion)
		status, text := 0, ""
		for deadline := time.Now().Add(changeTime); status != http.StatusOK && time.Now().Before(deadline); {
			if status, text = s.sendTo(n, http.MethodPatch, "/config", body, time.Second); status != http.StatusOK {
				time.Sleep(pollInterval)
			}
		}
		if status != http.StatusOK {
			s.report(fmt.Sprintf("after %s, a change at %s: %d %s", after, n.ip, status, text))
		}
	}
}

// emptyDisk removes the data of a node that is not running. It does not start a new cluster at its next start.
func (s *soak) emptyDisk(n *node) {
	if err := os.RemoveAll(n.diskPath()); err != nil {
		s.report(err.Error())
	}
	if err := n.writeSettings(s.seeds, false); err != nil {
		s.report(err.Error())
	}
}
