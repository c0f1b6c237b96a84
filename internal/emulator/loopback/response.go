package loopback

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	chunkSize    = 700 // bytes
	writeTimeout = 5 * time.Second
)

// response is an HTTP/1.1 response of a server.
type response struct {
	status    int
	attemptID string // empty: not stated
	fields    string // further header fields, each with its line end
	body      []byte
	closing   bool // the connection ends after it
	chunked   bool
}

func (r response) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	if r.attemptID != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", r.attemptID)
	}
	b.WriteString(r.fields)
	if r.closing {
		b.WriteString("Connection: close\r\n")
	} else {
		fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", int(serverIdleTimeout.Seconds()))
	}
	if r.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		b.Write(encodeChunks(r.body))
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(r.body))
		b.Write(r.body)
	}
	return b.Bytes()
}

// writeResponse writes a response; more tells whether the connection goes on.
func writeResponse(conn net.Conn, r response) (more bool) {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(r.encode())
	return err == nil && !r.closing
}

// encodeChunks returns a body in the chunked transfer coding (RFC 9112, 7.1).
func encodeChunks(body []byte) []byte {
	var b bytes.Buffer
	for chunk := range slices.Chunk(body, chunkSize) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// uniqueBody returns a body of a size that no other seal has.
func uniqueBody(seal string, size int) []byte {
	return bytes.Repeat([]byte(seal+"/"), size/(len(seal)+1)+1)[:size]
}

func checksum(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
