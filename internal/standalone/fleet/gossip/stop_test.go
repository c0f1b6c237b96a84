package gossip

import (
	"io"
	"net"
	"testing"
	"time"

	"mulleinrouter/internal/logging/logtest"
)

// TestStopEndsPendingJoin checks that Stop returns before the protocol's time-out, and that the stream is closed by
// then, if a member accepts a stream and never answers.
func TestStopEndsPendingJoin(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	f, err := Start(Options{
		Fleet:  "test",
		Name:   "n1",
		Listen: "127.0.0.1:0",
		Join:   []string{silent.Addr().String()},
		Expect: 2,
		Log:    logtest.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	c, err := silent.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	begun := time.Now()
	f.Stop()
	if took := time.Since(begun); took >= tcpTimeout {
		t.Errorf("Stop took %v, want less than the protocol's time-out of %v", took, tcpTimeout)
	}
	c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("the stream: got %v, want its end", err)
	}
}
