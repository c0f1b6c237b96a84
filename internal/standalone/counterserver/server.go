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
	maxNames        = 1 << 20 // over all shards: some 100 MB, 60 s of 17,000 new names a second
	maxConnsPerHost = 32      // further ones are reset
	idleTimeout     = 10 * time.Second
	acceptRetry     = 10 * time.Millisecond // after a failure to accept
	bufferBytes     = 4096                  // of a connection, for each direction
)

// Server serves the totals of a counter.
type Server struct {
	shards []shard

	mu     sync.Mutex // guards the fields below
	conns  map[net.Conn]struct{}
	byHost map[string]int // connections by the caller's address
	closed bool

	goroutines sync.WaitGroup // one for each connection; Close waits for them

	fault atomic.Pointer[Fault]
	calls atomic.Int64
}

// shard holds some of the names. Its calls are served one after another.
type shard struct {
	mu    sync.Mutex // guards store
	store *Store
}

// Fault is what the counter of a test does wrong. The zero value is no fault.
type Fault struct {
	Delay  time.Duration // before each call is served
	Silent bool          // calls are added and never answered
	Busy   bool          // calls are rejected
}

// New returns a server with a number of shards, one at least.
func New(shards int) *Server {
	s := &Server{
		shards: make([]shard, max(1, shards)),
		conns:  map[net.Conn]struct{}{},
		byHost: map[string]int{},
	}
	s.Reset()
	return s
}

// InjectFault injects a fault in place of the one before; nil: none.
func (s *Server) InjectFault(f *Fault) { s.fault.Store(f) }

// Reset forgets all totals, like a counter that restarts after a failure of its failure domain.
func (s *Server) Reset() {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.store = NewStore(maxNames / len(s.shards))
		sh.mu.Unlock()
	}
}

// Calls is how many calls to add have been served or rejected.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetry) // too few descriptors are no reason to stop for good
			continue
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		if !s.admit(c, host) {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0) // resets it
			}
			c.Close()
		}
	}
}

// admit has a connection served; false: the server is closed, or the host has too many.
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

// Close ends all connections and waits for the goroutines that serve them. Those that come later are reset.
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
		if r.Buffered() == 0 { // replies to pipelined calls go out together
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
