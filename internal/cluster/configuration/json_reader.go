package configuration

import (
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// jsonReader reads JSON (RFC 8259) strictly and in one pass: an operator's call is read completely or not at all, and
// its bytes are kept beside what was read. A name that is given twice in one object is rejected, since readers differ
// on which of the two counts. Its errors are *SyntaxError, or those of the functions that it calls.
type jsonReader struct {
	text   []byte
	offset int
}

// maxDepth is how deep arrays and objects may be nested: real bodies need four levels.
const maxDepth = 64

// escapeBytes is the length of \uXXXX, of which hexDigits are digits.
const (
	escapeBytes = 6
	hexDigits   = 4
)

// knownStrings are names and values that most bodies have: they are not allocated anew for each item.
var knownStrings = internStrings(
	"authority", "pathPrefix", "routeKind", "deadlineMs", "targetMs", "priority", "maxTries",
	"public", "backend", "weighted", "share",
	"apiKeys", "ratePerS", "burst",
	"healthPath", "maxConns", "protocol", "tlsMode",
	"maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs",
	"generation", "name", "idempotent", "mutating", "h1", "/health",
)

func internStrings(list ...string) map[string]string {
	interned := map[string]string{}
	for _, s := range list {
		interned[s] = s
	}
	return interned
}

func (r *jsonReader) fail(problem string) error {
	return &SyntaxError{Offset: r.offset, Problem: problem}
}

func (r *jsonReader) skipSpace() {
	for r.offset < len(r.text) && isSpace(r.text[r.offset]) {
		r.offset++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// next is the next byte that is no space; 0 at the end.
func (r *jsonReader) next() byte {
	r.skipSpace()
	if r.offset == len(r.text) {
		return 0
	}
	return r.text[r.offset]
}

// end fails if anything but space follows.
func (r *jsonReader) end() error {
	if r.skipSpace(); r.offset < len(r.text) {
		return r.fail("more than one value")
	}
	return nil
}

// object reads an object; member reads the value of each name.
func (r *jsonReader) object(member func(name string) error) error {
	if r.next() != '{' {
		return r.fail("no object")
	}
	r.offset++
	for first := true; ; first = false {
		if c := r.next(); c == '}' && first {
			r.offset++
			return nil
		} else if c != '"' {
			return r.fail("no name")
		}
		name, err := r.string()
		if err != nil {
			return err
		}
		if r.next() != ':' {
			return r.fail("no colon")
		}
		r.offset++
		r.skipSpace()
		if err := member(name); err != nil {
			return err
		}
		switch r.next() {
		case ',':
			r.offset++
		case '}':
			r.offset++
			return nil
		default:
			return r.fail("no comma and no end of the object")
		}
	}
}

// array reads an array; element reads each value.
func (r *jsonReader) array(element func(index int) error) error {
	if r.next() != '[' {
		return r.fail("no list")
	}
	r.offset++
	if r.next() == ']' {
		r.offset++
		return nil
	}
	for index := 0; ; index++ {
		r.skipSpace()
		if err := element(index); err != nil {
			return err
		}
		switch r.next() {
		case ',':
			r.offset++
		case ']':
			r.offset++
			return nil
		default:
			return r.fail("no comma and no end of the list")
		}
	}
}

// value reads any value: a map[string]any, []any, string, float64 (infinite where it is too large), bool or nil.
func (r *jsonReader) value(depth int) (any, error) {
	if depth > maxDepth {
		return nil, r.fail("too deep")
	}
	switch r.next() {
	case '{':
		m := make(map[string]any, 8)
		return m, r.object(func(name string) (err error) {
			if _, twice := m[name]; twice {
				return r.fail(fmt.Sprintf("%.100q given twice", name))
			}
			m[name], err = r.value(depth + 1)
			return err
		})
	case '[':
		var list []any
		err := r.array(func(int) error {
			v, err := r.value(depth + 1)
			list = append(list, v)
			return err
		})
		return list, err
	case '"':
		return r.string()
	case 't':
		return true, r.literal("true")
	case 'f':
		return false, r.literal("false")
	case 'n':
		return nil, r.literal("null")
	default:
		return r.number()
	}
}

func (r *jsonReader) literal(s string) error {
	if len(r.text)-r.offset < len(s) || string(r.text[r.offset:r.offset+len(s)]) != s {
		return r.fail("no value")
	}
	r.offset += len(s)
	return nil
}

func (r *jsonReader) number() (float64, error) {
	start := r.offset
	r.skipOne("-")
	if !r.skipOne("0") && !r.skipDigits() {
		return 0, r.fail("no value")
	}
	if r.skipOne(".") && !r.skipDigits() {
		return 0, r.fail("no digits behind the point")
	}
	if r.skipOne("eE") {
		if r.skipOne("+-"); !r.skipDigits() {
			return 0, r.fail("no digits in the exponent")
		}
	}
	f, _ := strconv.ParseFloat(string(r.text[start:r.offset]), 64) // it is a number; out of range it is infinite
	return f, nil
}

// skipDigits skips decimal digits, and reports whether there was any.
func (r *jsonReader) skipDigits() bool {
	start := r.offset
	for r.offset < len(r.text) && r.text[r.offset]-'0' <= 9 {
		r.offset++
	}
	return r.offset > start
}

// skipOne skips a byte if it is one of a set, and reports whether it was.
func (r *jsonReader) skipOne(set string) bool {
	for i := 0; r.offset < len(r.text) && i < len(set); i++ {
		if r.text[r.offset] == set[i] {
			r.offset++
			return true
		}
	}
	return false
}

// string reads a string, whose opening quote is next.
func (r *jsonReader) string() (string, error) {
	r.offset++
	start := r.offset // of the bytes that are not in unescaped yet
	var unescaped []byte
	for {
		if r.offset == len(r.text) {
			return "", r.fail("a string without an end")
		}
		switch c := r.text[r.offset]; {
		case c == '"':
			raw := r.text[start:r.offset]
			r.offset++
			if unescaped != nil {
				raw = append(unescaped, raw...)
			}
			if s, ok := knownStrings[string(raw)]; ok {
				return s, nil
			}
			if !utf8.Valid(raw) {
				return "", r.fail("a string that is not UTF-8")
			}
			return string(raw), nil
		case c < ' ':
			return "", r.fail("a control character in a string")
		case c == '\\':
			unescaped = append(unescaped, r.text[start:r.offset]...)
			char, err := r.escape()
			if err != nil {
				return "", err
			}
			unescaped = utf8.AppendRune(unescaped, char)
			start = r.offset
		default:
			r.offset++
		}
	}
}

// escape reads what begins with a backslash. Half of a surrogate pair stands for nothing: it becomes U+FFFD.
func (r *jsonReader) escape() (rune, error) {
	if r.offset+1 >= len(r.text) {
		return 0, r.fail("a string without an end")
	}
	c := r.text[r.offset+1]
	r.offset += 2
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
		return r.unicodeEscape()
	}
	return 0, r.fail("an unknown escape")
}

// unicodeEscape reads the digits behind \u, and the other half of a surrogate pair.
func (r *jsonReader) unicodeEscape() (rune, error) {
	char, ok := r.codeUnit(r.offset)
	if !ok {
		return 0, r.fail("no four digits behind \\u")
	}
	r.offset += hexDigits
	if !utf16.IsSurrogate(char) {
		return char, nil
	}
	if r.offset+escapeBytes <= len(r.text) && r.text[r.offset] == '\\' && r.text[r.offset+1] == 'u' {
		if low, ok := r.codeUnit(r.offset + 2); ok {
			if both := utf16.DecodeRune(char, low); both != utf8.RuneError {
				r.offset += escapeBytes
				return both, nil
			}
		}
	}
	return utf8.RuneError, nil
}

// codeUnit is the four hexadecimal digits at an offset.
func (r *jsonReader) codeUnit(offset int) (rune, bool) {
	if offset+hexDigits > len(r.text) {
		return 0, false
	}
	unit, ok := parseHex(string(r.text[offset : offset+hexDigits]))
	return rune(unit), ok
}
