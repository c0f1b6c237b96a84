package counterserver

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxNames is the maximum number of names over all shards, which bounds their memory to about 100 MB. It is enough
	// for 17,000 new names a second that are kept for 60 s each.
	maxNames = 1 << 20

	maxConnsPerHost = 32                    // connections from one IP address; further ones are reset
	idleTimeout     = 10 * time.Second      // for the next call on a connection
	acceptRetry     = 10 * time.Millisecond // delay after a failed accept, so that the loop does not spin
	bufferBytes     = 4096                  // bytes of a connection's buffer for each direction
)

// Server serves the totals of a counter.
type Server struct {
	shards []shard

	mu     sync.Mutex // guards conns, byHost and closed
	conns  map[net.Conn]struct{}
	byHost map[string]int // number of connections by the caller's IP address
	closed bool

	goroutines sync.WaitGroup // one for each connection; Close waits for them

	fault atomic.Pointer[Fault]
	calls atomic.Int64
}

// shard holds part of the names, by the hash of the name. Its calls are served one after another.
type shard struct {
	mu    sync.Mutex // guards store
	store *Store
}

// Fault is a fault that tests inject into the counter. The zero value injects none.
type Fault struct {
	Delay  time.Duration // delay before each addition
	Silent bool          // additions take effect, but get no reply
	Busy   bool          // additions are rejected
}

// New returns a server with the given number of shards, but at least one.
func New(shards int) *Server {
	s := &Server{
		shards: make([]shard, max(1, shards)),
		conns:  map[net.Conn]struct{}{},
		byHost: map[string]int{},
	}
	s.Reset()
	return s
}

// InjectFault replaces the injected fault; nil removes it.
func (s *Server) InjectFault(f *Fault) { s.fault.Store(f) }

// Reset discards all totals, as a counter does that fails and restarts without its state.
func (s *Server) Reset() {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.store = NewStore(maxNames / len(s.shards))
		sh.mu.Unlock()
	}
}

// Calls returns how many additions have been served or rejected.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetry) // a temporary lack of file descriptors must not end the server
			continue
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		if !s.admit(c, host) {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0) // Close then resets the connection
			}
			c.Close()
		}
	}
}

// admit starts to serve a connection. It returns false if the server is closed or the host has maxConnsPerHost
// connections.
func (s *Server) admit(c net.Conn, host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.byHost[host] >= maxConnsPerHost {
		return false
	}
	s.conns[c] = struct{}{}
	s.byHost[host]++
	s.goroutines.Go(func() {
		defer s.unregister(c, host)
		defer c.Close()
		s.serve(c)
	})
	return true
}

func (s *Server) unregister(c net.Conn, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.byHost[host]--; s.byHost[host] == 0 {
		delete(s.byHost, host)
	}
}

// Close ends all connections and waits for the goroutines that serve them. Later connections are reset.
func (s *Server) Close() {
	s.closeConnections()
	s.goroutines.Wait()
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

// serve answers the calls of a connection until it ends.
func (s *Server) serve(c net.Conn) {
	r := bufio.NewReaderSize(c, bufferBytes)
	w := bufio.NewWriterSize(c, bufferBytes)
	for {
		if r.Buffered() == 0 { // replies to pipelined calls are sent together
			if w.Flush() != nil {
				return
			}
			c.SetReadDeadline(time.Now().Add(idleTimeout))
		}
		args, err := readCall(r)
		if errors.Is(err, errProtocol) {
			w.WriteString(replyProtocolError)
			w.Flush()
			return
		}
		if err != nil {
			return
		}
		if reply := s.execute(args); reply != "" {
			w.WriteString(reply)
		}
	}
}
