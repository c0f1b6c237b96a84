package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/registry"
)

// testFrames returns some frames, and the concatenation of their encodings.
func testFrames(t *testing.T) (frames []*Frame, encoded []byte) {
	t.Helper()
	ballot := consensus.Ballot{Round: 3, Node: "a"}
	items := []configuration.Item{{
		Key: configuration.Key{Kind: configuration.Routes, Name: "r"}, Version: 7, Body: []byte(`{}`),
	}}
	change := consensus.Proposal{Ballot: ballot, Epoch: 4, Items: items}
	instances := []registry.Instance{{ID: "i", Phase: registry.Draining, SlowStartUntil: 2.5}}
	frames = []*Frame{
		{Hello: &Hello{Node: "n", Class: "agent", Incarnation: 1<<64 - 1, Instances: instances}},
		{Update: &Update{
			Incarnation: 2, Seq: 3, Complete: true, Clock: 1.25, Items: items,
			Heartbeats: []Heartbeat{{ID: "i", Seq: 4}},
		}},
		{Call: 5, Promise: &Promise{consensus.Promise{OK: true, Promised: ballot, Epoch: 3, Pending: &change}}},
		{Call: 6, Accept: &Accept{change}},
		{Call: 7, Accepted: &Accepted{consensus.Accepted{Behind: true, Promised: ballot}}},
		{Call: 8},
	}
	for _, f := range frames {
		var err error
		if encoded, err = Append(encoded, f); err != nil {
			t.Fatal(err)
		}
	}
	return frames, encoded
}

func TestFramesRoundTrip(t *testing.T) {
	is := is.New(t)
	frames, encoded := testFrames(t)
	r := bufio.NewReader(bytes.NewReader(encoded))
	for _, f := range frames {
		got, err := Read(r, MaxFrame)
		is.NoErr(err)
		is.Equal(got, f)
	}
}

// Reading damaged frames must end in an error. It must not panic or run out of memory.
func TestBrokenFrames(t *testing.T) {
	_, encoded := testFrames(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		broken := bytes.Clone(encoded)
		for range 1 + rnd.IntN(4) {
			broken[rnd.IntN(len(broken))] = byte(rnd.Uint32())
		}
		r := bufio.NewReader(bytes.NewReader(broken))
		for err := error(nil); err == nil; {
			_, err = Read(r, MaxFrame)
		}
	}
}

func TestFrameTooLong(t *testing.T) {
	prefix := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	_, err := Read(bufio.NewReader(bytes.NewReader(prefix)), MaxFrame)
	if !errors.Is(err, ErrFrame) {
		t.Errorf("got %v, want %v", err, ErrFrame)
	}
}

// Guards against frames that are within their limit but are rejected for their number of elements: the answer to a
// watch with the shortest events, up to the length from which on more elements are allowed.
func TestManyShortEvents(t *testing.T) {
	for _, count := range []int{1 << 16, 1<<16 + 1, 90_000, 100_000, 150_000} {
		events := make([]coordination.Event, count)
		for n := range events {
			events[n] = coordination.Event{Name: "g", Value: "v", Revision: uint64(n)}
		}
		reply := CoordinationReply{ID: 1, Status: CoordinationAnswered, Result: coordination.Result{Events: events}}
		frame, err := Append(nil, &Frame{Coordination: &Coordination{Replies: []CoordinationReply{reply}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Read(bufio.NewReader(bytes.NewReader(frame)), MaxControlFrame); err != nil {
			t.Errorf("%d events, %d bytes: %v", count, len(frame), err)
		}
	}
}

// Concurrent calls must get their own replies. A call without a reply must fail after its timeout, or as soon as the
// connection has ended.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		one, two := NewConn(a), NewConn(b)
		go one.Run(nil)
		go two.Run(func(f *Frame) *Frame {
			if f.CounterAdd.Name == "silent" {
				return nil
			}
			return &Frame{CounterTotal: &CounterTotal{OK: true, Sum: f.CounterAdd.Amount}}
		})
		var calls sync.WaitGroup
		for i := range 50 {
			calls.Go(func() {
				f, err := one.Call(time.Second, &Frame{CounterAdd: &CounterAdd{Amount: float64(i)}})
				is.NoErr(err)
				is.Equal(f.CounterTotal.Sum, float64(i))
			})
		}
		calls.Wait()
		start := time.Now()
		_, err := one.Call(time.Second, &Frame{CounterAdd: &CounterAdd{Name: "silent"}})
		is.Equal(err, ErrNoReply)
		is.Equal(time.Since(start), time.Second)
		// Once neither side sends any more, both connections end after IdleTimeout, and the pending call fails.
		start = time.Now()
		_, err = one.Call(time.Minute, &Frame{CounterAdd: &CounterAdd{Name: "silent"}})
		is.Equal(err, ErrClosed)
		is.True(time.Since(start) <= IdleTimeout)
		<-two.Done()
		is.True(one.Send(&Frame{}) != nil)
	})
}

// A peer that does not read blocks the senders for WriteTimeout. Then the connection ends.
func TestPeerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := net.Pipe()
		c := NewConn(a)
		start := time.Now()
		var senders sync.WaitGroup
		for range 8 {
			senders.Go(func() {
				for c.Send(&Frame{CounterAdd: &CounterAdd{Name: string(make([]byte, 100<<10))}}) == nil {
				}
			})
		}
		senders.Wait()
		is.Equal(time.Since(start), WriteTimeout)
	})
}
