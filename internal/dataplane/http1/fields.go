package http1

import (
	"maps"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHop are the fields that concern a single connection or the framing on it (RFC 9110, 7.6.1). They are not
// forwarded, because the fields of the next connection are written anew.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// forbiddenTrailers are fields that have a meaning only in the head, before the body (RFC 9110, 6.5.1).
var forbiddenTrailers = map[string]bool{
	"Authorization":    true,
	"Cache-Control":    true,
	"Content-Encoding": true,
	"Content-Range":    true,
	"Content-Type":     true,
	"Max-Forwards":     true,
	"Range":            true,
	"Retry-After":      true,
	"Set-Cookie":       true,
}

// AppendFields appends the end-to-end fields of a header, sorted by name. It omits hop-by-hop fields, fields that the
// Connection field names, and the fields in except. The values of a field keep their order.
func AppendFields(b []byte, h textproto.MIMEHeader, except map[string]bool) []byte {
	var array [16]string
	names := array[:0]
	for name := range h {
		if !hopByHop[name] && !except[name] {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return b
	}
	slices.Sort(names)
	for _, name := range names {
		if listedInConnection(h["Connection"], name) {
			continue
		}
		for _, value := range h[name] {
			b = AppendField(b, name, value)
		}
	}
	return b
}

// listedInConnection reports whether the values of a Connection field include the name of another field.
func listedInConnection(connection []string, name string) bool {
	return slices.ContainsFunc(connection, func(value string) bool {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
		return false
	})
}

// AppendLastChunk appends the last chunk of a chunked body and the trailer. It omits the trailer fields that
// AppendFields omits, and those that are not allowed in a trailer.
func AppendLastChunk(b []byte, trailer textproto.MIMEHeader, except map[string]bool) []byte {
	b = append(b, "0\r\n"...)
	if len(trailer) > 0 {
		allowed := maps.Clone(trailer)
		maps.DeleteFunc(allowed, func(name string, _ []string) bool { return forbiddenTrailers[name] })
		b = AppendFields(b, allowed, except)
	}
	return append(b, "\r\n"...)
}

// HasForbiddenTrailer reports whether a trailer has a hop-by-hop field, or one of decisionFields, the fields that its
// receiver bases decisions on. Readers that ignore trailers would decide differently from readers that use them.
func HasForbiddenTrailer(trailer textproto.MIMEHeader, decisionFields map[string]bool) bool {
	for name := range trailer {
		if hopByHop[name] || decisionFields[name] {
			return true
		}
	}
	return false
}

// validFieldValue reports whether a field's value can be forwarded. It rejects control characters other than the tab,
// because a line end or a NUL would make other readers see a different message (RFC 9110, 5.5).
func validFieldValue(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// validFieldName reports whether a field's name is a token (RFC 9110, 5.6.2).
func validFieldName(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
