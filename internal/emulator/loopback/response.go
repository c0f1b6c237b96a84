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
	chunkSize    = 700             // size of the chunks of a chunked body, bytes
	writeTimeout = 5 * time.Second // for writing a response
)

// response is an HTTP/1.1 response of a server.
type response struct {
	status    int
	attemptID string // value of X-Attempt-Id; empty: no such field
	fields    string // additional header fields, each with its line end
	body      []byte
	closing   bool // the server closes the connection after the response
	chunked   bool // the body is sent in chunked transfer coding
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

// writeResponse writes a response; more reports whether the connection can be used for another request.
func writeResponse(conn net.Conn, r response) (more bool) {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(r.encode())
	return err == nil && !r.closing
}

// encodeChunks encodes a body in the chunked transfer coding (RFC 9112, section 7.1).
func encodeChunks(body []byte) []byte {
	var b bytes.Buffer
	for chunk := range slices.Chunk(body, chunkSize) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// uniqueBody returns a body of the given size that consists of repetitions of seal, so that it is unique for the seal.
func uniqueBody(seal string, size int) []byte {
	return bytes.Repeat([]byte(seal+"/"), size/(len(seal)+1)+1)[:size]
}

func checksum(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
