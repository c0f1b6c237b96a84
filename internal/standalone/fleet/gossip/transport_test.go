package gossip

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// listeningTransport imitates memberlist's transport on sockets: its listener passes on each packet before it ends, and
// Shutdown waits for the listener.
type listeningTransport struct {
	memberlist.NodeAwareTransport
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	listeners sync.WaitGroup
}

func (lt *listeningTransport) PacketCh() <-chan *memberlist.Packet { return lt.packets }
func (lt *listeningTransport) StreamCh() <-chan net.Conn           { return lt.streams }

func (lt *listeningTransport) Shutdown() error {
	lt.listeners.Wait()
	return nil
}

// TestTransportShutdownWithPendingPackets checks that packets and streams that arrive during a shutdown, and are no
// longer read, don't block the shutdown.
func TestTransportShutdownWithPendingPackets(t *testing.T) {
	const pending = 2 * packetQueueLength
	inner := &listeningTransport{packets: make(chan *memberlist.Packet), streams: make(chan net.Conn)}
	outer := wrapTransport(inner, &meter{}, func() bool { return false })
	closed := make(chan struct{})
	inner.listeners.Go(func() {
		for range pending {
			inner.packets <- &memberlist.Packet{Buf: []byte{1}}
		}
		local, remote := net.Pipe()
		inner.streams <- local
		remote.Read(make([]byte, 1)) // returns when the stream is closed
		close(closed)
	})
	ended := make(chan error, 1)
	go func() { ended <- outer.Shutdown() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("shutdown: got %v, want none", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the shutdown hangs")
	}
	<-closed
}
