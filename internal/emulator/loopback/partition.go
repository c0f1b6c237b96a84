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
	partitionTime = 8 * time.Second
	queryInterval = 120 * time.Millisecond // between two calls to a partitioned node
	changeEvery   = 4                      // of these calls, the configuration changes
)

// direction is which direction of a link is cut, seen from the machine that is named first.
type direction int

const (
	bothWays direction = iota
	outward            // what it sends
	inward             // what it is sent
)

// reverse returns the same direction seen from the other machine.
func (d direction) reverse() direction {
	return [...]direction{bothWays: bothWays, outward: inward, inward: outward}[d]
}

// line returns the line of a links file that cuts the link to a machine.
func (d direction) line(far *machine) string {
	return [...]string{bothWays: "both ", outward: "to ", inward: "from "}[d] + far.ip
}

func (m *machine) linksPath() string { return filepath.Join(m.dir, "links") }

// writeLinks writes the file of the machine's links that are cut. The cluster's mu is held, or nothing runs yet.
func (m *machine) writeLinks() error {
	return replaceFile(m.linksPath(), strings.Join(m.links, "\n")+"\n")
}

// linkEnd is one end of a link: the machine, and the line of its links file that cuts it.
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

// cutLinks cuts the links between a machine and others, and returns what restores them. A process cuts only
// connections that it opened, so both ends have the link in their files.
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

// partition cuts a core node off from others for partitionTime. After a while it must not answer as if it were
// current: it is queried throughout, as servers and operators do, and its answers are recorded. Meanwhile changes are
// sent to all nodes.
func (m *machine) partition(others []*machine, d direction) {
	cl := m.cluster
	over := m.beginFault(false)
	restore := cl.cutLinks(m, others, d)
	p := invariants.Partition{Machine: m.name, From: cl.now()}
	answers := m.queryThroughout(time.Now().Add(partitionTime))
	p.To = cl.now()
	cl.recorder.partition(p)
	restore()
	over(cl.now())
	cl.recorder.notef("%s, cut off, answered (by status; 0: no acknowledgement): %v", m.name, answers)
}

// queryThroughout queries a partitioned node until a time, and returns how often it answered with each status.
func (m *machine) queryThroughout(until time.Time) map[int]int {
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

// queryPartitioned makes one of the calls that a core node may acknowledge only in contact with a majority, each in
// turn, and returns the status; 0: there was none.
func (m *machine) queryPartitioned(n int) int {
	cl := m.cluster
	o := cl.operator
	answer := invariants.ControlAnswer{Machine: m.name, Began: cl.now()}
	switch n % 4 {
	case 0:
		answer.Call = "configuration read"
		answer.Status, _ = o.call(http.MethodGet, m, nil, callTimeout)
	case 1:
		answer.Call = "order that stands"
		i := cl.tenants[0].item()
		if latest, ok := o.latest(i.key()); ok {
			i = latest
		}
		answer.Status, _ = o.call(http.MethodPatch, m, encodePatch([]item{i}), callTimeout)
	case 2:
		answer.Call = "order that cannot be read"
		answer.Status, _ = o.call(http.MethodPatch, m, []byte("{"), callTimeout)
	case 3:
		answer.Call = "beat"
		if s := cl.serverAt(n); s != nil && s.heartbeatTo(m) {
			answer.Status = http.StatusOK
		}
	}
	answer.Done = cl.now()
	cl.recorder.controlAnswer(answer)
	return answer.Status
}
