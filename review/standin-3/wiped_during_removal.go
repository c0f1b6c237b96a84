package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	successorFor = 8 * time.Second // from the start of the successor to the SIGTERM; longer than catchUp
	graceLimit   = 6 * time.Second // graceS
	// lostAfter is the time from the SIGTERM to the loss of the disk. LOST_AFTER overrides it.
	lostAfter = 150 * time.Millisecond
)

// wipedDuringRemoval replaces one of three control nodes as planned: the new one starts first, at another address, and
// the old one gets SIGTERM when the operators count on the new one. It never returns. While it shuts down, another node
// loses its disk. Later than recoveryS after that is back, what was acknowledged must be read back.
func wipedDuringRemoval(c *cluster) error {
	if err := c.addNodes(4); err != nil {
		return err
	}
	successor := c.nodes[3]
	if err := successor.endFirstStart(); err != nil {
		return err
	}
	for _, n := range c.nodes[:3] {
		if err := n.start(); err != nil {
			return err
		}
	}
	status, text := c.callUntil(startLimit, http.MethodPatch, "/config", firstConfig, http.StatusOK)
	if status != http.StatusOK {
		return fmt.Errorf("the first configuration was not acknowledged: %d %s", status, text)
	}
	for _, n := range c.nodes[:3] {
		if err := n.endFirstStart(); err != nil {
			return err
		}
	}
	revisions, numbers, err := c.writeAll()
	if err != nil {
		return err
	}
	if err := successor.start(); err != nil {
		return err
	}
	time.Sleep(successorFor)
	if err := c.removeAndWipe(c.nodes[0], c.nodes[1]); err != nil {
		return err
	}
	time.Sleep(catchUp + recovery)
	return c.readAll(revisions, numbers)
}

// removeAndWipe ends a node for good by SIGTERM and, if there are disruptions, takes the disk of another one away in
// that time. It returns when that is back.
func (c *cluster) removeAndWipe(leaving, wiped *node) error {
	after, err := time.ParseDuration(os.Getenv("LOST_AFTER"))
	if err != nil {
		after = lostAfter
	}
	stoppedAt := time.Now()
	leaving.signal(syscall.SIGTERM)
	leaving.removed = true
	time.Sleep(time.Until(stoppedAt.Add(after)))
	wipedAt := time.Now()
	if c.disrupted {
		wiped.kill()
		if err := wiped.loseDisk(); err != nil {
			return err
		}
		c.noteShards(c.nodes[2])
	}
	select {
	case <-leaving.ended:
	case <-time.After(graceLimit):
		return fmt.Errorf("%s has not ended within graceS", leaving.name)
	}
	c.note("%s has ended", leaving.name)
	if !c.disrupted {
		return nil
	}
	time.Sleep(time.Until(wipedAt.Add(wipedFor)))
	if err := wiped.start(); err != nil {
		return err
	}
	c.note("all machines but the removed one are back")
	return nil
}
