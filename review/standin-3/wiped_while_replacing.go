package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Times of the case.
const (
	killedFor    = 5 * time.Second // node_kill, default of for_s
	frozenFor    = 4 * time.Second // node_freeze on core
	afterFreeze  = time.Second     // from the freeze to the loss of the disk
	readLimit    = 5 * time.Second // an answer at the end; the operators repeat a call for 3 s at least
	groups       = 24
	pollInterval = 2 * time.Millisecond
)

var errNoWindow = errors.New("no shard was seen with two voters")

// wipedWhileReplacing kills one of three voters for 5 s, so that the fourth control node takes its vote, freezes that
// node for 4 s as soon as it is a voter of the configuration, and takes another voter's disk away 1 s later. One disk
// is lost, as tolerance allows; the disk of the killed machine returns with it. Later than recoveryS after all machines
// are back, what was acknowledged must be read back. With FREEZE=0 nothing is frozen, and the disk is taken away as
// soon as a shard has two voters.
func wipedWhileReplacing(c *cluster) error {
	if err := c.addNodes(4); err != nil {
		return err
	}
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	if status, text := c.callUntil(startLimit, http.MethodPatch, "/config", firstConfig, http.StatusOK); status != 200 {
		return fmt.Errorf("the first configuration was not acknowledged: %d %s", status, text)
	}
	for _, n := range c.nodes {
		if err := n.endFirstStart(); err != nil {
			return err
		}
	}
	revisions, numbers, err := c.writeAll()
	if err != nil {
		return err
	}
	time.Sleep(catchUp)
	if c.disrupted {
		if err := c.strike(); err != nil {
			return err
		}
		c.note("all machines are back")
		time.Sleep(catchUp + recovery)
	}
	return c.readAll(revisions, numbers)
}

// writeAll puts a cell of each group and takes a number under each name.
func (c *cluster) writeAll() (revisions map[string]uint64, numbers map[string]uint64, err error) {
	revisions, numbers = map[string]uint64{}, map[string]uint64{}
	for i := range groups {
		cell, number := fmt.Sprintf("/cells/g%d.a", i), fmt.Sprintf("/numbers/n%d", i)
		var put, taken struct{ Revision, Payload uint64 }
		body := fmt.Sprintf(`{"payload":"value-%d"}`, i)
		status, text := c.callUntil(startLimit, http.MethodPut, cell, body, http.StatusOK)
		if status != http.StatusOK || json.Unmarshal([]byte(text), &put) != nil {
			return nil, nil, fmt.Errorf("%s: %d %s", cell, status, text)
		}
		status, text = c.callUntil(startLimit, http.MethodPost, number, "{}", http.StatusOK)
		if status != http.StatusOK || json.Unmarshal([]byte(text), &taken) != nil {
			return nil, nil, fmt.Errorf("%s: %d %s", number, status, text)
		}
		revisions[cell], numbers[number] = put.Revision, taken.Payload
		c.note("acknowledged: PUT %s %s revision %d; POST %s %d", cell, body, put.Revision, number, taken.Payload)
	}
	return revisions, numbers, nil
}

// strike makes the disruptions. It returns when all machines are back.
func (c *cluster) strike() error {
	killed, wiped, watched, successor := c.nodes[0], c.nodes[1], c.nodes[2], c.nodes[3]
	killedAt := time.Now()
	killed.kill()
	freeze := os.Getenv("FREEZE") != "0"
	var frozenAt time.Time
	for frozenAt.IsZero() {
		if time.Since(killedAt) > 3*catchUp {
			return errNoWindow
		}
		number, voters := c.shardWithTwoVoters(watched)
		replaced := number >= 0
		if replaced {
			c.note("shard %d has the voters %v", number, voters)
		}
		if replaced || freeze && slices.Contains(c.voters(watched), successor.control) {
			frozenAt = time.Now()
		} else {
			time.Sleep(pollInterval)
		}
	}
	if freeze {
		successor.signal(syscall.SIGSTOP)
		time.Sleep(afterFreeze)
		c.noteShards(watched)
		twoVoters := func(s shard) bool { return len(s.voters()) == 2 }
		if !slices.ContainsFunc(c.shards(watched), twoVoters) {
			successor.signal(syscall.SIGCONT)
			return errNoWindow
		}
	}
	wiped.kill()
	wipedAt := time.Now()
	if err := wiped.loseDisk(); err != nil {
		return err
	}
	c.noteShards(watched)
	time.Sleep(time.Until(killedAt.Add(killedFor)))
	if err := killed.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(wipedAt.Add(wipedFor)))
	if err := wiped.start(); err != nil {
		return err
	}
	if freeze {
		time.Sleep(time.Until(frozenAt.Add(frozenFor)))
		successor.signal(syscall.SIGCONT)
	}
	return nil
}

// shardWithTwoVoters returns a shard that has two voters according to its leaseholder, or -1.
func (c *cluster) shardWithTwoVoters(n *node) (number int, voters []string) {
	for _, s := range c.shards(n) {
		if voters := s.voters(); s.Lease && len(voters) == 2 {
			return s.Number, voters
		}
	}
	return -1, nil
}

// noteShards records the voters of the shards as a node sees them.
func (c *cluster) noteShards(n *node) {
	for _, s := range c.shards(n) {
		c.note("%s: shard %d: leaseholder %q, lease held here %t, voters %s", n.name, s.Number, s.Leaseholder, s.Lease,
			strings.Join(s.voters(), " "))
	}
}

// readAll reads all cells back and takes further numbers.
func (c *cluster) readAll(revisions, numbers map[string]uint64) error {
	for _, n := range c.nodes {
		if !n.removed {
			c.noteShards(n)
		}
	}
	status, _ := c.callUntil(readLimit, http.MethodGet, "/config", "", http.StatusOK)
	c.note("GET /config: %d", status)
	broken := 0
	for cell, revision := range revisions {
		var read struct{ Revision uint64 }
		status, text := c.callUntil(readLimit, http.MethodGet, cell, "", http.StatusOK)
		if status != http.StatusOK || json.Unmarshal([]byte(text), &read) != nil || read.Revision < revision {
			broken++
			c.note("LOST: GET %s, acknowledged at revision %d: %d %s", cell, revision, status, text)
			break // each further one would take as long
		}
		c.note("GET %s: %d %s", cell, status, text)
	}
	for number, last := range numbers {
		var taken struct{ Payload uint64 }
		status, text := c.callUntil(readLimit, http.MethodPost, number, "{}", http.StatusOK)
		if status != http.StatusOK || json.Unmarshal([]byte(text), &taken) != nil || taken.Payload <= last {
			broken++
			c.note("LOST: POST %s, last acknowledged %d: %d %s", number, last, status, text)
			break
		}
		c.note("POST %s: %d %s", number, status, text)
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}
