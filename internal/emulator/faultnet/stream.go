package faultnet

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize   = 16 << 10        // maximum size of a chunk, which is forwarded in one write, bytes
	dialTimeout = 2 * time.Second // for a connection to the node
)

// acceptStreams accepts and forwards streams until the relay is closed.
func (r *Relay) acceptStreams(ctx context.Context) {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		r.forwarders.Go(func() { r.forwardStream(ctx, conn) })
	}
}

// track registers a connection, which is then closed with the relay. If the relay is already closed, track closes the
// connection and returns false.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		conn.Close()
		return false
	}
	r.conns[conn] = true
	return true
}

// release closes a tracked connection, and stops tracking it.
func (r *Relay) release(conn net.Conn) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// forwardStream forwards one stream until both directions have ended. While a link is cut, the stream stays open and
// transfers no data.
func (r *Relay) forwardStream(ctx context.Context, client net.Conn) {
	if !r.track(client) {
		return
	}
	defer r.release(client)
	caller := r.caller(client.RemoteAddr())
	target, sourceIP := r.destination()
	if target == "" {
		return
	}
	// The connection is established only when both directions transfer data, as a TCP handshake requires.
	if !await(r.links, caller, r.node, 0, ctx.Done()) || !await(r.links, r.node, caller, 0, ctx.Done()) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if sourceIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: sourceIP}
	}
	server, err := dialer.DialContext(ctx, "tcp4", target)
	if err != nil || !r.track(server) {
		return
	}
	defer r.release(server)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(ctx, caller, r.node, client, server) })
	directions.Go(func() { r.copy(ctx, r.node, caller, server, client) })
	directions.Wait()
}

// copy forwards one direction of a stream until it ends. If the reader closes its connection while the link is cut,
// copy detects this only after the link is restored, as on a real network.
func (r *Relay) copy(ctx context.Context, from, to string, in, out net.Conn) {
	buffer := make([]byte, chunkSize)
	for {
		n, readErr := in.Read(buffer)
		if n > 0 {
			if !await(r.links, from, to, n, ctx.Done()) {
				return
			}
			if _, err := out.Write(buffer[:n]); err != nil {
				in.Close()
				return
			}
		}
		if errors.Is(readErr, io.EOF) {
			if conn, ok := out.(*net.TCPConn); ok {
				conn.CloseWrite()
			}
			return
		}
		if readErr != nil {
			out.Close()
			return
		}
	}
}
