package counterserver

import (
	"bufio"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	mostNames = 1 << 20 // over all parts: some 100 MB at the very most, 60 s of 17,000 new names a second
	mostArgs  = 8
	mostWord  = 256 // bytes of one argument
	idleMost  = 10 * time.Second
	mostConns = 32 // of one address, further ones are reset
)

// Server serves a counter's numbers.
type Server struct {
	parts []part

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	byHost map[string]int
	closed bool

	fault atomic.Pointer[Fault]
	calls atomic.Int64
}

// part holds some of the names. Its calls are served in turn.
type part struct {
	sync.Mutex
	store *Store
}

// Fault is what a stand-in's counter does wrong.
type Fault struct {
	Delay  time.Duration // before each call is served
	Silent bool          // calls are added and never answered
	Busy   bool          // calls are turned away
}

// New returns a server with so many parts.
func New(parts int) *Server {
	s := &Server{parts: make([]part, max(1, parts)), conns: map[net.Conn]struct{}{}, byHost: map[string]int{}}
	s.Reset()
	return s
}

// InjectFault makes it do something wrong from now on; nil: no more.
func (s *Server) InjectFault(f *Fault) { s.fault.Store(f) }

// Reset forgets all numbers, as a counter does that comes back after its hall failed.
func (s *Server) Reset() {
	for i := range s.parts {
		p := &s.parts[i]
		p.Lock()
		p.store = NewStore(mostNames / len(s.parts))
		p.Unlock()
	}
}

// Calls is how many calls have added or been turned away.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // descriptors run short: no reason to stop for good
			continue
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		s.mu.Lock()
		if s.closed || s.byHost[host] >= mostConns {
			s.mu.Unlock()
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.byHost[host]++
		s.mu.Unlock()
		go func() {
			s.serve(c)
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			if s.byHost[host]--; s.byHost[host] == 0 {
				delete(s.byHost, host)
			}
			s.mu.Unlock()
		}()
	}
}

// Close ends all connections, and those that come later.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

var errCall = errors.New("no call of RESP2")

func (s *Server) serve(c net.Conn) {
	r := bufio.NewReaderSize(c, 4096)
	w := bufio.NewWriterSize(c, 4096)
	for {
		if r.Buffered() == 0 { // answers to calls written one behind another go out together
			if w.Flush() != nil {
				return
			}
			c.SetReadDeadline(time.Now().Add(idleMost))
		}
		args, err := readCall(r)
		if errors.Is(err, errCall) {
			w.WriteString("-ERR Protocol error\r\n")
			w.Flush()
			return
		}
		if err != nil {
			return
		}
		if answer := s.answer(args); answer != "" {
			w.WriteString(answer)
		}
	}
}

// answer carries a call out. Empty: it is not answered.
func (s *Server) answer(args []string) string {
	switch strings.ToUpper(args[0]) {
	case "PING":
		return "+PONG\r\n"
	case "CLIENT", "SELECT":
		return "+OK\r\n"
	case "CNT.ADD":
	default:
		return "-ERR unknown command\r\n"
	}
	if len(args) != 4 {
		return "-ERR wrong number of arguments\r\n"
	}
	amount, err := strconv.ParseFloat(args[2], 64)
	keep, err2 := strconv.ParseInt(args[3], 10, 64)
	if err != nil || err2 != nil || math.IsNaN(amount) || math.Abs(amount) > MaxAmount || keep < 1 ||
		args[1] == "" || len(args[1]) > MaxNameBytes {
		return "-ERR no such call\r\n"
	}
	s.calls.Add(1)
	f := s.fault.Load()
	if f == nil {
		f = &Fault{}
	}
	if f.Busy {
		return "-BUSY\r\n"
	}
	h := fnv.New32a()
	io.WriteString(h, args[1])
	p := &s.parts[h.Sum32()%uint32(len(s.parts))]
	p.Lock()
	if f.Delay > 0 {
		time.Sleep(f.Delay) // its part serves nobody else meanwhile
	}
	total, ok := p.store.Add(time.Now().UnixMilli(), args[1], amount, keep)
	p.Unlock()
	switch {
	case f.Silent:
		return ""
	case !ok:
		return "-BUSY\r\n"
	}
	text := strconv.FormatFloat(total, 'f', -1, 64)
	return "$" + strconv.Itoa(len(text)) + "\r\n" + text + "\r\n"
}

// readCall reads an array of bulk strings, or a line of words.
func readCall(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "*") {
		if words := strings.Fields(line); len(words) > 0 && len(words) <= mostArgs {
			return words, nil
		}
		return nil, errCall
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 1 || n > mostArgs {
		return nil, errCall
	}
	args := make([]string, n)
	for i := range args {
		if line, err = readLine(r); err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimPrefix(line, "$"))
		if err != nil || !strings.HasPrefix(line, "$") || size < 0 || size > mostWord {
			return nil, errCall
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		if string(b[size:]) != "\r\n" {
			return nil, errCall
		}
		args[i] = string(b[:size])
	}
	return args, nil
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", errCall
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}
