package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"
)

const maxReplaceBytes = 4 << 10

// Members is the body of GET /members.
type Members struct {
	Epoch      uint64   `json:"epoch"`         // of the configuration here
	SinceEpoch uint64   `json:"sinceEpoch"`    // that made these the voters; 0: the first start
	AgeSeconds float64  `json:"standsSeconds"` // for which they have been the voters, as seen by this node
	Wanted     int      `json:"wanted"`        // voters that tolerate the configured losses
	Contact    bool     `json:"contact"`       // this node is in contact with a majority of them
	Voters     []Member `json:"voters"`
	Learners   []Member `json:"learners"`
}

// Member is a control node as another sees it.
type Member struct {
	Addr               string  `json:"at"` // control address
	Zone               string  `json:"zone,omitempty"`
	Disk               string  `json:"disk,omitempty"`  // of a voter: the disk that holds its vote, in hexadecimal
	LastContactSeconds float64 `json:"heardSecondsAgo"` // since its last update, or its answer to a ping; -1: never
	EpochsBehind       uint64  `json:"behind"`          // the node that answers
	Up                 bool    `json:"up"`              // it is connected and has answered recently
	// DiskReplaced tells that the node that answers is listed with a disk that it has lost.
	DiskReplaced bool `json:"otherDisk,omitempty"`
	Self         bool `json:"thisControl,omitempty"` // the node that answers
}

// Replacement is the body of POST /members/replace. Both are control addresses.
type Replacement struct {
	Out string `json:"out"` // a voter
	In  string `json:"in"`  // a learner
}

// getMembers returns the voters and the learners.
func (s *Server) getMembers(*http.Request, []byte) (reply, error) {
	base, _ := s.options.Replica.Base()
	e := base.Electorate
	members := Members{
		Epoch:      base.Epoch,
		SinceEpoch: e.Since,
		AgeSeconds: s.options.Electorate.Age(e).Seconds(),
		Wanted:     max(s.options.Electorate.WantedVoters(), len(e.Voters)),
		Contact:    s.options.Lease.Held(),
		Voters:     []Member{},
		Learners:   []Member{},
	}
	for _, voter := range e.Voters {
		m := s.options.Member(voter.Addr, base.Epoch)
		m.Disk = strconv.FormatUint(voter.Disk, 16)
		m.DiskReplaced = m.Self && voter != s.options.Replica.AsVoter()
		members.Voters = append(members.Voters, m)
	}
	if _, listed := e.VoterAt(s.options.Self); !listed {
		members.Learners = append(members.Learners, s.options.Member(s.options.Self, base.Epoch))
	}
	for _, learner := range s.options.Electorate.Learners(e) {
		members.Learners = append(members.Learners, s.options.Member(learner.Addr, base.Epoch))
	}
	return jsonReply(members)
}

// replaceMember replaces a voter by a learner.
func (s *Server) replaceMember(r *http.Request, body []byte) (reply, error) {
	var replacement Replacement
	err := json.Unmarshal(body, &replacement)
	if err != nil || replacement.Out == "" || replacement.In == "" {
		return reply{}, badRequest("out and in: two control addresses are wanted")
	}
	base, _ := s.options.Replica.Base()
	if err := s.options.Electorate.Replace(r.Context(), base, replacement.Out, replacement.In); err != nil {
		return reply{}, err
	}
	return okReply, nil
}
