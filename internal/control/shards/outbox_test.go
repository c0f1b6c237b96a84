package shards

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/cluster/transport"
)

// Guards against a batch that is too long for a frame between control nodes: it is lost, queued again and lost again.
// So a replica without any shard never got them, and a node with many watches never got their events. Each frame must
// be short enough, and all entries must be sent once and in their order.
func TestOutboxFramesAreBounded(t *testing.T) {
	var o outbox
	o.wake = make(chan struct{}, 1)
	const states, stateBytes, answers, calls, now = Count, 8 << 20, 64, 500, 10.0
	for n := range uint32(states) {
		record := shard.Write{Key: fmt.Sprint("c", n), Value: bytes.Repeat([]byte{'v'}, stateBytes)}
		o.addMessage(shard.Message{Shard: n, Kind: shard.Install, Records: []shard.Write{record}})
	}
	for n := range uint64(calls) {
		o.addCall(now+1, transport.CoordinationCall{ID: n, Request: coordination.Request{
			Kind: coordination.PutCell, Value: strings.Repeat("v", coordination.MaxValueBytes),
		}})
	}
	events := make([]coordination.Event, 256)
	for n := range events {
		events[n] = coordination.Event{Name: "g.a", Value: strings.Repeat("v", coordination.MaxValueBytes)}
	}
	for n := range uint64(answers) {
		o.addReply(1, transport.CoordinationReply{ID: n, Result: coordination.Result{Events: events}})
	}
	var sent transport.Coordination
	for more := true; more; {
		var b batch
		b, more = o.take(now)
		if frame, err := transport.Append(nil, &transport.Frame{Coordination: &b.contents}); err != nil {
			t.Fatalf("%d messages, %d calls, %d replies: %d bytes, %v",
				len(b.contents.Messages), len(b.contents.Calls), len(b.contents.Replies), len(frame), err)
		}
		sent.Messages = append(sent.Messages, b.contents.Messages...)
		sent.Calls = append(sent.Calls, b.contents.Calls...)
		sent.Replies = append(sent.Replies, b.contents.Replies...)
	}
	if len(sent.Messages) != states || len(sent.Calls) != calls || len(sent.Replies) != answers {
		t.Fatalf("sent %d messages, %d calls, %d replies", len(sent.Messages), len(sent.Calls), len(sent.Replies))
	}
	for n := range sent.Messages {
		if sent.Messages[n].Shard != uint32(n) {
			t.Errorf("message %d is of shard %d", n, sent.Messages[n].Shard)
		}
	}
	for n := range sent.Calls {
		if sent.Calls[n].ID != uint64(n) {
			t.Errorf("call %d has number %d", n, sent.Calls[n].ID)
		}
	}
}

// Guards against a call that a suspended process sends after its caller has given up and repeated it elsewhere.
func TestOutboxDropsExpiredCalls(t *testing.T) {
	const now = 10.0
	o := outbox{wake: make(chan struct{}, 1)}
	o.addCall(now, transport.CoordinationCall{ID: 1})
	o.addCall(now+0.1, transport.CoordinationCall{ID: 2})
	b, more := o.take(now)
	if len(b.contents.Calls) != 1 || b.contents.Calls[0].ID != 2 || more {
		t.Errorf("sent %+v, more: %t, want only call 2", b.contents.Calls, more)
	}
}
