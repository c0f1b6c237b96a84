package http1

import (
	"maps"
	"net/textproto"
	"slices"
	"strings"
)

// perHop are the fields that concern one connection, or the framing on it (RFC 9110, 7.6.1): each side writes its own.
var hopByHop = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// unfitTrailer are fields that mean something before a body, not behind it (RFC 9110, 6.5.1).
var forbiddenTrailers = map[string]bool{
	"Authorization": true, "Cache-Control": true, "Content-Encoding": true, "Content-Range": true, "Content-Type": true,
	"Max-Forwards": true, "Range": true, "Retry-After": true, "Set-Cookie": true,
}

// AppendFields adds those fields of a header that are meant for the other end, by name: not those of one connection, not
// those that its Connection field names, and none that except has. Values of one name keep their order.
func AppendFields(b []byte, h textproto.MIMEHeader, except map[string]bool) []byte {
	var names [16]string
	all := names[:0]
	for name := range h {
		if !hopByHop[name] && !except[name] {
			all = append(all, name)
		}
	}
	if len(all) == 0 {
		return b
	}
	slices.Sort(all)
	for _, name := range all {
		if !connectionNames(h["Connection"], name) {
			for _, value := range h[name] {
				b = AppendField(b, name, value)
			}
		}
	}
	return b
}

// named tells whether a Connection field names another one.
func connectionNames(connection []string, name string) bool {
	return slices.ContainsFunc(connection, func(v string) bool {
		for option := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
		return false
	})
}

// AppendLast ends a chunked body, with those fields of a trailer that are meant for the other end and may stand there.
func AppendLastChunk(b []byte, trailer textproto.MIMEHeader, except map[string]bool) []byte {
	b = append(b, "0\r\n"...)
	if len(trailer) > 0 {
		fit := maps.Clone(trailer)
		maps.DeleteFunc(fit, func(name string, _ []string) bool { return forbiddenTrailers[name] })
		b = AppendFields(b, fit, except)
	}
	return append(b, "\r\n"...)
}

// clean tells whether a field's value can be passed on: a line end or a NUL in it would be another message elsewhere
// (RFC 9110, 5.5).
func validFieldValue(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isName tells whether a field's name is a token (RFC 9110, 5.6.2).
func validFieldName(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return s != ""
}

// Misplaced tells whether a trailer has a field that frames a message, or one of those that decide: behind the body it would
// be one thing to whoever reads it and another to whoever does not.
func HasForbiddenTrailer(trailer textproto.MIMEHeader, deciding map[string]bool) bool {
	for name := range trailer {
		if hopByHop[name] || deciding[name] {
			return true
		}
	}
	return false
}
