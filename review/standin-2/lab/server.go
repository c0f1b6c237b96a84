package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is a request that a server has begun to work on.
type Run struct {
	At                           time.Time
	Server, Attempt, Tenant      string
	Method, Target, Body, Header string
	Trailer                      http.Header
	TimeLeft                     string
}

// Server is a stand-in of a server, as PROTOCOL describes one.
type Server struct {
	lab         *Lab
	ID, Service string
	Addr        string
	Work        func(r *http.Request) time.Duration // nil: none
	Handle      func(s *Server, w http.ResponseWriter, r *http.Request, run Run) (done bool)
	mu          sync.Mutex
	runs        []Run
	phase       string
	seq         int
	stop        chan struct{}
	server      *http.Server
}

// NewServer starts a server and its beats.
func (l *Lab) NewServer(id, service, ip, zone string) *Server {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		l.Fatal("%v", err)
	}
	s := &Server{lab: l, ID: id, Service: service, Addr: listener.Addr().String(), phase: "serving", stop: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	go func() {
		for n := 0; ; n++ {
			s.Beat(l.CoreNodes[n%len(l.CoreNodes)], zone)
			select {
			case <-s.stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	return s
}

// Beat sends one beat.
func (s *Server) Beat(node *Process, zone string) (status int) {
	s.mu.Lock()
	s.seq++
	body := map[string]any{
		"address":  s.Addr,
		"summary":  map[string]any{"backend": s.Service, "generation": "v1", "zone": zone, "capacity": 3},
		"observed": map[string]any{"phase": s.phase, "callSeq": s.seq, "coldLeftMs": 0},
	}
	s.mu.Unlock()
	status, _, _ = Call(time.Second, "PUT", "http://"+node.Control()+"/instances/"+s.ID, body)
	return status
}

// Runs returns what the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.ID)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
		h.Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.lab.Log("%s: body of %s breaks off after %d bytes: %v", s.ID, attempt, len(body), err)
		return
	}
	run := Run{
		At: time.Now(), Server: s.ID, Attempt: attempt, Tenant: r.Header.Get("X-Tenant"), Method: r.Method,
		Target: r.RequestURI, Body: string(body), Header: fmt.Sprint(r.Header), Trailer: r.Trailer,
		TimeLeft: r.Header.Get("X-Time-Left-Ms"),
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.lab.Log("%s runs %s %s %s, %d bytes", s.ID, attempt, r.Method, r.RequestURI, len(body))
	if s.Work != nil {
		time.Sleep(s.Work(r))
	}
	if s.Handle != nil && s.Handle(s, w, r, run) {
		return
	}
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Server-Seal", "seal-"+s.ID+"-"+attempt)
	_, _ = io.WriteString(w, "answer to "+attempt)
}
