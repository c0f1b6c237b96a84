package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/retry"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/ingresslease"
	"mulleinrouter/internal/control/shards"
	"mulleinrouter/internal/mutants"
)

// acceptRetryInterval is the pause after a failed accept. It prevents a busy loop when the process is out of file
// descriptors.
const acceptRetryInterval = 20 * time.Millisecond

// serveInternal serves the connections of agents and control nodes until the listener is closed.
func (n *Node) serveInternal(ctx context.Context, l net.Listener, wg *sync.WaitGroup) {
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			retry.Sleep(ctx, acceptRetryInterval)
			continue
		}
		if !n.connections.AcquireInternal() {
			nc.Close()
			continue
		}
		go func() {
			defer n.connections.ReleaseInternal()
			n.serveConn(ctx, nc, wg)
		}()
	}
}

// serveConn serves one subscriber until its connection or the context ends.
func (n *Node) serveConn(ctx context.Context, nc net.Conn, wg *sync.WaitGroup) {
	conn := transport.NewConn(nc)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	f, err := conn.Receive()
	if err != nil || f.Hello == nil {
		return
	}
	hello := f.Hello
	switch hello.Class {
	case replication.ClassControl:
		conn.SetMaxFrame(transport.MaxControlFrame)
		n.subscribeBack(ctx, wg, hello)
		peer := shards.Process{Addr: hello.ControlAddr, Incarnation: hello.Incarnation}
		handle := func(request *transport.Frame) *transport.Frame { return n.handlePeer(request, peer) }
		_ = n.source.Serve(conn, hello, handle)
	case replication.ClassAgent, replication.ClassProxy:
		_ = n.source.Serve(conn, hello, n.counters.handle)
	}
}

// subscribeBack subscribes to a control node that has subscribed to this one. It does so for learners too, because they
// receive calls of servers and so have updates for this node.
func (n *Node) subscribeBack(ctx context.Context, wg *sync.WaitGroup, hello *transport.Hello) {
	n.peers.Subscribe(ctx, wg, []string{hello.ControlAddr})
	p := n.peers.Find(hello.ControlAddr)
	if p == nil {
		return
	}
	if len(hello.Zone) <= ingresslease.MaxNameLength {
		p.SetZone(hello.Zone)
	}
	p.RetryNow() // the peer is running now; a dial that began before it was might run into its time-out
}

// handlePeer handles a call of a process of another control node. It returns the answer, or nil if the call gets none.
// An empty frame is an answer without a result.
func (n *Node) handlePeer(request *transport.Frame, from shards.Process) *transport.Frame {
	answer := &transport.Frame{}
	switch {
	case request.CounterAdd != nil:
		return n.counters.handle(request)
	case request.Coordination != nil:
		if n.shards != nil {
			n.shards.Receive(from, request.Coordination)
		}
		return nil
	case request.Ping != nil:
		answer.Pong = n.pong(request.Ping.About)
	case request.Call == 0:
		return nil // all calls below may block, and are only valid with a call number
	case request.Prepare != nil:
		if promise := n.replica.Prepare(request.Prepare); promise != nil {
			answer.Promise = &transport.Promise{Promise: *promise}
		}
	case request.Accept != nil:
		proposal := request.Accept.Proposal
		fetch := func() { n.fetcher.Fetch(from.Addr, proposal.Epoch-1) }
		if accepted := n.replica.Accept(proposal, fetch); accepted != nil {
			answer.Accepted = &transport.Accepted{Accepted: *accepted}
		}
	case request.Chosen != nil:
		if p := request.Chosen.Proposal; !n.replica.Learn(p.Ballot, p.Epoch) {
			n.fetcher.Fetch(from.Addr, p.Epoch)
		}
	case request.CatchUpRequest != nil:
		answer.CatchUpChunk = n.replica.Chunk(request.CatchUpRequest, n.instances.PersistedAfter)
	case request.PersistRequest != nil:
		ok := n.departures.Persist(request.PersistRequest.Instances)
		answer.PersistReply = &transport.PersistReply{OK: ok}
	default:
		return nil
	}
	return answer
}

// pong reports whether this node shuts down and, if another node is named, when that node last answered this one. It
// returns nil if there is nothing to report.
func (n *Node) pong(about string) *transport.Pong {
	leaving := n.leaving.Load() && !mutants.On("control/leaves-unannounced")
	if about == "" && !leaving {
		return nil
	}
	pong := &transport.Pong{Leaving: leaving}
	if age := n.majority.Age(about); age >= 0 {
		pong.Answered, pong.AnsweredAgo = true, age.Seconds()
	}
	return pong
}
