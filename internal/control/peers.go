package control

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/ingresslease"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/mutant"
)

// peer is another control node.
type peer struct {
	addr    string
	client  *replication.Client
	fetcher fetcher
	zone    atomic.Pointer[string]
}

// subscribeTo subscribes to control nodes.
func (n *Node) subscribeTo(ctx context.Context, all *sync.WaitGroup, addrs []string) {
	n.peers.Lock()
	defer n.peers.Unlock()
	if ctx.Err() != nil {
		return
	}
	for _, a := range addrs {
		inner := n.config.InternalAddrOf(a)
		if a == n.self || inner == "" || len(n.peers.all) >= maxPeers || slices.ContainsFunc(n.peers.all, func(x *peer) bool { return x.addr == a }) {
			continue
		}
		x := &peer{addr: a, fetcher: fetcher{room: make(chan struct{}, 1)}, client: &replication.Client{Addr: inner, Node: n.settings.Node, Class: replication.ClassControl, ControlAddr: n.self, Zone: n.settings.Zone, Incarnation: n.incarnation, Seed: n.incarnation,
			Store: n.store, Clock: n.clock, MaxFrame: transport.MaxControlFrame, Ready: n.ready}}
		x.client.Consume = func(f *transport.Update) {
			n.instances.Merge(f.Instances)
			n.instances.MergeRemoteHeartbeats(f.Heartbeats)
			if f.Complete && f.Ready {
				n.warm.Store(true)
			}
		}
		x.client.OnConnection = func(up bool, err error) {
			if up {
				n.log.Log("msg", "control node answers", "at", a)
				n.notifyWatch()
			} else {
				n.log.Log("msg", "control node lost", "at", a, "err", err)
			}
		}
		if n.config.Dial != nil {
			x.client.Dial = func(ctx context.Context) (net.Conn, error) { return n.config.Dial(ctx, inner) }
		}
		n.peers.all = append(n.peers.all[:len(n.peers.all):len(n.peers.all)], x)
		all.Go(func() { x.client.Run(ctx) })
	}
}

// eachPeer goes through the other control nodes.
func (n *Node) eachPeer(f func(*peer)) {
	n.peers.Lock()
	all := n.peers.all
	n.peers.Unlock()
	for _, x := range all {
		f(x)
	}
}

func (n *Node) peer(addr string) (found *peer) {
	n.eachPeer(func(x *peer) {
		if x.addr == addr {
			found = x
		}
	})
	return found
}

// callPeer calls another control node; nil: no answer. Any answer shows contact.
func (n *Node) callPeer(to string, most time.Duration, f *transport.Frame) *transport.Frame {
	x := n.peer(to)
	if x == nil {
		return nil
	}
	asked := n.majority.Now()
	r, err := x.client.Call(most, f)
	if err != nil {
		return nil
	}
	n.majority.RecordAnswer(to, asked)
	return r
}

// ping asks the voters for a sign.
func (n *Node) ping() {
	voters, _ := n.replica.electorate()
	for _, v := range voters {
		if x := n.peer(v); x != nil && x.client.Connected() {
			go func() {
				if n.callPeer(v, majority.TTL, &transport.Frame{Ping: &transport.Ping{}}) != nil && !n.lastInContact.Load() && n.inContact() { // not at any answer: the next look asks again at once
					n.notifyWatch()
				}
			}()
		}
	}
}

// internalAddrs is the inner addresses of control nodes.
func (n *Node) internalAddrs(addrs []string) []string {
	all := make([]string, len(addrs))
	for i, a := range addrs {
		all[i] = n.config.InternalAddrOf(a)
	}
	return all
}

// serveInternal takes agents and control nodes.
func (n *Node) serveInternal(ctx context.Context, l net.Listener, all *sync.WaitGroup) {
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			pause(ctx, 20*time.Millisecond) // out of descriptors, for one
			continue
		}
		if !n.connections.AcquireInternal() {
			nc.Close()
			continue
		}
		go func() {
			defer n.connections.ReleaseInternal()
			n.serve(ctx, nc, all)
		}()
	}
}

func (n *Node) serve(ctx context.Context, nc net.Conn, all *sync.WaitGroup) {
	conn := transport.NewConn(nc)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	f, err := conn.Receive()
	if err != nil || f.Hello == nil {
		return
	}
	switch h := f.Hello; h.Class {
	case replication.ClassControl:
		conn.SetMaxFrame(transport.MaxControlFrame)
		n.subscribeTo(ctx, all, []string{h.ControlAddr}) // one that is no voter takes calls of servers too: what it hears must come here
		if x := n.peer(h.ControlAddr); x != nil {
			if len(h.Zone) <= ingresslease.MaxNameLength {
				x.zone.Store(&h.Zone)
			}
			x.client.RetryNow() // it runs again, and what is dialled meanwhile may run out
		}
		n.source.Serve(conn, h, func(f *transport.Frame) *transport.Frame { return n.handlePeer(f, h.ControlAddr) })
	case replication.ClassAgent, replication.ClassProxy:
		n.source.Serve(conn, h, n.handleCounter)
	}
}

// handleCounter answers calls of the keeper.
func (n *Node) handleCounter(f *transport.Frame) *transport.Frame {
	a := f.CounterAdd
	if a == nil {
		return nil
	}
	n.keeper.Lock()
	defer n.keeper.Unlock()
	if term, ok := n.majority.Current(); (!ok || term != n.keeper.term) && !mutant.Active("keeps-counters-alone") {
		return &transport.Frame{CounterTotal: &transport.CounterTotal{}}
	}
	total := n.keeper.Add(n.uptime(), a)
	return &transport.Frame{CounterTotal: &total}
}

// handlePeer answers another control node. An empty frame is an answer that says nothing.
func (n *Node) handlePeer(f *transport.Frame, from string) *transport.Frame {
	answer := &transport.Frame{}
	switch {
	case f.CounterAdd != nil:
		return n.handleCounter(f)
	case f.Ping != nil:
		return answer
	case f.Call == 0:
		return nil // none of these is sent without a number, and all of them may wait
	case f.Prepare != nil:
		if p := n.replica.prepare(f.Prepare); p != nil {
			answer.Promise = &transport.Promise{Promise: *p}
		}
	case f.Accept != nil:
		p := f.Accept.Proposal
		if a := n.replica.accept(p, func() { n.fetch(from, p.Epoch-1) }); a != nil {
			answer.Accepted = &transport.Accepted{Accepted: *a}
		}
	case f.Chosen != nil:
		if p := f.Chosen.Proposal; !n.replica.learn(p.Ballot, p.Epoch) {
			n.fetch(from, p.Epoch)
		}
	case f.CatchUpRequest != nil:
		answer.CatchUpChunk = n.replica.catchUpChunk(f.CatchUpRequest, n.instances.PersistedAfter)
	case f.PersistRequest != nil:
		answer.PersistReply = &transport.PersistReply{OK: n.persistInstances(f.PersistRequest.Instances)}
	default:
		return nil
	}
	return answer
}
