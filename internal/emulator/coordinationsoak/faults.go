package coordinationsoak

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay bounds the random delay after which a killed process is started again.
	restartDelay = 300 * time.Millisecond
	// diskLossInterval is the minimum time between two disk losses, and between the start and the first one. After this
	// time, the node with the earlier loss has caught up on its new disk.
	diskLossInterval = 12 * time.Second
)

// injectProcessFaults injects one fault of a random process after the other, until the fault phase ends.
func (s *soak) injectProcessFaults() {
	for s.running() {
		n := s.anyNode()
		switch s.random(6) {
		case 0:
			s.freeze(n, []time.Duration{time.Second, 2 * time.Second, 5 * time.Second}[s.random(3)])
		case 1:
			s.crash(n, nil)
		case 2:
			s.crashAll()
		case 3:
			s.restart(n)
		case 4:
			n.signal(syscall.SIGHUP)
		case 5:
			s.loseDisk(n)
		}
		s.sleep(time.Duration(s.random(2500)) * time.Millisecond)
	}
}

// injectLinkFaults cuts random links in one direction or both, and restores them, until the fault phase ends.
func (s *soak) injectLinkFaults() {
	for s.running() {
		s.sleep(time.Duration(1000+s.random(3000)) * time.Millisecond)
		near, far := s.anyNode(), s.anyNode()
		direction := s.random(3)
		s.setLinks(near, []string{"both ", "to ", "from "}[direction]+far.ip)
		s.setLinks(far, []string{"both ", "from ", "to "}[direction]+near.ip)
		s.sleep(time.Duration(500+s.random(3500)) * time.Millisecond)
		s.setLinks(near)
		s.setLinks(far)
	}
}

// setLinks replaces the list of the cut links of a node. Without lines, all links are restored.
func (s *soak) setLinks(n *node, lines ...string) {
	path := n.linksPath()
	err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		s.report(fmt.Sprintf("%s: %v", n.ip, err))
	}
}

func (s *soak) freeze(n *node, span time.Duration) {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	n.signal(syscall.SIGSTOP)
	s.sleep(span)
	n.signal(syscall.SIGCONT)
}

// crash kills a process, calls meanwhile if it is not nil, and starts the process again after a random delay.
func (s *soak) crash(n *node, meanwhile func()) {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	n.kill()
	if meanwhile != nil {
		meanwhile()
	}
	s.sleep(time.Duration(s.random(int(restartDelay))))
	s.start(n)
}

// crashAll kills all processes, and starts them again once all have ended. It keeps each node's lifecycle lock until
// all nodes have ended. Two concurrent calls would wait for each other's locks forever, so the second call waits until
// the first has returned.
func (s *soak) crashAll() {
	s.crashingAll.Lock()
	defer s.crashingAll.Unlock()
	var ended, back sync.WaitGroup
	ended.Add(len(s.nodes))
	for _, n := range s.nodes {
		back.Go(func() {
			s.crash(n, func() {
				ended.Done()
				ended.Wait()
			})
		})
	}
	back.Wait()
}

// restart ends a process with SIGTERM and starts it again.
func (s *soak) restart(n *node) {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	if !n.terminate() {
		s.report(n.ip + " did not end within the grace time after SIGTERM")
	}
	s.start(n)
}

// loseDisk kills a process and restarts it with an empty disk, unless the previous disk loss is less than
// diskLossInterval ago.
func (s *soak) loseDisk(n *node) {
	s.mu.Lock()
	tooSoon := time.Since(s.diskLostAt) < diskLossInterval
	if !tooSoon {
		s.diskLostAt = time.Now()
	}
	s.mu.Unlock()
	if tooSoon {
		return
	}
	s.crash(n, func() { s.emptyDisk(n) })
}

func (s *soak) start(n *node) {
	if err := n.start(); err != nil {
		s.report(fmt.Sprintf("%s: %v", n.ip, err))
	}
}
