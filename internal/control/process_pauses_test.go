package control

import (
	"bytes"
	"net"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

// processPauses simulates pauses of processes. A paused process neither reads nor writes, and data for it is buffered.
type processPauses struct {
	mu        sync.Mutex                         // guards pausedFor
	pausedFor func(process string) time.Duration // remaining time of the current pause; nil if no process is paused
}

// set sets the function that returns for how long from now a process is paused, or nil if no process is to be paused.
func (s *processPauses) set(pausedFor func(process string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedFor = pausedFor
}

// await waits until a process is not paused.
func (s *processPauses) await(process string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	pausedFor := s.pausedFor
	s.mu.Unlock()
	if pausedFor == nil {
		return
	}
	if left := pausedFor(process); left > 0 {
		time.Sleep(left)
	}
}

// bufferedConn is a process's end of a connection. Its writes don't wait for the reader, as over TCP, and are sent only
// while the process is not paused.
type bufferedConn struct {
	net.Conn
	process string
	pauses  *processPauses

	mu      sync.Mutex // guards the fields below
	queue   [][]byte
	writing bool // a goroutine is writing the queue
	closed  bool
}

// buffer wraps a process's end of a connection in a bufferedConn.
func (s *processPauses) buffer(process string, nc net.Conn) *bufferedConn {
	return &bufferedConn{Conn: nc, process: process, pauses: s}
}

func (b *bufferedConn) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, net.ErrClosed
	}
	b.queue = append(b.queue, bytes.Clone(data))
	if !b.writing {
		b.writing = true
		go b.writeQueued()
	}
	return len(data), nil
}

// writeQueued writes the queue until it is empty or the connection has ended.
func (b *bufferedConn) writeQueued() {
	for {
		b.pauses.await(b.process)
		b.mu.Lock()
		if b.closed || len(b.queue) == 0 {
			b.writing = false
			b.mu.Unlock()
			return
		}
		data := b.queue[0]
		b.queue = b.queue[1:]
		b.mu.Unlock()
		_ = b.SetWriteDeadline(time.Now().Add(transport.WriteTimeout))
		if _, err := b.Conn.Write(data); err != nil {
			b.Close()
		}
	}
}

func (b *bufferedConn) Close() error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	return b.Conn.Close()
}
