package http1

import "strconv"

// reasons are the reason phrases of status lines.
var reasons = map[int]string{
	200: "OK",
	201: "Created",
	202: "Accepted",
	204: "No Content",
	400: "Bad Request",
	401: "Unauthorized",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	413: "Content Too Large",
	417: "Expectation Failed",
	429: "Too Many Requests",
	431: "Request Header Fields Too Large",
	500: "Internal Server Error",
	502: "Bad Gateway",
	503: "Service Unavailable",
	504: "Gateway Timeout",
}

// AppendHead appends the status line of an answer and the length of its body in bytes. The caller may append further
// fields, and then appends the empty line that ends the head.
func AppendHead(b []byte, status, length int) []byte {
	return AppendLength(AppendStatus(b, status), length)
}

// AppendStatus appends an answer's status line.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	return append(b, "\r\n"...)
}

// AppendLength appends the field that states the length of the body, in bytes.
func AppendLength(b []byte, length int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n"...)
}

// AppendFraming appends the field that states how the end of the body is found: Content-Length with the length in
// bytes, or Transfer-Encoding: chunked if the length is -1.
func AppendFraming(b []byte, length int64) []byte {
	if length < 0 {
		return AppendField(b, "Transfer-Encoding", "chunked")
	}
	return AppendField(b, "Content-Length", strconv.FormatInt(length, 10))
}

// AppendRequestLine appends the request line and the Host field of a request.
func AppendRequestLine(b []byte, method, target, host string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendField(b, "Host", host)
}

// AppendField appends a header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendSeconds appends a field whose value is a duration in seconds with three decimal places.
func AppendSeconds(b []byte, name string, seconds float64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendFloat(b, seconds, 'f', 3, 64)
	return append(b, "\r\n"...)
}

// ChunkPrefix is how many bytes FrameChunk needs before the content of a chunk: up to eight hexadecimal digits of the
// size, and a line end. ChunkSuffix is how many bytes follow the content: its line end, and the last chunk without a
// trailer.
const (
	ChunkPrefix = 10
	ChunkSuffix = 7
)

// FrameChunk frames the n bytes that begin at b[ChunkPrefix] as one chunk, in place, so that a single write sends it.
// If n is 0 it returns nil, because an empty chunk would end the body.
func FrameChunk(b []byte, n int) []byte {
	if n == 0 {
		return nil
	}
	var size [ChunkPrefix]byte
	head := append(strconv.AppendInt(size[:0], int64(n), 16), "\r\n"...)
	start := ChunkPrefix - len(head)
	copy(b[start:], head)
	return append(b[start:ChunkPrefix+n], "\r\n"...)
}
