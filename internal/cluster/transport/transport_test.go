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
	"mulleinrouter/internal/cluster/registry"
)

func TestFramesComeBackAsTheyWere(t *testing.T) {
	is := is.New(t)
	at := consensus.Ballot{Round: 3, Node: "a"}
	change := consensus.Proposal{Ballot: at, Epoch: 4, Items: []configuration.Item{{Key: configuration.Key{Kind: configuration.Routes, Name: "r"}, Version: 7, Body: []byte(`{}`)}}}
	frames := []*Frame{
		{Hello: &Hello{Node: "n", Class: "agent", Incarnation: 1<<64 - 1, Instances: []registry.Instance{{ID: "i", Phase: registry.Draining, ColdUntil: 2.5}}}},
		{Update: &Update{Incarnation: 2, Seq: 3, Complete: true, Clock: 1.25, Items: change.Items, Heartbeats: []Heartbeat{{ID: "i", Seq: 4}}}},
		{Call: 5, Promise: &Promise{consensus.Promise{OK: true, Promised: at, Epoch: 3, Pending: &change}}},
		{Call: 6, Accept: &Accept{change}},
		{Call: 7, Accepted: &Accepted{consensus.Accepted{Behind: true, Promised: at}}},
		{Call: 8},
	}
	var b []byte
	var err error
	for _, f := range frames {
		b, err = Append(b, f)
		is.NoErr(err)
	}
	r := bufio.NewReader(bytes.NewReader(b))
	for _, f := range frames {
		got, err := Read(r, MaxFrame)
		is.NoErr(err)
		is.Equal(got, f)
	}
	// Whatever is broken ends in an error, and takes no more memory than came.
	odds := rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		broken := bytes.Clone(b)
		for range 1 + odds.IntN(4) {
			broken[odds.IntN(len(broken))] = byte(odds.Uint32())
		}
		r := bufio.NewReader(bytes.NewReader(broken))
		for err = nil; err == nil; {
			_, err = Read(r, MaxFrame)
		}
	}
	claim := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	_, err = Read(bufio.NewReader(bytes.NewReader(claim)), MaxFrame)
	is.True(errors.Is(err, ErrFrame))
}

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
		var all sync.WaitGroup
		for i := range 50 {
			all.Go(func() {
				f, err := one.Call(time.Second, &Frame{CounterAdd: &CounterAdd{Amount: float64(i)}})
				is.NoErr(err)
				is.Equal(f.CounterTotal.Sum, float64(i))
			})
		}
		all.Wait()
		at := time.Now()
		_, err := one.Call(time.Second, &Frame{CounterAdd: &CounterAdd{Name: "silent"}})
		is.Equal(err, ErrNoReply)
		is.Equal(time.Since(at), time.Second)
		// Nobody says anything more: both sides end after Quiet, and with them whoever waits for an answer.
		at = time.Now()
		_, err = one.Call(time.Minute, &Frame{CounterAdd: &CounterAdd{Name: "silent"}})
		is.Equal(err, ErrClosed)
		is.True(time.Since(at) <= IdleTimeout)
		<-two.Done()
		is.True(one.Send(&Frame{}) != nil)
	})
}

// A peer that does not read holds a sender up for a while, and then the connection ends.
func TestPeerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := net.Pipe()
		c := NewConn(a)
		at := time.Now()
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				for c.Send(&Frame{CounterAdd: &CounterAdd{Name: string(make([]byte, 100<<10))}}) == nil {
				}
			})
		}
		all.Wait()
		is.Equal(time.Since(at), WriteTimeout)
	})
}
