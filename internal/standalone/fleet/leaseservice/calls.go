package leaseservice

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/quorum"
)

// call is an operator's, to whoever leads.
type call struct {
	Command string `cbor:"1,keyasint"` // status, give, add, remove
	Role    string `cbor:"2,keyasint,omitempty"`
	Name    string `cbor:"3,keyasint,omitempty"`
}

// Told is what the leader answers.
type Status struct {
	Error   string       `cbor:"1,keyasint,omitempty" json:"error,omitempty"`
	Leader  string       `cbor:"2,keyasint,omitempty" json:"leader,omitempty"`
	Term    uint64       `cbor:"3,keyasint,omitempty" json:"term,omitempty"`
	Voters  []string     `cbor:"4,keyasint,omitempty" json:"voters,omitempty"`
	Roles   []RoleStatus `cbor:"5,keyasint,omitempty" json:"duties,omitempty"`
	History []Tenure     `cbor:"6,keyasint,omitempty" json:"history,omitempty"`
}

// DutyReport is one duty.
type RoleStatus struct {
	Role       string   `cbor:"1,keyasint" json:"duty"`
	Holder     string   `cbor:"2,keyasint" json:"holder"`
	Token      uint64   `cbor:"3,keyasint" json:"token"`
	Candidates []string `cbor:"4,keyasint,omitempty" json:"line,omitempty"`
}

// HolderReport is one holder's time.
type Tenure struct {
	Role   string `cbor:"1,keyasint" json:"duty"`
	Token  uint64 `cbor:"2,keyasint" json:"token"`
	Holder string `cbor:"3,keyasint" json:"holder"`
	Boot   uint64 `cbor:"4,keyasint" json:"start"`
}

// call answers an operator, where this voter leads: the others are silent. The mutex is held.
func (s *Service) handleCall(m incoming) {
	var c call
	if s.voter == nil || len(m.data) < 8 || cbor.Unmarshal(m.data[8:], &c) != nil || !s.voter.Status().Leading {
		return
	}
	t := Status{}
	var out quorum.Output
	var err error
	switch c.Command {
	case "give":
		out = s.voter.Transfer(s.now(), c.Role, c.Name)
	case "add", "remove":
		out, err = s.voter.ChangeVoters(s.now(), c.Name, c.Command == "add")
	}
	s.deliver(out)
	if err != nil {
		t.Error = err.Error()
	}
	st, r := s.voter.Status(), s.voter.Table()
	t.Leader, t.Term, t.Voters = st.Leader, st.Term, st.Voters
	for _, name := range r.Roles() {
		e := r.Leases[name]
		t.Roles = append(t.Roles, RoleStatus{name, e.Holder.Name, e.Token, s.voter.Candidates(name)})
	}
	for _, h := range r.History {
		t.History = append(t.History, Tenure{h.Role, h.Token, h.Holder.Name, h.Holder.Boot})
	}
	if data, err := cbor.Marshal(t); err == nil {
		s.respond(m.from, topicCallResponse, m.data, data)
	}
}

func (s *Service) callLeader(c call) (*Status, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, err
	}
	answer, err := s.call(context.Background(), s.options.Voters, topicCall, data, callTimeout)
	if err != nil {
		return nil, err
	}
	t := &Status{}
	if err := cbor.Unmarshal(answer, t); err != nil {
		return nil, err
	}
	if t.Error != "" {
		return t, errors.New(t.Error)
	}
	return t, nil
}

// Status asks the leader what is agreed on.
func (s *Service) Status() (*Status, error) { return s.callLeader(call{Command: "status"}) }

// Give asks for a duty to go to a member.
func (s *Service) Transfer(name, to string) (*Status, error) {
	return s.callLeader(call{Command: "give", Role: name, Name: to})
}

// Change adds a voter or removes one.
func (s *Service) ChangeVoters(name string, add bool) (*Status, error) {
	return s.callLeader(call{Command: map[bool]string{true: "add", false: "remove"}[add], Name: name})
}

// Export is the duty of sending the use of the whole fleet to billing: the holder posts what each ingress hands over. A batch
// stays with its ingress until it was acknowledged, and is the same to the letter each time it is sent.
const RoleExport = "export"

// FencingToken is the header field by which billing refuses what an earlier holder sends.
const FencingTokenHeader = "X-Fencing-Token"

// posting is a request to billing on its way to the holder.
type exportRequest struct {
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

type exportResponse struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

const (
	maxBatchBytes    = 2 << 20 // bytes of a packed batch
	maxResponseBytes = 64 << 10
	exportTimeout    = 10 * time.Second
)

var errNoLeaseHolder = errors.New("nobody is known to hold the export of use")

// Exporting is the transport of an exporter's client: its requests go over the holder of the duty.
type ExportTransport struct{ Service *Service }

// RoundTrip hands a request to the holder, and waits for what billing said.
func (e ExportTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s := e.Service
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBatchBytes+1))
	r.Body.Close()
	if err != nil || len(body) > maxBatchBytes {
		return nil, fmt.Errorf("a batch of over %d bytes: %w", maxBatchBytes, err)
	}
	holder := s.LeaseHolder(RoleExport)
	if holder == "" {
		return nil, errNoLeaseHolder
	}
	data, err := cbor.Marshal(exportRequest{r.Header, body})
	if err != nil {
		return nil, err
	}
	answer, err := s.call(r.Context(), []string{holder}, topicExport, data, exportTimeout)
	if err != nil {
		return nil, err
	}
	var p exportResponse
	if err := cbor.Unmarshal(answer, &p); err != nil || p.Status == 0 {
		return nil, fmt.Errorf("%s, which was to send it, could not: %s", holder, p.Body)
	}
	return &http.Response{StatusCode: p.Status, Header: p.Header, Body: io.NopCloser(bytes.NewReader(p.Body)), ContentLength: int64(len(p.Body)), Request: r}, nil
}

// post sends a batch that was handed over, if this ingress holds the export. The token goes with it: whoever stands still between
// the look and the sending is refused. The mutex is held.
func (s *Service) handleExport(m incoming) {
	var p exportRequest
	if len(m.data) < 8 || cbor.Unmarshal(m.data[8:], &p) != nil {
		return
	}
	token, holds := s.leaseHolder.FencingToken(s.now(), RoleExport)
	until, endpoint := s.leaseHolder.ExpiresAt(RoleExport)-s.now(), s.billingEndpoint // its own: what others hand over goes nowhere else
	if !holds {
		go s.respondToExport(m, exportResponse{Body: []byte("it does not hold the export")})
		return
	}
	go func() {
		ctx, done := context.WithTimeout(context.Background(), time.Duration(max(until, 1)*float64(time.Second)))
		defer done()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(p.Body))
		if err != nil {
			s.respondToExport(m, exportResponse{Body: []byte(err.Error())})
			return
		}
		r.Header = p.Header
		r.Header.Set(FencingTokenHeader, strconv.FormatUint(token, 10))
		a, err := billingClient.Do(r)
		s.billingResult(err)
		if err != nil {
			s.respondToExport(m, exportResponse{Body: []byte(err.Error())})
			return
		}
		defer a.Body.Close()
		body, _ := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))
		s.respondToExport(m, exportResponse{a.StatusCode, a.Header, body})
	}()
}

// posts keeps few connections to billing.
var billingClient = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 8, IdleConnTimeout: 5 * time.Second}}

func (s *Service) respondToExport(m incoming, p exportResponse) {
	if data, err := cbor.Marshal(p); err == nil {
		s.respond(m.from, topicExportResponse, m.data, data)
	}
}

// DoExport has this ingress want the export of the fleet's use, to an endpoint.
func (s *Service) AddExport(endpoint string) {
	s.mu.Lock()
	s.billingEndpoint = endpoint
	s.mu.Unlock()
	s.AddRole(RoleExport, "", func(ctx context.Context, _ func() (uint64, bool)) error { // the work is in post, as batches come
		s.billingResult(nil)
		select {
		case <-s.unreachable: // of an earlier time
		default:
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-s.unreachable:
			return err
		}
	})
}

// unreachedMost is for how long a holder that does not reach billing keeps the export: another may reach it.
const unreachableTimeout = 4 * time.Second

// reached goes by whether billing answered, in whatever words.
func (s *Service) billingResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.unreachableSince = time.Time{}
	case s.unreachableSince.IsZero():
		s.unreachableSince = time.Now()
	case time.Since(s.unreachableSince) > unreachableTimeout:
		select {
		case s.unreachable <- fmt.Errorf("billing is not reached from here: %w", err):
		default:
		}
	}
}
