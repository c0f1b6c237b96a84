package faulttest

import (
	"net"
	"sync"

	"mulleinrouter/internal/standalone/counterserver"
)

// counter is a quota counter that serves on loopback.
type counter struct {
	server   *counterserver.Server
	listener net.Listener
	serving  sync.WaitGroup
}

func startCounter() (*counter, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, wrapSetup(err)
	}
	c := &counter{server: counterserver.New(1), listener: listener}
	c.serving.Go(func() { c.server.Serve(listener) })
	return c, nil
}

func (c *counter) addr() string { return c.listener.Addr().String() }

// stop closes the listener and all connections.
func (c *counter) stop() {
	c.listener.Close()
	c.server.Close()
	c.serving.Wait()
}

// setCounter connects the members to no counter, to the first one or to a new one, or every second member to a new one.
func (e *environment) setCounter(change string) error {
	first, err := e.firstCounterAddr(change)
	if err != nil {
		return err
	}
	second := first
	if change == counterSplit {
		if second, err = e.addCounter(); err != nil {
			return err
		}
	}
	for i, n := range e.nodes {
		n.counterRelay.SetTarget([]string{first, second}[i%2])
		n.counterRelay.CloseStreams()
	}
	return nil
}

// firstCounterAddr returns the address of the first member's counter after a change; empty: the member has none.
func (e *environment) firstCounterAddr(change string) (string, error) {
	switch change {
	case counterRemoved:
		return "", nil
	case counterEmpty:
		return e.addCounter()
	default:
		return e.counter.addr(), nil
	}
}

// addCounter starts an empty counter and returns its address.
func (e *environment) addCounter() (string, error) {
	c, err := startCounter()
	if err != nil {
		return "", err
	}
	e.extraCounters = append(e.extraCounters, c)
	return c.addr(), nil
}
