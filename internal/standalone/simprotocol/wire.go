// Package simprotocol speaks the JSON dialect of the bench: batches of events in, batches of actions out.
// It translates and judges nothing.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/settings"
)

type batch struct {
	TS     *float64 `json:"Ts"`
	Frame  int64    `json:"frame"`
	Groups []group  `json:"groups"`
}

type group struct {
	I      int            `json:"I"`
	Events []jsontext.Raw `json:"events"`
}

type reply struct {
	Frame  int64      `json:"frame"`
	Groups []replyOut `json:"groups"`
}

type replyOut struct {
	I   int     `json:"I"`
	Out [][]any `json:"out"`
}

// Host keeps the independent gateways of one process.
type Host struct {
	gateways map[int]*decision.Gateway
	lists    map[int][]decision.Backend
}

// NewHost returns a host with no gateways.
func NewHost() *Host {
	return &Host{gateways: map[int]*decision.Gateway{}, lists: map[int][]decision.Backend{}}
}

// Serve answers batches until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	writer := bufio.NewWriterSize(out, 1<<20)
	encoder := jsontext.NewEncoder(writer)
	for n := 1; ; n++ {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 && !(len(line) == 1 && line[0] == '\n') {
			answer, err := h.Batch(line)
			if err != nil {
				return fmt.Errorf("batch %d: %w", n, err)
			}
			if err := encoder.Encode(answer); err != nil {
				return fmt.Errorf("batch %d: %w", n, err)
			}
			if err := writer.Flush(); err != nil {
				return fmt.Errorf("batch %d: %w", n, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
	}
}

// Batch handles one line and returns the reply to encode.
func (h *Host) Batch(line []byte) (any, error) {
	var b batch
	if err := jsontext.Decode(line, &b); err != nil {
		return nil, fmt.Errorf("not a batch: %w", err)
	}
	if b.TS == nil {
		return nil, errors.New("not a batch: no Ts")
	}
	r := reply{Frame: b.Frame, Groups: []replyOut{}}
	for _, g := range b.Groups {
		out := [][]any{}
		for i, raw := range g.Events {
			actions, err := h.event(*b.TS, g.I, raw)
			if err != nil {
				return nil, fmt.Errorf("instance %d event %d: %w", g.I, i, err)
			}
			for _, a := range actions {
				out = append(out, encode(a))
			}
		}
		if len(out) > 0 {
			r.Groups = append(r.Groups, replyOut{I: g.I, Out: out})
		}
	}
	return r, nil
}

// event hands one event to its gateway. Unknown names, and events for a gateway that is not
// running, are skipped.
func (h *Host) event(now float64, instance int, raw jsontext.Raw) ([]decision.Action, error) {
	var msg []jsontext.Raw
	if err := jsontext.Decode(raw, &msg); err != nil {
		return nil, fmt.Errorf("not a message: %w", err)
	}
	f := fields{msg: msg}
	name := f.text(0)
	if f.err != nil {
		return nil, fmt.Errorf("message without a name: %w", f.err)
	}
	var event decision.Event
	switch name {
	case "CONFIGURE":
		s, err := settings.Decode(f.raw(2))
		if err != nil {
			return nil, fmt.Errorf("CONFIGURE: %w", err)
		}
		h.gateways[instance] = decision.New(s, uint64(f.integer(1)))
		event = decision.Start{}
	case "STOP":
		delete(h.gateways, instance)
		return nil, nil
	case "CENSUS":
		list, err := backends(f.raw(2))
		if err != nil {
			return nil, fmt.Errorf("CENSUS: %w", err)
		}
		h.lists[int(f.integer(1))] = list
	case "DISCOVERY":
		how := f.text(1)
		if how == "unavailable" {
			return nil, nil
		}
		event = decision.Backends{Complete: how != "update", List: h.lists[int(f.integer(3))]}
	case "SUBMIT":
		options := f.integer(9)
		event = decision.Request{
			ID: uint64(f.integer(1)), Class: f.text(2), Plan: f.text(3), Customer: f.text(4),
			TimeLeft: f.number(5), Units: f.number(6), Gateways: int(f.integer(7)), ClientRetry: options&2 != 0,
		}
	case "CLIENT_GONE":
		event = decision.ClientDisconnected{ID: uint64(f.integer(1))}
	case "FIRED":
		event = decision.Timer{Token: f.text(1)}
	case "SUM":
		event = decision.CounterReply{Outcome: outcome(f.text(1)), Name: f.text(2), Total: f.number(3)}
	case "COMPLETED":
		event = decision.AttemptEnded{
			ID: uint64(f.integer(1)), Units: f.number(2), Outcome: outcome(f.text(3)), Duration: f.number(4),
			Backend: f.text(6), Answered: f.flag(7), Attempt: int(f.integer(8)),
		}
	}
	if f.err != nil {
		return nil, fmt.Errorf("%s: %w", name, f.err)
	}
	g := h.gateways[instance]
	if event == nil || g == nil {
		return nil, nil
	}
	return g.Handle(now, event), nil
}

// fields reads the values of a message by place; missing ones and nulls are zero.
type fields struct {
	msg []jsontext.Raw
	err error
}

func (f *fields) raw(i int) jsontext.Raw {
	if i >= len(f.msg) || string(f.msg[i]) == "null" {
		return nil
	}
	return f.msg[i]
}

func field[T any](f *fields, i int) (v T) {
	if raw := f.raw(i); raw != nil {
		if err := jsontext.Decode(raw, &v); err != nil && f.err == nil {
			f.err = fmt.Errorf("value %d: %w", i, err)
		}
	}
	return v
}

func (f *fields) text(i int) string    { return field[string](f, i) }
func (f *fields) number(i int) float64 { return field[float64](f, i) }
func (f *fields) integer(i int) int64  { return field[int64](f, i) }
func (f *fields) flag(i int) bool      { return field[bool](f, i) }

var outcomes = map[string]decision.Outcome{
	"done": decision.Succeeded, "err": decision.Failed, "busy": decision.Rejected, "etimedout": decision.TimedOut,
	"econnrefused": decision.ConnectionRefused, "econnreset": decision.ConnectionReset, "ecanceled": decision.Cancelled,
	"skipped": decision.NotSent,
}

// outcome gives Failed, which proves nothing, for a word it does not know.
func outcome(word string) decision.Outcome { return outcomes[word] }

func backends(raw jsontext.Raw) ([]decision.Backend, error) {
	var rows [][]jsontext.Raw
	if err := jsontext.Decode(raw, &rows); err != nil {
		return nil, err
	}
	list := make([]decision.Backend, 0, len(rows))
	for i, row := range rows {
		f := fields{msg: row}
		b := decision.Backend{
			ID: f.text(0), Zone: f.text(1), Kind: f.text(2), Serving: f.text(4) == "SERVING",
			Size: f.number(5), StartedAt: f.number(6),
		}
		if f.err != nil {
			return nil, fmt.Errorf("row %d: %w", i, f.err)
		}
		list = append(list, b)
	}
	return list, nil
}

func encode(action decision.Action) []any {
	switch a := action.(type) {
	case decision.Send:
		return []any{"TRANSMIT", a.ID, a.Backend, a.Timeout}
	case decision.Cancel:
		return []any{"ABORT_ATTEMPT", a.ID, a.Attempt}
	case decision.Reject:
		return []any{"REFUSE", a.ID, a.RetryAfter}
	case decision.Fail:
		return []any{"FINISH_ERROR", a.ID}
	case decision.SetTimer:
		return []any{"SLEEP", a.At, a.Token}
	case decision.CounterCall:
		return []any{"BUMP", a.Name, a.Add, a.Retention}
	default:
		return []any{"WRITE_LOG", fmt.Sprintf("no word for %T", action)}
	}
}
