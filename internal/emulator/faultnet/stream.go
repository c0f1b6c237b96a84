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
	chunkSize   = 16 << 10 // bytes of a stream that are forwarded at once
	dialTimeout = 2 * time.Second
)

// acceptStreams forwards streams until the relay closes.
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

// track remembers a connection, to be closed with the relay. It closes it and returns false if the relay has closed.
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

// release closes a connection that is tracked.
func (r *Relay) release(conn net.Conn) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// forwardStream forwards one stream until both directions have ended. While a link is cut, the stream is open and
// carries nothing.
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
	// a handshake takes both directions
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

// copy forwards one direction of a stream to its end. That its reader gave up meanwhile is noticed once the link
// carries again, as on a real one.
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
