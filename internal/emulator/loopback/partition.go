package loopback

import (
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	partitionTime = 8 * time.Second        // duration of a partition of a core node
	queryInterval = 120 * time.Millisecond // between two calls to a partitioned node
	changeEvery   = 4                      // number of these calls for each change of the configuration
)

// direction is the direction in which a link is cut, from the perspective of one machine. A message in that direction
// waits, and is lost when its connection times out, which takes 2 s at most (transport.WriteTimeout, IdleTimeout). It
// would arrive late only if the cut were shorter. While a link is cut in any direction, no connection opens across it,
// so that messages in the other direction are lost too once the connections have closed.
type direction int

const (
	bothWays direction = iota
	outward            // messages that the machine sends are lost
	inward             // messages to the machine are lost
)

// reverse returns the same direction from the perspective of the other machine.
func (d direction) reverse() direction {
	return [...]direction{bothWays: bothWays, outward: inward, inward: outward}[d]
}

// line returns the line of a links file that cuts the link to another machine.
func (d direction) line(far *machine) string {
	return [...]string{bothWays: "both ", outward: "to ", inward: "from "}[d] + far.ip
}

func (m *machine) linksPath() string { return filepath.Join(m.dir, "links") }

// writeLinks writes the file that lists the machine's cut links. The caller must hold the cluster's mu, unless the
// cluster has not been started.
func (m *machine) writeLinks() error {
	return replaceFile(m.linksPath(), strings.Join(m.links, "\n")+"\n")
}

// linkEnd is one end of a link: a machine, and the line of its links file that cuts the link.
type linkEnd struct {
	machine *machine
	line    string
}

func (le linkEnd) cut() { le.machine.links = append(le.machine.links, le.line) }

func (le linkEnd) restore() {
	if i := slices.Index(le.machine.links, le.line); i >= 0 {
		le.machine.links = slices.Delete(le.machine.links, i, i+1)
	}
}

// cutLinks cuts the links between a machine and others, and returns a function that restores them. The files of both
// ends must list the link, because a process cuts only the connections that it opened.
func (cl *cluster) cutLinks(m *machine, others []*machine, d direction) (restore func()) {
	var ends []linkEnd
	for _, o := range others {
		ends = append(ends, linkEnd{m, d.line(o)}, linkEnd{o, d.reverse().line(m)})
	}
	machines := append([]*machine{m}, others...)
	cl.updateLinks(machines, ends, linkEnd.cut)
	return func() { cl.updateLinks(machines, ends, linkEnd.restore) }
}

func (cl *cluster) updateLinks(machines []*machine, ends []linkEnd, update func(linkEnd)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, end := range ends {
		update(end)
	}
	for _, m := range machines {
		if err := m.writeLinks(); err != nil {
			cl.recorder.notef("%s: %v", m.name, err)
		}
	}
}

// partition cuts a core node off from others for partitionTime. Some time after the cut, the node must no longer answer
// as if it were up to date. To check this, partition queries the node during the whole time, as servers and operators
// do, and records its answers. At the same time, it changes the configuration.
func (m *machine) partition(others []*machine, d direction) {
	cl := m.cluster
	endFault := m.beginFault(false)
	restore := cl.cutLinks(m, others, d)
	p := invariants.Partition{Machine: m.name, From: cl.now()}
	answers := m.queryUntil(time.Now().Add(partitionTime))
	p.To = cl.now()
	cl.recorder.partition(p)
	restore()
	endFault(cl.now())
	cl.recorder.notef("%s, while cut off, answered (count by status; 0: no acknowledgement): %v", m.name, answers)
}

// queryUntil queries a partitioned node until a time, and returns the number of answers by status.
func (m *machine) queryUntil(until time.Time) map[int]int {
	cl := m.cluster
	answers := map[int]int{}
	for n := 0; time.Now().Before(until); n++ {
		answers[m.queryPartitioned(n)]++
		if n%changeEvery == 0 {
			cl.changeRoute(cl.classes[cl.intn(len(cl.classes))])
		}
		if !cl.sleepInTraffic(queryInterval) {
			break
		}
	}
	return answers
}

// queryPartitioned makes the nth call to a partitioned node. It cycles through four kinds of calls, which a core node
// may accept or permanently reject only while it is in contact with a majority. It returns the status of the answer.
// Status 0 means that there was no answer, or that the node did not acknowledge a heartbeat.
func (m *machine) queryPartitioned(n int) int {
	cl := m.cluster
	o := cl.operator
	answer := invariants.ControlAnswer{Machine: m.name, Began: cl.now()}
	switch n % 4 {
	case 0:
		answer.Call = "configuration read"
		answer.Status, _ = o.call(http.MethodGet, m, nil, callTimeout)
	case 1:
		answer.Call = "unchanged configuration item"
		i := cl.tenants[0].item()
		if latest, ok := o.latest(i.key()); ok {
			i = latest
		}
		answer.Status, _ = o.call(http.MethodPatch, m, encodePatch([]item{i}), callTimeout)
	case 2:
		answer.Call = "malformed configuration change"
		answer.Status, _ = o.call(http.MethodPatch, m, []byte("{"), callTimeout)
	case 3:
		answer.Call = "heartbeat"
		if s := cl.serverAt(n); s != nil && s.heartbeatTo(m) {
			answer.Status = http.StatusOK
		}
	}
	answer.Done = cl.now()
	cl.recorder.controlAnswer(answer)
	return answer.Status
}
