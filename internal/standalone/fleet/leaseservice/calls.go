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
	Word string `cbor:"1,keyasint"` // status, give, add, remove
	Duty string `cbor:"2,keyasint,omitempty"`
	Name string `cbor:"3,keyasint,omitempty"`
}

// Told is what the leader answers.
type Told struct {
	Error  string         `cbor:"1,keyasint,omitempty" json:"error,omitempty"`
	Leader string         `cbor:"2,keyasint,omitempty" json:"leader,omitempty"`
	Term   uint64         `cbor:"3,keyasint,omitempty" json:"term,omitempty"`
	Voters []string       `cbor:"4,keyasint,omitempty" json:"voters,omitempty"`
	Duties []DutyReport   `cbor:"5,keyasint,omitempty" json:"duties,omitempty"`
	Past   []HolderReport `cbor:"6,keyasint,omitempty" json:"history,omitempty"`
}

// DutyReport is one duty.
type DutyReport struct {
	Duty   string   `cbor:"1,keyasint" json:"duty"`
	Holder string   `cbor:"2,keyasint" json:"holder"`
	Token  uint64   `cbor:"3,keyasint" json:"token"`
	Line   []string `cbor:"4,keyasint,omitempty" json:"line,omitempty"`
}

// HolderReport is one holder's time.
type HolderReport struct {
	Duty   string `cbor:"1,keyasint" json:"duty"`
	Token  uint64 `cbor:"2,keyasint" json:"token"`
	Holder string `cbor:"3,keyasint" json:"holder"`
	Start  uint64 `cbor:"4,keyasint" json:"start"`
}

// call answers an operator, where this voter leads: the others are silent. The mutex is held.
func (s *Steward) call(m incoming) {
	var c call
	if s.core == nil || len(m.data) < 8 || cbor.Unmarshal(m.data[8:], &c) != nil || !s.core.Status().Leads {
		return
	}
	t := Told{}
	var out quorum.Out
	var err error
	switch c.Word {
	case "give":
		out = s.core.Give(s.now(), c.Duty, c.Name)
	case "add", "remove":
		out, err = s.core.Change(s.now(), c.Name, c.Word == "add")
	}
	s.out(out)
	if err != nil {
		t.Error = err.Error()
	}
	st, r := s.core.Status(), s.core.Register()
	t.Leader, t.Term, t.Voters = st.Leader, st.Term, st.Voters
	for _, name := range r.Roles() {
		e := r.Leases[name]
		t.Duties = append(t.Duties, DutyReport{name, e.Holder.Name, e.Token, s.core.Line(name)})
	}
	for _, h := range r.History {
		t.Past = append(t.Past, HolderReport{h.Role, h.Token, h.Holder.Name, h.Holder.Boot})
	}
	if data, err := cbor.Marshal(t); err == nil {
		s.tell(m.from, topicTold, m.data, data)
	}
}

func (s *Steward) operate(c call) (*Told, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, err
	}
	answer, err := s.wait(context.Background(), s.o.Voters, topicCall, data, callMost)
	if err != nil {
		return nil, err
	}
	t := &Told{}
	if err := cbor.Unmarshal(answer, t); err != nil {
		return nil, err
	}
	if t.Error != "" {
		return t, errors.New(t.Error)
	}
	return t, nil
}

// Status asks the leader what is agreed on.
func (s *Steward) Status() (*Told, error) { return s.operate(call{Word: "status"}) }

// Give asks for a duty to go to a member.
func (s *Steward) Give(name, to string) (*Told, error) {
	return s.operate(call{Word: "give", Duty: name, Name: to})
}

// Change adds a voter or removes one.
func (s *Steward) Change(name string, add bool) (*Told, error) {
	return s.operate(call{Word: map[bool]string{true: "add", false: "remove"}[add], Name: name})
}

// Export is the duty of sending the use of the whole fleet to billing: the holder posts what each ingress hands over. A batch
// stays with its ingress until it was acknowledged, and is the same to the letter each time it is sent.
const Export = "export"

// FencingToken is the header field by which billing refuses what an earlier holder sends.
const FencingToken = "X-Fencing-Token"

// posting is a request to billing on its way to the holder.
type posting struct {
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

type posted struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

const (
	mostBatch  = 2 << 20 // bytes of a packed batch
	mostAnswer = 64 << 10
	postMost   = 10 * time.Second
)

var errNoHolder = errors.New("nobody is known to hold the export of use")

// Exporting is the transport of an exporter's client: its requests go over the holder of the duty.
type Exporting struct{ Steward *Steward }

// RoundTrip hands a request to the holder, and waits for what billing said.
func (e Exporting) RoundTrip(r *http.Request) (*http.Response, error) {
	s := e.Steward
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBatch+1))
	r.Body.Close()
	if err != nil || len(body) > mostBatch {
		return nil, fmt.Errorf("a batch of over %d bytes: %w", mostBatch, err)
	}
	holder := s.Holder(Export)
	if holder == "" {
		return nil, errNoHolder
	}
	data, err := cbor.Marshal(posting{r.Header, body})
	if err != nil {
		return nil, err
	}
	answer, err := s.wait(r.Context(), []string{holder}, topicPost, data, postMost)
	if err != nil {
		return nil, err
	}
	var p posted
	if err := cbor.Unmarshal(answer, &p); err != nil || p.Status == 0 {
		return nil, fmt.Errorf("%s, which was to send it, could not: %s", holder, p.Body)
	}
	return &http.Response{StatusCode: p.Status, Header: p.Header, Body: io.NopCloser(bytes.NewReader(p.Body)), ContentLength: int64(len(p.Body)), Request: r}, nil
}

// post sends a batch that was handed over, if this ingress holds the export. The token goes with it: whoever stands still between
// the look and the sending is refused. The mutex is held.
func (s *Steward) post(m incoming) {
	var p posting
	if len(m.data) < 8 || cbor.Unmarshal(m.data[8:], &p) != nil {
		return
	}
	token, holds := s.holder.FencingToken(s.now(), Export)
	until, endpoint := s.holder.ExpiresAt(Export)-s.now(), s.billing // its own: what others hand over goes nowhere else
	if !holds {
		go s.told(m, posted{Body: []byte("it does not hold the export")})
		return
	}
	go func() {
		ctx, done := context.WithTimeout(context.Background(), time.Duration(max(until, 1)*float64(time.Second)))
		defer done()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(p.Body))
		if err != nil {
			s.told(m, posted{Body: []byte(err.Error())})
			return
		}
		r.Header = p.Header
		r.Header.Set(FencingToken, strconv.FormatUint(token, 10))
		a, err := posts.Do(r)
		s.reached(err)
		if err != nil {
			s.told(m, posted{Body: []byte(err.Error())})
			return
		}
		defer a.Body.Close()
		body, _ := io.ReadAll(io.LimitReader(a.Body, mostAnswer))
		s.told(m, posted{a.StatusCode, a.Header, body})
	}()
}

// posts keeps few connections to billing.
var posts = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 8, IdleConnTimeout: 5 * time.Second}}

func (s *Steward) told(m incoming, p posted) {
	if data, err := cbor.Marshal(p); err == nil {
		s.tell(m.from, topicPosted, m.data, data)
	}
}

// DoExport has this ingress want the export of the fleet's use, to an endpoint.
func (s *Steward) DoExport(endpoint string) {
	s.mu.Lock()
	s.billing = endpoint
	s.mu.Unlock()
	s.Do(Export, "", func(ctx context.Context, _ func() (uint64, bool)) error { // the work is in post, as batches come
		s.reached(nil)
		select {
		case <-s.unreached: // of an earlier time
		default:
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-s.unreached:
			return err
		}
	})
}

// unreachedMost is for how long a holder that does not reach billing keeps the export: another may reach it.
const unreachedMost = 4 * time.Second

// reached goes by whether billing answered, in whatever words.
func (s *Steward) reached(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.failing = time.Time{}
	case s.failing.IsZero():
		s.failing = time.Now()
	case time.Since(s.failing) > unreachedMost:
		select {
		case s.unreached <- fmt.Errorf("billing is not reached from here: %w", err):
		default:
		}
	}
}
