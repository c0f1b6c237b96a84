package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// Times of the case. The limits are those of sahil-gate-large.
const (
	beforeFirstCall = 8 * time.Second  // longer than catchUp, so that no machine counts as lost any more
	configReadLimit = 12 * time.Second // the operator asks for contactMs (6 s) at least
)

// wipedAfterFirstAck takes the disks of two control nodes away, as many as tolerance allows, right after one of them
// has acknowledged the first configuration. Later than recoveryS after they are back, the configuration must be read
// back.
func wipedAfterFirstAck(c *cluster) error {
	c.tolerance, c.clauses = 2, "base,drain,config,cost,retry,recover,health,pool,tenants,quota"
	if err := c.addNodes(6); err != nil {
		return err
	}
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	time.Sleep(beforeFirstCall)
	acknowledging, other := c.nodes[0], c.nodes[1]
	status, text := 0, ""
	for end := time.Now().Add(startLimit); status != http.StatusOK; time.Sleep(30 * time.Millisecond) {
		if status, text = c.call(acknowledging, http.MethodPatch, "/config", firstConfig); status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("the first configuration was not acknowledged: %d %s", status, text)
		}
	}
	c.note("acknowledged by %s: PATCH /config %s", acknowledging.name, firstConfig)
	if c.disrupted {
		if err := c.takeDisks(acknowledging, other); err != nil {
			return err
		}
	}
	c.note("all machines are back")
	time.Sleep(catchUp + recovery)
	return c.readConfig()
}

// takeDisks kills the nodes, removes what is on their disks, and starts them again.
func (c *cluster) takeDisks(nodes ...*node) error {
	delay, _ := strconv.Atoi(os.Getenv("DELAY_MS")) // 0 unless the width of the window is measured
	time.Sleep(time.Duration(delay) * time.Millisecond)
	struck := time.Now()
	killTogether(nodes...)
	for _, n := range nodes {
		if err := n.loseDisk(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := n.endFirstStart(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(struck.Add(wipedFor)))
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// killTogether kills the processes of several nodes at the same moment.
func killTogether(nodes ...*node) {
	for _, n := range nodes {
		_ = n.command.Process.Kill()
	}
	for _, n := range nodes {
		n.cluster.note("%s is killed", n.name)
		<-n.ended
		n.command = nil
	}
}

// readConfig reads the configuration back as the operator does at the end of a day.
func (c *cluster) readConfig() error {
	for _, n := range c.nodes {
		c.note("%s: voters %v", n.name, c.voters(n))
	}
	status, text := c.callUntil(configReadLimit, http.MethodGet, "/config", "", http.StatusOK)
	var read struct {
		Routes   map[string]json.RawMessage
		Services map[string]json.RawMessage
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &read) != nil ||
		read.Routes["r-one"] == nil || read.Services["one"] == nil {
		c.note("LOST: GET /config: %d %s", status, text)
		return errBroken
	}
	c.note("GET /config: %d %s", status, text)
	return nil
}
