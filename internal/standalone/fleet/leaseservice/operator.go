package leaseservice

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/quorum"
)

// callTimeout is how long an operator's call waits for the response of the leader.
const callTimeout = 800 * time.Millisecond

// callCommand is the kind of an operator's call. Its values are part of the wire format.
type callCommand string

const (
	commandStatus      callCommand = "status"
	commandTransfer    callCommand = "give"
	commandAddVoter    callCommand = "add"
	commandRemoveVoter callCommand = "remove"
)

// callRequest is an operator's call to the voters' leader.
type callRequest struct {
	Command callCommand `cbor:"1,keyasint"`
	Role    string      `cbor:"2,keyasint,omitempty"`
	Name    string      `cbor:"3,keyasint,omitempty"` // name of an ingress or a voter
}

// Status is the leader's response to an operator's call, with the state that the voters agree on. The JSON names are
// those of the first version.
type Status struct {
	Error   string       `cbor:"1,keyasint,omitempty" json:"error,omitempty"`
	Leader  string       `cbor:"2,keyasint,omitempty" json:"leader,omitempty"`
	Term    uint64       `cbor:"3,keyasint,omitempty" json:"term,omitempty"`
	Voters  []string     `cbor:"4,keyasint,omitempty" json:"voters,omitempty"`
	Roles   []RoleStatus `cbor:"5,keyasint,omitempty" json:"duties,omitempty"`
	History []Tenure     `cbor:"6,keyasint,omitempty" json:"history,omitempty"`
}

// RoleStatus is the state of one role that the voters agree on, with the candidates that the leader knows.
type RoleStatus struct {
	Role       string   `cbor:"1,keyasint" json:"duty"`
	Holder     string   `cbor:"2,keyasint" json:"holder"` // empty if the role is free
	Token      uint64   `cbor:"3,keyasint" json:"token"`  // fencing token of the last grant
	Candidates []string `cbor:"4,keyasint,omitempty" json:"line,omitempty"`
}

// Tenure is one grant of a role.
type Tenure struct {
	Role   string `cbor:"1,keyasint" json:"duty"`
	Token  uint64 `cbor:"2,keyasint" json:"token"`
	Holder string `cbor:"3,keyasint" json:"holder"`
	Boot   uint64 `cbor:"4,keyasint" json:"start"` // boot number of the holder
}

// Status asks the leader for the state that the voters agree on.
func (s *Service) Status() (*Status, error) {
	return s.callLeader(callRequest{Command: commandStatus})
}

// Transfer asks the leader to transfer a role to a member.
func (s *Service) Transfer(role, to string) (*Status, error) {
	return s.callLeader(callRequest{Command: commandTransfer, Role: role, Name: to})
}

// ChangeVoters asks the leader to add a voter, or to remove one.
func (s *Service) ChangeVoters(name string, add bool) (*Status, error) {
	command := commandRemoveVoter
	if add {
		command = commandAddVoter
	}
	return s.callLeader(callRequest{Command: command, Name: name})
}

// callLeader sends a call to all voters and returns the response of the leader; other voters do not respond. err is a
// *CallError if the leader rejects the call.
func (s *Service) callLeader(r callRequest) (*Status, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	body, err := s.call(context.Background(), s.options.Voters, topicCall, data, callTimeout)
	if err != nil {
		return nil, err
	}
	status := &Status{}
	if err := cbor.Unmarshal(body, status); err != nil {
		return nil, err
	}
	if status.Error != "" {
		return status, &CallError{status.Error}
	}
	return status, nil
}

// handleCall handles an operator's call if this voter is the leader. It must be called on the goroutine of runVoter.
func (s *Service) handleCall(m message) {
	var r callRequest
	if len(m.data) < callIDLength || cbor.Unmarshal(m.data[callIDLength:], &r) != nil {
		return
	}
	if !s.voter.Status().Leading {
		return
	}
	var output quorum.Output
	var err error
	switch r.Command {
	case commandTransfer:
		output = s.voter.Transfer(s.now(), r.Role, r.Name)
	case commandAddVoter, commandRemoveVoter:
		output, err = s.voter.ChangeVoters(s.now(), r.Name, r.Command == commandAddVoter)
	}
	s.deliver(output)
	status := s.agreedStatus()
	if err != nil {
		status.Error = err.Error()
	}
	if data, err := cbor.Marshal(status); err == nil {
		s.respond(m, topicCallResponse, data)
	}
}

// agreedStatus returns the agreed state as known to this voter. It must be called on the goroutine of runVoter.
func (s *Service) agreedStatus() Status {
	voter, table := s.voter.Status(), s.voter.Table()
	status := Status{Leader: voter.Leader, Term: voter.Term, Voters: voter.Voters}
	for _, name := range table.Roles() {
		lease := table.Leases[name]
		status.Roles = append(status.Roles, RoleStatus{
			Role:       name,
			Holder:     lease.Holder.Name,
			Token:      lease.Token,
			Candidates: s.voter.Candidates(name),
		})
	}
	for _, tenure := range table.History {
		status.History = append(status.History, Tenure{
			Role:   tenure.Role,
			Token:  tenure.Token,
			Holder: tenure.Holder.Name,
			Boot:   tenure.Holder.Boot,
		})
	}
	return status
}
