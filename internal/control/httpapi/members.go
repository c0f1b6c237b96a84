package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"mulleinrouter/internal/control/operatorapi"
)

// maxReplaceBytes limits the body of a replacement, which contains two addresses.
const maxReplaceBytes = 4 << 10

// getMembers returns the voters and the learners.
func (s *Server) getMembers(*http.Request, []byte) (reply, error) {
	base, _ := s.options.Replica.Base()
	e := base.Electorate
	members := operatorapi.Members{
		Epoch:      base.Epoch,
		SinceEpoch: e.Since,
		AgeSeconds: s.options.Electorate.Age(e).Seconds(),
		Wanted:     max(s.options.Electorate.WantedVoters(), len(e.Voters)),
		Contact:    s.options.Lease.Held(),
		Voters:     []operatorapi.Member{},
		Learners:   []operatorapi.Member{},
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
	var replacement operatorapi.Replacement
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
