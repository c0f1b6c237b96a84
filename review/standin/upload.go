package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "upload": long requests, one server of eight that hangs part of its requests for a while, and the next
// requests on the clients' kept connections.
const (
	uploadHost       = "jepu9.example"
	uploadPath       = "/lepu270/"
	uploadDeadline   = 1200 // deadlineMs of the route
	uploadTimeLeft   = 5000 // X-Time-Left-Ms: the clients would wait for longer than the route allows
	uploadGrace      = 500 * time.Millisecond
	uploadServers    = 56
	uploadHanging    = 7 // servers that hang at the same time, 0.125 of the service's servers
	uploadHangShare  = 0.45
	uploadHangFor    = 6500 * time.Millisecond
	uploadClients    = 150
	uploadRangeBytes = 40 << 10
	uploadBursts     = 5
	uploadIdleClose  = time.Second // the servers close connections that are idle for longer
)

func uploadConfiguration() any {
	return map[string]any{
		"upsert": map[string]any{
			"services": map[string]any{"filing": map[string]any{
				"healthPath": "/health", "maxConns": 570, "protocol": "h1", "tlsMode": false, "generation": "00000001",
			}},
			"routes": map[string]any{"r-file": map[string]any{
				"authority": uploadHost, "pathPrefix": uploadPath, "routeKind": "mutating", "deadlineMs": uploadDeadline,
				"targetMs": 500, "priority": 1, "backend": "filing", "maxTries": 2, "public": true, "generation": "00000001",
			}},
			"limits": map[string]any{
				"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
				"generation": "00000001",
			},
		},
	}
}

// uploadServer stands in for a server. While hanging is set, it hangs a share of its long requests: it reads nothing
// more of them and answers nothing.
type uploadServer struct {
	id      string
	hanging atomic.Bool
	r       *record
	hangs   atomic.Int64
	runs    atomic.Int64
}

func (s *uploadServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *uploadServer) serveConn(c net.Conn) {
	defer c.Close()
	for b := bufio.NewReader(c); ; {
		c.SetReadDeadline(time.Now().Add(uploadIdleClose))
		request, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		id := request.Header.Get("X-Attempt-Id")
		if s.hanging.Load() && request.ContentLength > 0 && rand.Float64() < uploadHangShare {
			s.hangs.Add(1)
			s.r.add("server %s hangs %s of %d bytes", s.id, id, request.ContentLength)
			time.Sleep(4 * time.Second) // longer than its client waits
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		status, fields, body := 200, "X-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "done "+id
		switch {
		case request.URL.Path == "/health":
			fields, body = "X-Instance-Id: "+s.id+"\r\n", ""
		case request.Header.Get("X-Target-Instance") != s.id:
			status, fields, body = 421, "", ""
		default:
			s.runs.Add(1)
			s.r.add("server %s runs %s", s.id, id)
			time.Sleep(20 * time.Millisecond)
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nKeep-Alive: timeout=1\r\n%s"+
			"Content-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, fields, len(body), body)
		if err != nil {
			return
		}
	}
}

// listenWithSmallWindow listens with the segment size of an Ethernet and a small window (DEPLOY: a writer is passed up by
// a peer that does not read). The loopback interface has segments of 64 KiB, with which the kernel takes megabytes for
// a peer that does not read.
func listenWithSmallWindow(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			if err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp4", addr)
}

// measureBuffers returns how many bytes a writer can write to a peer of listenWithSmallWindow that does not read.
func measureBuffers() (bytes int, err error) {
	l, err := listenWithSmallWindow("127.0.39.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		return 0, err
	}
	defer c.Close()
	for part := make([]byte, 32<<10); ; {
		c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		n, err := c.Write(part)
		if bytes += n; err != nil {
			return bytes, nil
		}
	}
}

// uploadResult counts the requests of the clients.
type uploadResult struct {
	buffered int // what the kernel takes for a peer that does not read, bytes; the long requests are about as long

	mu      sync.Mutex
	answers map[string]int // by kind of request and status
	late    int            // requests that had no answer at their route's deadline
	never   int            // of these, without an answer uploadGrace later
}

// try sends a request, and waits for its answer for as long as its client waits. It returns whether the connection can
// be used for another one.
func (u *uploadResult) try(r *record, conn net.Conn, reader *bufio.Reader, kind, id string, left, bytes int) (kept bool) {
	request := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", uploadPath, id, uploadHost, id, left, bytes, strings.Repeat("x", bytes))
	sentAt := time.Now()
	conn.SetDeadline(sentAt.Add(time.Duration(left) * time.Millisecond))
	r.add("client sends %s %s of %d bytes", kind, id, bytes)
	result := ""
	_, err := io.WriteString(conn, request)
	if err == nil {
		var answer *http.Response
		if answer, err = http.ReadResponse(reader, nil); err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			result, kept = fmt.Sprint(answer.StatusCode), !answer.Close
		}
	}
	took := time.Since(sentAt)
	if err != nil {
		result, kept = "none", false
		if e, ok := err.(net.Error); !ok || !e.Timeout() {
			result = "closed"
		}
	}
	r.add("client has %s for %s %s after %.3f s", result, kind, id, took.Seconds())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers[kind+" "+result]++
	if took > uploadDeadline*time.Millisecond {
		u.late++
		if took > uploadDeadline*time.Millisecond+uploadGrace {
			u.never++
		}
	}
	return kept
}

// client is one client in a burst: it sends a long request, and some time later a short one on the same connection.
func (u *uploadResult) client(cl *cluster, r *record, began time.Time, burst, n int) {
	conn, err := net.Dial("tcp4", cl.edge[n%len(cl.edge)].addr(cl, portFront))
	if err != nil {
		r.add("client %d: %v", n, err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	id := fmt.Sprintf("%04x%04x%08x", burst, n, rand.Uint32())
	if u.try(r, conn, reader, "long", id, uploadTimeLeft, u.buffered+rand.IntN(uploadRangeBytes)) {
		time.Sleep(time.Until(began.Add(uploadHangFor + 500*time.Millisecond))) // all servers are well again
		u.try(r, conn, reader, "short", id+"s", uploadTimeLeft, 300)
	}
}

func uploadCase(root string, r *record, fault bool) (int, error) {
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
	var servers []*uploadServer
	for n := range uploadServers {
		l, err := listenWithSmallWindow(fmt.Sprintf("127.0.%d.%d:0", 40+n%8, 1+n/8))
		if err != nil {
			return failed, err
		}
		defer l.Close()
		s := &uploadServer{id: fmt.Sprintf("i-%08x", rand.Uint32()), r: r}
		servers = append(servers, s)
		go s.serve(l)
		go cl.heartbeat(s.id, "filing", cl.edge[n%len(cl.edge)].zone, l.Addr().String(), 3, stop)
	}
	if err := cl.operate(uploadConfiguration()); err != nil {
		return failed, err
	}
	if err := cl.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3500 * time.Millisecond) // the machines are in touch
	r.add("the edge machines are ready; fault: %v", fault)

	u := &uploadResult{answers: map[string]int{}}
	if u.buffered, err = measureBuffers(); err != nil {
		return failed, err
	}
	r.add("the kernel takes %d bytes for a peer that does not read", u.buffered)
	for burst := range uploadBursts {
		rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		hanging := servers[:uploadHanging]
		for _, s := range hanging {
			if s.hanging.Store(fault); fault {
				r.add("server %s begins to hang %.2f of its requests", s.id, uploadHangShare)
			}
		}
		began := time.Now()
		var group sync.WaitGroup
		for n := range uploadClients {
			group.Go(func() { u.client(cl, r, began, burst, n) })
		}
		time.Sleep(time.Until(began.Add(uploadHangFor)))
		for _, s := range hanging {
			if s.hanging.Swap(false) {
				r.add("server %s is well again", s.id)
			}
		}
		group.Wait()
		time.Sleep(2 * time.Second)
	}
	runs, hangs := int64(0), int64(0)
	for _, s := range servers {
		runs += s.runs.Load()
		hangs += s.hangs.Load()
	}
	summary := fmt.Sprintf("requests by kind and answer: %v; runs %d, hung at a server %d; without an answer at the "+
		"route's deadline: %d, of these without one %v later: %d", u.answers, runs, hangs, u.late, uploadGrace, u.never)
	r.add("%s", summary)
	fmt.Println(summary)
	switch {
	case u.answers["short 200"] < uploadClients:
		return failed, fmt.Errorf("too few short requests are served")
	case u.never >= 8 && 4*u.never > u.late:
		return broken, nil
	}
	return passed, nil
}
