package http1

import (
	"strconv"
)

var reasons = map[int]string{
	200: "OK", 201: "Created", 202: "Accepted", 204: "No Content", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 417: "Expectation Failed", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendHead begins an answer: the status line and the length of the body. Headers may follow; an
// empty line ends them.
func AppendHead(b []byte, status, length int) []byte {
	return AppendLength(AppendStatus(b, status), length)
}

// AppendStatus is an answer's status line alone.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	return append(b, "\r\n"...)
}

// AppendLength adds the length of the body.
func AppendLength(b []byte, length int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n"...)
}

// AppendFraming tells how the end of a body is known: by its length, or, where that is -1, by its last chunk.
func AppendFraming(b []byte, length int64) []byte {
	if length < 0 {
		return AppendField(b, "Transfer-Encoding", "chunked")
	}
	return AppendField(b, "Content-Length", strconv.FormatInt(length, 10))
}

// AppendRequestLine begins a request: its line, and the host.
func AppendRequestLine(b []byte, method, target, host string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendField(b, "Host", host)
}

// AppendField adds a header.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendSeconds adds a header that states a span in seconds, to the millisecond.
func AppendSeconds(b []byte, name string, seconds float64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendFloat(b, seconds, 'f', 3, 64)
	return append(b, "\r\n"...)
}

// ChunkRoom is what Chunk needs before a piece of a body, and ChunkEnd behind it, a last chunk without a trailer included.
const ChunkPrefix, ChunkSuffix = 10, 7

// Chunk makes one chunk, in place, of the n bytes that stand at ChunkRoom in b, so that a single write sends it. Without
// bytes there is nothing to send: an empty chunk would be the last.
func FrameChunk(b []byte, n int) []byte {
	if n == 0 {
		return nil
	}
	var size [ChunkPrefix]byte
	head := append(strconv.AppendInt(size[:0], int64(n), 16), "\r\n"...)
	begin := ChunkPrefix - len(head)
	copy(b[begin:], head)
	return append(b[begin:ChunkPrefix+n], "\r\n"...)
}
