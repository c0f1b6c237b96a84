package faulttest

import (
	"crypto/rand"
	"net"
)

const (
	garbagePackets = 40

	// otherFleetHeader is how the packets of another fleet begin: memberlist's header with the fleet's label.
	otherFleetHeader = "\xf4\x05other"
)

// garbageSizes are those of the packets, in turn. The last ones are longer than a packet of the fleet.
var garbageSizes = []int{1, 30, 1400, 9000}

// sendGarbage sends a member packets and a stream that are not of its fleet. Each eighth packet claims to be of another
// fleet, the rest is random.
func (n *node) sendGarbage() error {
	packets, err := net.Dial("udp4", n.gossipAddr)
	if err != nil {
		return wrapSetup(err)
	}
	defer packets.Close()
	for i := range garbagePackets {
		packet := make([]byte, garbageSizes[i%len(garbageSizes)])
		rand.Read(packet)
		if i%8 == 3 {
			copy(packet, otherFleetHeader)
		}
		packets.Write(packet)
	}
	stream, err := net.Dial("tcp4", n.gossipAddr)
	if err != nil {
		return wrapSetup(err)
	}
	defer stream.Close()
	stream.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	return nil
}
