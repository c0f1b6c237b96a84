package configuration

import (
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// jsonReader reads JSON (RFC 8259) strictly and in one pass: what an operator sends must be read whole or not at all,
// and what is read is kept byte for byte beside it. A name given twice in one object is refused, for readers differ
// on which of the two holds.
type jsonReader struct {
	b  []byte
	at int
}

// maxDepth is how deep arrays and objects may lie within one another: real bodies need four.
const maxDepth = 64

// knownFields are the names that bodies are made of; they are not stored anew with each item.
var knownFields = func() map[string]string {
	m := map[string]string{}
	for _, f := range []string{"authority", "pathPrefix", "routeKind", "deadlineMs", "targetMs", "priority", "maxTries", "public", "backend",
		"weighted", "share", "apiKeys", "ratePerS", "burst", "healthPath", "maxConns", "protocol", "tlsMode", "maxHeaderBytes", "maxBodyBytes",
		"headerTimeoutMs", "idleTimeoutMs", "generation", "name", "idempotent", "mutating", "h1", "/health"} {
		m[f] = f
	}
	return m
}()

func (t *jsonReader) wrong(what string) error { return fmt.Errorf("byte %d: %s", t.at, what) }

func (t *jsonReader) space() {
	for t.at < len(t.b) && blank(t.b[t.at]) {
		t.at++
	}
}

func blank(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// next is the next byte that is no space; 0 at the end.
func (t *jsonReader) next() byte {
	t.space()
	if t.at == len(t.b) {
		return 0
	}
	return t.b[t.at]
}

// end wants nothing but space to follow.
func (t *jsonReader) end() error {
	if t.space(); t.at < len(t.b) {
		return t.wrong("more than one value")
	}
	return nil
}

// object reads an object; member reads the value of each name.
func (t *jsonReader) object(member func(name string) error) error {
	if t.next() != '{' {
		return t.wrong("no object")
	}
	t.at++
	for first := true; ; first = false {
		switch c := t.next(); {
		case c == '}':
			if first {
				t.at++
				return nil
			}
			return t.wrong("no name")
		case c != '"':
			return t.wrong("no name")
		}
		name, err := t.str()
		if err != nil {
			return err
		}
		if t.next() != ':' {
			return t.wrong("no colon")
		}
		t.at++
		t.space()
		if err := member(name); err != nil {
			return err
		}
		switch t.next() {
		case ',':
			t.at++
		case '}':
			t.at++
			return nil
		default:
			return t.wrong("no comma and no end of the object")
		}
	}
}

// array reads an array; element reads each value.
func (t *jsonReader) array(element func(i int) error) error {
	if t.next() != '[' {
		return t.wrong("no list")
	}
	t.at++
	if t.next() == ']' {
		t.at++
		return nil
	}
	for i := 0; ; i++ {
		t.space()
		if err := element(i); err != nil {
			return err
		}
		switch t.next() {
		case ',':
			t.at++
		case ']':
			t.at++
			return nil
		default:
			return t.wrong("no comma and no end of the list")
		}
	}
}

// value reads any value: a map[string]any, []any, string, float64 (infinite where it is too large), bool or nil.
func (t *jsonReader) value(depth int) (any, error) {
	if depth > maxDepth {
		return nil, t.wrong("too deep")
	}
	switch c := t.next(); c {
	case '{':
		m := make(map[string]any, 8)
		return m, t.object(func(name string) (err error) {
			if _, twice := m[name]; twice {
				return t.wrong(fmt.Sprintf("%.100q given twice", name))
			}
			m[name], err = t.value(depth + 1)
			return err
		})
	case '[':
		var list []any
		err := t.array(func(int) error {
			v, err := t.value(depth + 1)
			list = append(list, v)
			return err
		})
		return list, err
	case '"':
		return t.str()
	case 't':
		return true, t.literal("true")
	case 'f':
		return false, t.literal("false")
	case 'n':
		return nil, t.literal("null")
	default:
		return t.number()
	}
}

func (t *jsonReader) literal(s string) error {
	if len(t.b)-t.at < len(s) || string(t.b[t.at:t.at+len(s)]) != s {
		return t.wrong("no value")
	}
	t.at += len(s)
	return nil
}

func (t *jsonReader) number() (float64, error) {
	from := t.at
	digits := func() bool {
		start := t.at
		for t.at < len(t.b) && t.b[t.at]-'0' <= 9 {
			t.at++
		}
		return t.at > start
	}
	is := func(set string) bool {
		for i := 0; t.at < len(t.b) && i < len(set); i++ {
			if t.b[t.at] == set[i] {
				t.at++
				return true
			}
		}
		return false
	}
	is("-")
	if !is("0") && !digits() {
		return 0, t.wrong("no value")
	}
	if is(".") && !digits() {
		return 0, t.wrong("no digits behind the point")
	}
	if is("eE") {
		if is("+-"); !digits() {
			return 0, t.wrong("no digits in the exponent")
		}
	}
	f, _ := strconv.ParseFloat(string(t.b[from:t.at]), 64) // what was read is a number; out of range it is infinite
	return f, nil
}

// str reads a string.
func (t *jsonReader) str() (string, error) {
	t.at++ // its quote
	from := t.at
	var out []byte // once there was an escape
	for {
		if t.at == len(t.b) {
			return "", t.wrong("a string without an end")
		}
		switch c := t.b[t.at]; {
		case c == '"':
			raw := t.b[from:t.at]
			t.at++
			if out != nil {
				raw = append(out, raw...)
			}
			if s, ok := knownFields[string(raw)]; ok {
				return s, nil
			}
			if !utf8.Valid(raw) {
				return "", t.wrong("a string that is not UTF-8")
			}
			return string(raw), nil
		case c < ' ':
			return "", t.wrong("a control character in a string")
		case c == '\\':
			out = append(out, t.b[from:t.at]...)
			r, err := t.escape()
			if err != nil {
				return "", err
			}
			out = utf8.AppendRune(out, r)
			from = t.at
		default:
			t.at++
		}
	}
}

// escape reads what begins with a backslash. Half a surrogate pair stands for nothing: it becomes U+FFFD.
func (t *jsonReader) escape() (rune, error) {
	if t.at+1 >= len(t.b) {
		return 0, t.wrong("a string without an end")
	}
	c := t.b[t.at+1]
	t.at += 2
	switch c {
	case '"', '\\', '/':
		return rune(c), nil
	case 'b':
		return '\b', nil
	case 'f':
		return '\f', nil
	case 'n':
		return '\n', nil
	case 'r':
		return '\r', nil
	case 't':
		return '\t', nil
	case 'u':
		r, ok := t.four(t.at)
		if !ok {
			return 0, t.wrong("no four digits behind \\u")
		}
		t.at += 4
		if !utf16.IsSurrogate(r) {
			return r, nil
		}
		if t.at+6 <= len(t.b) && t.b[t.at] == '\\' && t.b[t.at+1] == 'u' {
			if low, ok := t.four(t.at + 2); ok {
				if both := utf16.DecodeRune(r, low); both != utf8.RuneError {
					t.at += 6
					return both, nil
				}
			}
		}
		return utf8.RuneError, nil
	}
	return 0, t.wrong("an unknown escape")
}

func (t *jsonReader) four(at int) (rune, bool) {
	if at+4 > len(t.b) {
		return 0, false
	}
	r, ok := hex(string(t.b[at : at+4]))
	return rune(r), ok
}

// hex reads a number of hexadecimal digits and nothing else.
func hex(s string) (n uint64, ok bool) {
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c >= '0' && c <= '9':
			n = n<<4 | uint64(c-'0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			n = n<<4 | uint64(c|0x20-'a'+10)
		default:
			return 0, false
		}
	}
	return n, s != ""
}

// compacted is a copy of valid JSON without the space outside of its strings.
func compacted(b []byte) []byte {
	n := 0
	each := func(keep func(byte)) {
		quoted := false
		for i := 0; i < len(b); i++ {
			c := b[i]
			if !quoted && blank(c) {
				continue
			}
			keep(c)
			if c == '\\' { // only in a string
				i++
				keep(b[i])
			} else if c == '"' {
				quoted = !quoted
			}
		}
	}
	each(func(byte) { n++ })
	out := make([]byte, 0, n)
	if n == len(b) {
		return append(out, b...)
	}
	each(func(c byte) { out = append(out, c) })
	return out
}

// quoted appends a string as JSON.
func quoted(b []byte, s string) []byte {
	b = append(b, '"')
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ':
			b = fmt.Appendf(b, `\u%04x`, c)
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
