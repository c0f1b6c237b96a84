package proxy

import (
	"net"
	"net/http"
	"time"

	"mulleinrouter/internal/dataplane/http1"
)

const (
	readinessPath    = "/readiness"
	readinessTimeout = 5 * time.Second // for awaiting, reading and answering one request
)

// serveReadiness answers the platform's readiness checks until the listener is closed. A connection ends when the
// client closes it, after readinessTimeout without a complete request, or with the process.
func serveReadiness(listener net.Listener, ready func() bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveReadinessChecks(conn, ready)
	}
}

// serveReadinessChecks answers the readiness checks on one connection.
func serveReadinessChecks(conn net.Conn, ready func() bool) {
	defer conn.Close()
	for reader := http1.NewReader(conn); ; {
		conn.SetDeadline(time.Now().Add(readinessTimeout))
		if reader.Wait() != nil {
			return
		}
		request, err := reader.Head()
		if err != nil || request.HasBody() {
			return
		}
		answer := http1.AppendHead(nil, readinessStatus(request.Target, ready), 0)
		if request.Close {
			answer = http1.AppendField(answer, "Connection", "close")
		}
		if _, err := conn.Write(append(answer, "\r\n"...)); err != nil || request.Close {
			return
		}
	}
}

func readinessStatus(path string, ready func() bool) int {
	switch {
	case path != readinessPath:
		return http.StatusNotFound
	case ready():
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
