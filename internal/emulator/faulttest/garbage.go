package faulttest

import (
	"crypto/rand"
	"net"
)

const (
	garbagePackets = 40 // number of packets that a member gets

	// otherFleetHeader is the beginning of a packet of another fleet: memberlist's label header, with the label other.
	otherFleetHeader = "\xf4\x05other"
)

// garbageSizes are the sizes of the packets in bytes, in turn. The last size is larger than any packet of the fleet.
var garbageSizes = []int{1, 30, 1400, 9000}

// sendGarbage sends a member packets and a stream that are not of its fleet. Every eighth packet claims to be of
// another fleet; the others are random bytes.
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
