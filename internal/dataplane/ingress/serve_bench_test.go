package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

// startBenchBackend answers each request head with the same short 200 and returns its address.
func startBenchBackend(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				reader := bufio.NewReader(nc)
				answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				for {
					line, err := reader.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) > 2 {
						continue
					}
					if _, err := nc.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// BenchmarkServe sends requests one after another over one connection of a client, through engine and pool, to a
// backend on loopback. Its allocations are those of the whole path of a request.
func BenchmarkServe(b *testing.B) {
	addr := startBenchBackend(b)
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := decision.Settings{
		Gateways:    1,
		MaxAttempts: 1,
		Classes: []decision.Class{
			{Name: "read", LatencyTarget: 20, Deadline: 30, Value: 1, Effect: decision.Idempotent},
		},
		Plans: []decision.Plan{{Name: "plus", Rate: 1e9, Burst: 1e9, ValueWeight: 1}},
	}
	e := engine.New(decision.New(settings, 1), &settings, engine.NewClock())
	e.Start(nil)
	e.SetBackends(decision.Backends{
		Complete: true,
		List:     []decision.Backend{{ID: "s-1", Serving: true, Size: 1}},
	})
	limits := upstream.Limits{Connections: 4, ConnectTimeout: time.Minute, Keepalive: time.Minute}
	pool := upstream.New(func(string) (string, bool) { return addr, true }, limits, log)
	server := New(&settings, e, pool, 8, log)
	server.Started()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go server.Serve(listener)
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	request := []byte("GET /api/0000000000000001 HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: read\r\n" +
		"X-Tier: plus\r\nX-Timeout: 30\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n")
	answer := make([]byte, 4096)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := client.Write(request); err != nil {
			b.Fatal(err)
		}
		n, err := client.Read(answer)
		if err != nil || !bytes.HasPrefix(answer[:n], []byte("HTTP/1.1 200")) {
			b.Fatalf("answer %q, error %v, want a 200", answer[:n], err)
		}
	}
}
