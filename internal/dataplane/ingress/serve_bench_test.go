package ingress

import (
	"bufio"
	"bytes"
	"net"
	"testing"

	"mulleinrouter/internal/decision"
)

// answerRequests answers each request of a connection with the same short 200. The requests must not have bodies.
func answerRequests(nc net.Conn) {
	reader := bufio.NewReader(nc)
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > len("\r\n") {
			continue // the head continues
		}
		if _, err := nc.Write(answer); err != nil {
			return
		}
	}
}

// BenchmarkServe sends requests one after another over one connection of a client, through engine and pool, to a
// backend on loopback. The allocations that it reports are those of the complete path of a request.
func BenchmarkServe(b *testing.B) {
	backend := listen(b)
	go acceptEach(backend, answerRequests)
	backendAddr := backend.Addr().String() // formatted once, because its allocations are not the server's
	server, _ := newTestServer(decision.Settings{
		Gateways:    1,
		MaxAttempts: 1,
		Classes:     []decision.Class{readClass},
		Plans:       []decision.Plan{{Name: "plus", Rate: 1e9, Burst: 1e9, ValueWeight: 1}},
	}, func() string { return backendAddr }, 4, 8)
	listener := listen(b)
	go server.Serve(listener)
	client := dial(b, listener)
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
