package fakes

import (
	"io"
	"net"
	"net/http"

	jsoniter "github.com/json-iterator/go"
)

// loopbackAddr is a loopback address for which the operating system chooses a free port.
const loopbackAddr = "127.0.0.1:0"

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// httpServer is the HTTP server of one fake. The zero value is a server that has not been started.
type httpServer struct {
	server *http.Server
	addr   string
	served chan struct{} // closed when the server's goroutine has ended
}

// start listens on loopback and serves until Stop. It returns a *ListenError if it cannot listen.
func (h *httpServer) start(name string, server *http.Server) error {
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return &ListenError{Server: name, Err: err}
	}
	h.server, h.addr, h.served = server, l.Addr().String(), make(chan struct{})
	go func() {
		defer close(h.served)
		server.Serve(l)
	}()
	return nil
}

// Addr returns the host and port at which the server listens.
func (h *httpServer) Addr() string { return h.addr }

// Stop closes the listener and all connections at once. It does nothing if the server was not started.
func (h *httpServer) Stop() {
	if h.server == nil {
		return
	}
	h.server.Close()
	<-h.served
}

// abortConnection writes raw bytes to the connection of a request, and closes it without a complete response.
func abortConnection(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	io.WriteString(conn, text)
}
