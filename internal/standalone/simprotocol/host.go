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

// bufferSize is the size of the input and output buffers in bytes. It is large, so that a long line takes few system
// calls.
const bufferSize = 1 << 20

// batch is one line of input.
type batch struct {
	TS     *float64     `json:"Ts"` // time of all its events, in seconds
	Frame  int64        `json:"frame"`
	Groups []eventGroup `json:"groups"`
}

// eventGroup holds the events of one instance.
type eventGroup struct {
	Instance int            `json:"I"`
	Events   []jsontext.Raw `json:"events"`
}

// reply is one line of output.
type reply struct {
	Frame  int64         `json:"frame"`
	Groups []actionGroup `json:"groups"`
}

// actionGroup holds the actions of one instance.
type actionGroup struct {
	Instance int       `json:"I"`
	Actions  []message `json:"out"`
}

// message is the encoding of an action, a JSON array of its name and its values.
type message []any

// lineEncoder writes values as JSON, one per line.
type lineEncoder interface{ Encode(v any) error }

// Host holds the gateways of one process, which are independent of each other.
type Host struct {
	gateways map[int]*decision.Gateway
	lists    map[int][]decision.Backend // endpoint lists by the number in the CENSUS message
}

// NewHost returns a host without gateways.
func NewHost() *Host {
	return &Host{gateways: map[int]*decision.Gateway{}, lists: map[int][]decision.Backend{}}
}

// Serve answers batches until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	encoder := jsontext.NewEncoder(writer)
	for n := 1; ; n++ {
		line, readErr := reader.ReadBytes('\n')
		if len(line) > 0 && string(line) != "\n" {
			if err := h.answer(line, encoder, writer); err != nil {
				return fmt.Errorf("batch %d: %w", n, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("batch %d: %w", n, readErr)
		}
	}
}

// answer handles one line and writes the reply to it.
func (h *Host) answer(line []byte, encoder lineEncoder, writer *bufio.Writer) error {
	r, err := h.handleBatch(line)
	if err != nil {
		return err
	}
	if err := encoder.Encode(r); err != nil {
		return err
	}
	return writer.Flush()
}

// handleBatch handles one line and returns the reply to it.
func (h *Host) handleBatch(line []byte) (reply, error) {
	var b batch
	if err := jsontext.Decode(line, &b); err != nil {
		return reply{}, fmt.Errorf("not a batch: %w", err)
	}
	if b.TS == nil {
		return reply{}, ErrNoTime
	}
	r := reply{Frame: b.Frame, Groups: []actionGroup{}}
	for _, group := range b.Groups {
		var messages []message
		for i, raw := range group.Events {
			actions, err := h.handleMessage(*b.TS, group.Instance, raw)
			if err != nil {
				return reply{}, fmt.Errorf("instance %d event %d: %w", group.Instance, i, err)
			}
			for _, a := range actions {
				messages = append(messages, encodeAction(a))
			}
		}
		if len(messages) > 0 {
			r.Groups = append(r.Groups, actionGroup{Instance: group.Instance, Actions: messages})
		}
	}
	return r, nil
}

// handleMessage passes one message to the gateway of its instance and returns the gateway's actions. Messages with an
// unknown name and events for an instance without a gateway are skipped.
func (h *Host) handleMessage(now float64, instance int, raw jsontext.Raw) ([]decision.Action, error) {
	var values []jsontext.Raw
	if err := jsontext.Decode(raw, &values); err != nil {
		return nil, fmt.Errorf("not a message: %w", err)
	}
	f := &fields{values: values}
	name := f.text(0)
	if f.err != nil {
		return nil, fmt.Errorf("message without a name: %w", f.err)
	}
	event, err := h.decodeEvent(name, instance, f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	g := h.gateways[instance]
	if event == nil || g == nil {
		return nil, nil
	}
	return g.Handle(now, event), nil
}

// decodeEvent decodes the event of a message. It returns nil if the message is not an event for a gateway. Messages
// about instances and endpoint lists change the host.
func (h *Host) decodeEvent(name string, instance int, f *fields) (decision.Event, error) {
	switch name {
	case "CONFIGURE":
		return h.configure(instance, f)
	case "STOP":
		delete(h.gateways, instance)
		return nil, nil
	case "CENSUS":
		return nil, h.storeList(f)
	case "DISCOVERY":
		return h.decodeDiscovery(f)
	}
	decode := eventDecoders[name]
	if decode == nil {
		return nil, f.err
	}
	event := decode(f)
	return event, f.err
}

// configure replaces the gateway of an instance by a new one.
func (h *Host) configure(instance int, f *fields) (decision.Event, error) {
	s, err := settings.Decode(f.raw(2))
	if err != nil {
		return nil, err
	}
	h.gateways[instance] = decision.New(s, uint64(f.integer(1)))
	return decision.Start{}, f.err
}

// storeList stores a numbered endpoint list, to which later messages refer.
func (h *Host) storeList(f *fields) error {
	list, err := decodeBackends(f.raw(2))
	if err != nil {
		return err
	}
	h.lists[int(f.integer(1))] = list
	return f.err
}

// decodeDiscovery decodes a report of discovery. It returns no event if discovery is unavailable, so that the gateway
// keeps its endpoint list.
func (h *Host) decodeDiscovery(f *fields) (decision.Event, error) {
	state := f.text(1)
	if state == "unavailable" {
		return nil, nil
	}
	event := decision.Backends{Complete: state != "update", List: h.lists[int(f.integer(3))]}
	return event, f.err
}
