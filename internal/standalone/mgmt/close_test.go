package mgmt

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/logging/logtest"
)

// pipeListener accepts connections in memory, so that a test can run in simulated time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (pl *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	pl.conns <- server
	return client
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-pl.conns:
		return c, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

func (pl *pipeListener) Close() error {
	close(pl.closed)
	return nil
}

func (pl *pipeListener) Addr() net.Addr { return nil }

// When the listener closes, Serve must cut off a caller without a call at once, and must return only after the call
// that is being handled has been answered.
func TestServeWaitsForCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const handling = time.Minute
		s := &Server{Log: logtest.Discard(), Handler: func(string, string) (bool, []string) {
			time.Sleep(handling) // in simulated time
			return true, nil
		}}
		l := newPipeListener()
		served := make(chan time.Time, 1)
		go func() {
			s.Serve(l)
			served <- time.Now()
		}()
		silent, calling := l.dial(), l.dial()
		io.WriteString(calling, "WAIT\n")
		synctest.Wait()

		closedAt := time.Now()
		l.Close()
		if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("a silent caller: got error %v, want %v", err, io.EOF)
		}
		if waited := time.Since(closedAt); waited != 0 {
			t.Errorf("a silent caller was cut off %v after the listener closed, want at once", waited)
		}
		answer, err := io.ReadAll(calling)
		if err != nil || string(answer) != "ACK\n" {
			t.Errorf("the call that was handled: got answer %q, error %v; want ACK", answer, err)
		}
		if took := (<-served).Sub(closedAt); took != handling {
			t.Errorf("Serve returned %v after the listener closed, want %v", took, handling)
		}
	})
}
