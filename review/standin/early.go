package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "early": servers answer long requests before they have read them, and a part of them breaks off some of
// their answers for a while.
const (
	earlyServers    = 10
	earlyBreaking   = 3    // servers that break off answers, 0.3 of the service's servers
	earlyBreakShare = 0.02 // of their answers
	earlyFor        = 5 * time.Second
	earlySpans      = 5 // times for which answers are broken off
	earlyClients    = 120
	earlyBytes      = 96 << 10
	earlyParts      = 4 // in which a client sends its body
	earlyPause      = 60 * time.Millisecond
	earlyTimeLeft   = 1200
)

// earlyServer stands in for a server. It runs a long request as soon as its head has arrived, answers, keeps the
// connection and reads the body then (more/hardening/NEWS-18.md).
type earlyServer struct {
	id       string
	breaking atomic.Bool
	result   *earlyResult
	r        *record
}

// earlyResult records what ran and what was answered, by the id of the request.
type earlyResult struct {
	mu      sync.Mutex
	ran     map[string]int
	cut     map[string]bool
	answers map[string]int
	refused int // requests that ran and were answered with 429 or 503
}

func (s *earlyServer) serveConn(c net.Conn) {
	defer c.Close()
	for b := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if request.URL.Path == "/health" || request.Header.Get("X-Target-Instance") != s.id {
			status := 421
			if request.URL.Path == "/health" {
				status = 200
			}
			io.Copy(io.Discard, request.Body)
			fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id, s.id)
			continue
		}
		breaks := s.breaking.Load() && rand.Float64() < earlyBreakShare
		s.result.mu.Lock()
		s.result.ran[id]++
		s.result.cut[id] = breaks
		s.result.mu.Unlock()
		s.r.add("server %s runs %s", s.id, id)
		time.Sleep(20 * time.Millisecond)
		body := strings.Repeat("filed "+id+" ", 20)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: %d\r\n\r\n%s",
			id, len(body), body)
		if breaks {
			s.r.add("server %s breaks off its answer to %s", s.id, id)
			io.WriteString(c, answer[:len(answer)-len(body)/2])
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// client sends a request whose body comes in parts, and records the answer.
func (e *earlyResult) client(r *record, addr string, n int) {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		r.add("client %d: %v", n, err)
		return
	}
	defer conn.Close()
	id := fmt.Sprintf("%016x", rand.Uint64())
	conn.SetDeadline(time.Now().Add(earlyTimeLeft * time.Millisecond))
	answers := make(chan int, 1)
	go func() {
		status := 0
		if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			if status = answer.StatusCode; status == 200 {
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					status = 0
				}
			}
		}
		answers <- status
	}()
	fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		uploadPath, id, uploadHost, id, earlyTimeLeft, earlyBytes)
	for range earlyParts {
		if _, err := conn.Write([]byte(strings.Repeat("x", earlyBytes/earlyParts))); err != nil {
			break
		}
		time.Sleep(earlyPause)
	}
	status := <-answers
	r.add("client has %d for %s", status, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers[fmt.Sprint(status)]++
	if (status == 503 || status == 429) && e.ran[id] > 0 {
		e.refused++
		r.add("REFUSED: %s ran, and its client has %d", id, status)
	}
}

func earlyCase(root string, r *record, fault bool) (int, error) {
	cl, err := newCluster(root, 3, 3, "base,drain,config,cost,retry,recover,tenants,quota,health,pool")
	if err != nil {
		return failed, err
	}
	defer cl.stop()
	if err := cl.start(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	defer close(stop)
	e := &earlyResult{ran: map[string]int{}, cut: map[string]bool{}, answers: map[string]int{}}
	var servers []*earlyServer
	for n := range earlyServers {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.%d.1:0", 70+n))
		if err != nil {
			return failed, err
		}
		defer l.Close()
		s := &earlyServer{id: fmt.Sprintf("i-%08x", rand.Uint32()), result: e, r: r}
		servers = append(servers, s)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serveConn(c)
			}
		}()
		go cl.heartbeat(s.id, "filing", cl.edge[n%len(cl.edge)].zone, l.Addr().String(), 20, stop)
	}
	if err := cl.operate(uploadConfiguration()); err != nil {
		return failed, err
	}
	if err := cl.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3500 * time.Millisecond) // the machines are in touch
	r.add("the edge machines are ready; fault: %v", fault)
	end := time.Now().Add(earlySpans * 2 * earlyFor)
	var group sync.WaitGroup
	for n := range earlyClients {
		group.Go(func() {
			for time.Now().Before(end) {
				e.client(r, cl.edge[n%len(cl.edge)].addr(cl, portFront), n)
				time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	for range earlySpans {
		rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		for _, s := range servers[:earlyBreaking] {
			s.breaking.Store(fault)
		}
		time.Sleep(earlyFor)
		for _, s := range servers {
			s.breaking.Store(false)
		}
		time.Sleep(earlyFor)
	}
	group.Wait()
	cut, twice := 0, 0
	for _, c := range e.cut {
		if c {
			cut++
		}
	}
	for _, n := range e.ran {
		if n > 1 {
			twice++
		}
	}
	summary := fmt.Sprintf("requests by status: %v; ran %d, answers broken off %d, ran more than once %d; ran and answered with 503 or 429: %d",
		e.answers, len(e.ran), cut, twice, e.refused)
	r.add("%s", summary)
	fmt.Println(summary)
	switch {
	case e.answers["200"] < 1000:
		return failed, fmt.Errorf("too few requests are served")
	case e.refused > 0 || twice > 0:
		return broken, nil
	}
	return passed, nil
}
