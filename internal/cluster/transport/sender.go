package transport

import (
	"net"
	"sync"
	"time"
)

// sender is the sending side of a connection. Its callers add encoded frames to a queue, which one of them at a time
// writes for all.
type sender struct {
	nc        net.Conn
	closeConn func() error

	mu      sync.Mutex // guards the fields below; it is not held during a write
	changed sync.Cond  // signalled when the queue has shrunk, or err is set
	queue   []byte     // encoded frames that wait to be written
	spare   []byte     // an empty buffer for the next queue
	writing bool       // one of the callers is writing
	err     error      // set once the connection has ended
}

func (s *sender) init(nc net.Conn, closeConn func() error) {
	s.nc, s.closeConn = nc, closeConn
	s.changed.L = &s.mu
}

func (s *sender) send(f *Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.awaitCapacity(); err != nil {
		return err
	}
	if s.queue == nil {
		s.queue, s.spare = s.spare, nil
	}
	queue, err := Append(s.queue, f)
	s.queue = queue
	if err != nil || s.writing {
		return err
	}
	return s.flush(nil)
}

func (s *sender) sendEncoded(frames []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.awaitCapacity(); err != nil {
		return err
	}
	if s.writing {
		s.queue = append(s.queue, frames...)
		return nil
	}
	return s.flush(frames)
}

// awaitCapacity waits while maxQueuedBytes or more are queued for a peer that doesn't read. It is called with the lock
// held.
func (s *sender) awaitCapacity() error {
	for s.err == nil && s.writing && len(s.queue) >= maxQueuedBytes {
		s.changed.Wait()
	}
	return s.err
}

// flush writes the given encoded frames, and then the queue until it is empty. It doesn't keep a reference to the
// frames. It is called with the lock held, and releases the lock during each write.
func (s *sender) flush(encoded []byte) error {
	s.writing = true
	for s.err == nil && (len(encoded) > 0 || len(s.queue) > 0) {
		if len(encoded) > 0 {
			s.writeUnlocked(encoded)
			encoded = nil
			continue
		}
		buf := s.queue
		s.queue, s.spare = s.spare, nil
		s.writeUnlocked(buf)
		if s.err == nil && cap(buf) <= maxRetainedBuffer {
			s.spare = buf[:0]
		}
	}
	s.writing = false
	return s.err
}

// writeUnlocked writes a buffer with the lock released. After an error the connection is closed.
func (s *sender) writeUnlocked(buf []byte) {
	s.mu.Unlock()
	err := s.write(buf)
	if err != nil {
		_ = s.closeConn() // its error is ignored, because the error of the write is the one to report
	}
	s.mu.Lock()
	if err != nil {
		s.err = err
	}
	s.changed.Broadcast()
}

func (s *sender) write(buf []byte) error {
	for len(buf) > 0 {
		n := min(len(buf), maxWriteBytes)
		if err := s.nc.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
			return err
		}
		if _, err := s.nc.Write(buf[:n]); err != nil {
			return err
		}
		buf = buf[n:]
	}
	return nil
}

// close makes all sends fail, including those that wait.
func (s *sender) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = ErrClosed
	}
	s.queue, s.spare = nil, nil
	s.changed.Broadcast()
}
