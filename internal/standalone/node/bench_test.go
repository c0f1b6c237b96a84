package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/config"
)

// serveEach accepts connections on loopback until the benchmark ends. It serves and then closes each one in a separate
// goroutine. It returns the address of its listener.
func serveEach(b *testing.B, serve func(net.Conn)) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// backend starts a server that answers each request with status 200 and a short body. It parses no more of a request
// than it must, because its CPU time is measured, too.
func backend(b *testing.B) string {
	b.Helper()
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nquote 123.45")
	return serveEach(b, func(c net.Conn) {
		r := bufio.NewReader(c)
		for readHead(r) == nil {
			if _, err := c.Write(answer); err != nil {
				return
			}
		}
	})
}

// readHead reads the lines of a request up to the empty line.
func readHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}

// relay starts a TCP relay, which copies bytes in both directions without parsing them.
func relay(b *testing.B, to string) string {
	b.Helper()
	return serveEach(b, func(c net.Conn) {
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer out.Close()
		go func() {
			io.Copy(out, c)
			out.Close()
		}()
		io.Copy(c, out)
	})
}

// ingressAt starts an ingress in front of a backend, with additional text in its configuration.
func ingressAt(b *testing.B, to, more string) string {
	servers := "" // as many as the decision module needs to send the requests of all connections at the same time
	for i := range 32 {
		servers += fmt.Sprintf("server \"s%d\" {\n  address = %q\n}\n", i, to)
	}
	text := fmt.Sprintf(`
listen = "127.0.0.1:0"
%s
class "quote-read" {
  aim      = "2s"
  deadline = "5s"
  repeat   = "safe"
}
plan "plus" {
  rate  = 1e9
  burst = 1e9
}
%s`, servers, more)
	c, err := config.ParseFile("bench.hcl", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	c.Limits = config.Limits{MemoryMB: 192, Sockets: 4096}
	n, err := Start(c, logtest.Discard())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.Stop)
	return n.Addr()
}

// sharedFleet is the fleet configuration of an ingress that shares quotas with another one.
const sharedFleet = `
name = "n0"
fleet {
  ingresses = 2
  number = 0
  membership {
    fleet = "bench"
    listen = "127.0.0.1:0"
    share = true
  }
}
`

// BenchmarkServe measures the cost of a request through a relay that only copies bytes, through httputil.ReverseProxy
// and through an ingress, without and with metering. The cost is CPU time. It includes the time of the client and the
// backend, which is the same in all cases.
func BenchmarkServe(b *testing.B) {
	const alone, pair = "units=1,spread=1,first=0", "units=1,spread=2,first=0"
	for _, bc := range []struct {
		name, terms string
		start       func(b *testing.B, to string) string
	}{
		{"relay", alone, relay},
		{"reverseproxy", alone, reverseProxy},
		{"ingress", alone, func(b *testing.B, to string) string { return ingressAt(b, to, "") }},
		{"of two", pair, func(b *testing.B, to string) string {
			return ingressAt(b, to, "fleet {\n  ingresses = 2\n  number = 0\n}\n")
		}},
		// The load has 400 members, whose quota this ingress could grant to the other one.
		{"shared", pair, func(b *testing.B, to string) string { return ingressAt(b, to, sharedFleet) }},
		{"metered", alone, func(b *testing.B, to string) string {
			return ingressAt(b, to, fmt.Sprintf("usage {\n  dir = %q\n}\n", b.TempDir()))
		}},
	} {
		b.Run(bc.name, func(b *testing.B) { load(b, bc.start(b, backend(b)), bc.terms) })
	}
}

// client is one connection to the server that is measured. It allocates little memory, because it is measured, too.
type client struct {
	net.Conn
	r     *textproto.Reader
	out   bytes.Buffer
	terms any // a string; converted to any only once, which saves an allocation for each request
}

func newClient(addr string) (*client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, r: textproto.NewReader(bufio.NewReader(c)), terms: "units=1,spread=1,first=0"}, nil
}

// send sends a request, reads the complete response, and returns whether it was served.
func (c *client) send(n int64) (served bool, err error) {
	c.out.Reset()
	fmt.Fprintf(&c.out, "GET /api/%016x HTTP/1.1\r\nHost: app\r\n"+
		"X-Request-ID: r%d\r\nX-Priority-Class: quote-read\r\nX-Tier: plus\r\n"+
		"X-Timeout: 5\r\nX-Call-Terms: %s\r\n\r\n", n%400, n, c.terms)
	if _, err := c.Write(c.out.Bytes()); err != nil {
		return false, err
	}
	line, err := c.r.ReadLine()
	if err != nil {
		return false, err
	}
	served = line == "HTTP/1.1 200 OK"
	for size := 0; ; {
		line, err := c.r.ReadLineBytes()
		if err != nil {
			return false, err
		}
		if len(line) == 0 {
			_, err = c.r.R.Discard(size)
			return served, err
		}
		if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			size, _ = strconv.Atoi(string(v))
		}
	}
}

// runClients opens count connections, calls run for each in parallel, and waits until all calls have returned.
func runClients(b *testing.B, addr string, count int, run func(k int, c *client)) {
	b.Helper()
	var clients sync.WaitGroup
	for k := range count {
		clients.Go(func() {
			c, err := newClient(addr)
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			run(k, c)
		})
	}
	clients.Wait()
}

// load sends b.N requests over 128 connections, and reports the CPU time per request.
func load(b *testing.B, addr, terms string) {
	const conns = 128
	var next, rejected atomic.Int64
	var before, after syscall.Rusage
	b.ReportAllocs()
	b.ResetTimer()
	syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	runClients(b, addr, conns, func(_ int, c *client) {
		c.terms = terms
		for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
			served, err := c.send(n)
			if err != nil {
				b.Error(err)
				return
			}
			if !served {
				rejected.Add(1)
			}
		}
	})
	syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	b.StopTimer()
	if n := rejected.Load(); n > int64(b.N/100)+conns {
		b.Errorf("%d of %d requests not served", n, b.N)
	}
	cpu := func(r *syscall.Rusage) time.Duration { return time.Duration(r.Utime.Nano() + r.Stime.Nano()) }
	b.ReportMetric(float64(cpu(&after)-cpu(&before))/float64(b.N)/1000, "cpu-us/op")
}

// BenchmarkAt140 measures the latency of answers at 140 requests a second on open connections, through
// httputil.ReverseProxy and through an ingress. Run it with -benchtime 1400x, which takes ten seconds for each.
func BenchmarkAt140(b *testing.B) {
	for _, bc := range []struct {
		name  string
		start func(b *testing.B, to string) string
	}{
		{"reverseproxy", reverseProxy},
		{"ingress", func(b *testing.B, to string) string { return ingressAt(b, to, "") }},
	} {
		b.Run(bc.name, func(b *testing.B) {
			addr := bc.start(b, backend(b))
			const conns = 4
			took := make([][]time.Duration, conns)
			b.ResetTimer()
			runClients(b, addr, conns, func(k int, c *client) {
				ticker := time.NewTicker(conns * time.Second / 140)
				defer ticker.Stop()
				for n := k; n < b.N; n += conns {
					<-ticker.C
					began := time.Now()
					if _, err := c.send(int64(n)); err != nil {
						b.Error(err)
						return
					}
					took[k] = append(took[k], time.Since(began))
				}
			})
			b.StopTimer()
			all := slices.Concat(took...)
			slices.Sort(all)
			if len(all) > 0 {
				b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
			}
		})
	}
}

// reverseProxy starts the standard library's reverse proxy.
func reverseProxy(b *testing.B, to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 1000}
	s := &http.Server{Handler: proxy}
	go s.Serve(l)
	b.Cleanup(func() { s.Close() })
	return l.Addr().String()
}
