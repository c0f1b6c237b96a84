package control

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"mulleinrouter/internal/control/majority"
)

const replaceBytes = 4 << 10

// Members is what GET /members tells.
type Members struct {
	Epoch    uint64   `json:"epoch"`         // of the configuration here
	Since    uint64   `json:"sinceEpoch"`    // that made these the voters; 0: the first start
	Stands   float64  `json:"standsSeconds"` // for which they have been the voters, as this node has seen it
	Wanted   int      `json:"wanted"`        // voters that bear the losses that are to be borne
	Contact  bool     `json:"contact"`       // this node is in contact with more than half of them
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners"`
}

// Member is a control node as another sees it.
type Member struct {
	At     string  `json:"at"`
	Zone   string  `json:"zone,omitempty"`
	Disk   string  `json:"disk,omitempty"`        // of a voter: the disk that its votes are on
	Heard  float64 `json:"heardSecondsAgo"`       // -1: never
	Behind uint64  `json:"behind"`                // changes
	Up     bool    `json:"up"`                    // it is heard now
	Lost   bool    `json:"otherDisk,omitempty"`   // this node itself, listed with a disk that it has no more
	Self   bool    `json:"thisControl,omitempty"` // the one that answers
}

// Replacement is the body of POST /members/replace.
type Replacement struct {
	Out string `json:"out"` // control addresses
	In  string `json:"in"`
}

// member is a control node as this one sees it.
func (n *Node) member(addr string, epoch uint64) Member {
	m := Member{At: addr, Zone: n.zone(addr), Heard: -1}
	if addr == n.self {
		m.Self, m.Up, m.Heard = true, true, 0
		return m
	}
	if x := n.peer(addr); x != nil {
		s := x.client.State()
		if s.Incarnation != 0 {
			m.Heard = max(0, time.Since(s.LastHeard).Seconds())
		}
		if age := n.majority.Age(addr).Seconds(); age >= 0 && (m.Heard < 0 || age < m.Heard) { // voters are asked too
			m.Heard = age
		}
		m.Up = x.client.Connected() && m.Heard >= 0 && m.Heard <= majority.TTL.Seconds()
		m.Behind = epoch - min(epoch, s.Epoch)
	}
	return m
}

// listMembers tells who chooses, and who could.
func (n *Node) listMembers(*http.Request, []byte) reply {
	base, _ := n.replica.base()
	e := base.Electorate
	all := Members{Epoch: base.Epoch, Since: e.Since, Stands: n.electorateAge(e).Seconds(), Wanted: max(n.wantedVoters(), len(e.Voters)), Contact: n.inContact(), Learners: []Member{}, Voters: []Member{}}
	for _, v := range e.Voters {
		m := n.member(v.At, base.Epoch)
		m.Disk = strconv.FormatUint(v.Disk, 16)
		m.Lost = m.Self && v != n.replica.asVoter()
		all.Voters = append(all.Voters, m)
	}
	if _, listed := e.At(n.self); !listed {
		all.Learners = append(all.Learners, n.member(n.self, base.Epoch))
	}
	for _, l := range n.learners(e) {
		all.Learners = append(all.Learners, n.member(l.addr, base.Epoch))
	}
	b, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return errorReply(http.StatusInternalServerError, err.Error())
	}
	return reply{http.StatusOK, b}
}

// replaceMember has an operator put one control node in the place of another among the voters.
func (n *Node) replaceMember(q *http.Request, body []byte) reply {
	var r Replacement
	if err := json.Unmarshal(body, &r); err != nil || r.Out == "" || r.In == "" {
		return errorReply(http.StatusBadRequest, "out and in: two control addresses are wanted")
	}
	base, _ := n.replica.base()
	if err := n.replace(q.Context(), base, r.Out, r.In, electorateChangeTimeout, nil); err != nil {
		return errorReply(http.StatusConflict, err.Error())
	}
	return okReply
}
