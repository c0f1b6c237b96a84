package simprotocol

import (
	"fmt"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/jsontext"
)

// retryOption is the mask of the bit in a request's options that marks it as a client's retry.
const retryOption = 2

// eventDecoders maps message names to the decoders of events that concern only one gateway.
var eventDecoders = map[string]func(f *fields) decision.Event{
	"SUBMIT":      decodeRequest,
	"CLIENT_GONE": decodeDisconnect,
	"FIRED":       decodeTimer,
	"SUM":         decodeCounterReply,
	"COMPLETED":   decodeAttemptEnded,
}

func decodeRequest(f *fields) decision.Event {
	options := f.integer(9)
	return decision.Request{
		ID:          uint64(f.integer(1)),
		Class:       f.text(2),
		Plan:        f.text(3),
		Customer:    f.text(4),
		TimeLeft:    f.number(5),
		Units:       f.number(6),
		Gateways:    int(f.integer(7)),
		ClientRetry: options&retryOption != 0,
	}
}

func decodeDisconnect(f *fields) decision.Event {
	return decision.ClientDisconnected{ID: uint64(f.integer(1))}
}

func decodeTimer(f *fields) decision.Event {
	return decision.Timer{Token: f.text(1)}
}

func decodeCounterReply(f *fields) decision.Event {
	return decision.CounterReply{
		Outcome: outcomes[f.text(1)],
		Name:    f.text(2),
		Total:   f.number(3),
	}
}

func decodeAttemptEnded(f *fields) decision.Event {
	return decision.AttemptEnded{
		ID:       uint64(f.integer(1)),
		Units:    f.number(2),
		Outcome:  outcomes[f.text(3)],
		Duration: f.number(4),
		Backend:  f.text(6),
		Answered: f.flag(7),
		Attempt:  int(f.integer(8)),
	}
}

// outcomes maps the words of the protocol to outcomes. An unknown word is read as Failed, the zero value, which does
// not prove whether a call or an attempt was executed.
var outcomes = map[string]decision.Outcome{
	"done":         decision.Succeeded,
	"err":          decision.Failed,
	"busy":         decision.Rejected,
	"etimedout":    decision.TimedOut,
	"econnrefused": decision.ConnectionRefused,
	"econnreset":   decision.ConnectionReset,
	"ecanceled":    decision.Cancelled,
	"skipped":      decision.NotSent,
}

// decodeBackends decodes an endpoint list.
func decodeBackends(raw jsontext.Raw) ([]decision.Backend, error) {
	var rows [][]jsontext.Raw
	if err := jsontext.Decode(raw, &rows); err != nil {
		return nil, err
	}
	list := make([]decision.Backend, 0, len(rows))
	for i, row := range rows {
		f := fields{values: row}
		b := decision.Backend{
			ID:        f.text(0),
			Zone:      f.text(1),
			Kind:      f.text(2),
			Serving:   f.text(4) == "SERVING",
			Size:      f.number(5),
			StartedAt: f.number(6),
		}
		if f.err != nil {
			return nil, fmt.Errorf("row %d: %w", i, f.err)
		}
		list = append(list, b)
	}
	return list, nil
}

// fields reads the values of a message by their index. Missing values and nulls are read as zero. The error of the
// first value with a wrong type is kept in err.
type fields struct {
	values []jsontext.Raw
	err    error
}

func (f *fields) raw(i int) jsontext.Raw {
	if i >= len(f.values) || string(f.values[i]) == "null" {
		return nil
	}
	return f.values[i]
}

func decodeField[T any](f *fields, i int) (v T) {
	raw := f.raw(i)
	if raw == nil {
		return v
	}
	if err := jsontext.Decode(raw, &v); err != nil && f.err == nil {
		f.err = fmt.Errorf("value %d: %w", i, err)
	}
	return v
}

func (f *fields) text(i int) string    { return decodeField[string](f, i) }
func (f *fields) number(i int) float64 { return decodeField[float64](f, i) }
func (f *fields) integer(i int) int64  { return decodeField[int64](f, i) }
func (f *fields) flag(i int) bool      { return decodeField[bool](f, i) }
