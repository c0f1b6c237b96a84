package configuration

import (
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// jsonReader reads JSON (RFC 8259) strictly and in one pass. An operator's call is read completely or not at all, and
// the bytes of an item's body are kept in addition to the parsed value. A name that occurs twice in one object is
// rejected, because JSON readers differ on which of the two counts. Errors are *SyntaxError, or those of the functions
// that it calls.
type jsonReader struct {
	text   []byte
	offset int
}

// maxDepth is the deepest nesting of arrays and objects, in levels. It bounds the recursion; real bodies need four
// levels.
const maxDepth = 64

// Lengths in bytes: escapeBytes is that of a \uXXXX escape, and hexDigits that of its digits.
const (
	escapeBytes = 6
	hexDigits   = 4
)

// knownStrings holds names and values that occur in most bodies, so that they are not allocated for each item.
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

func (j *jsonReader) fail(problem string) error {
	return &SyntaxError{Offset: j.offset, Problem: problem}
}

func (j *jsonReader) skipSpace() {
	for j.offset < len(j.text) && isSpace(j.text[j.offset]) {
		j.offset++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// next skips space and returns the byte that follows, without consuming it; 0 at the end.
func (j *jsonReader) next() byte {
	j.skipSpace()
	if j.offset == len(j.text) {
		return 0
	}
	return j.text[j.offset]
}

// end fails if anything but space follows.
func (j *jsonReader) end() error {
	if j.skipSpace(); j.offset < len(j.text) {
		return j.fail("more than one value")
	}
	return nil
}

// object reads an object and calls member to read the value of each name.
func (j *jsonReader) object(member func(name string) error) error {
	if j.next() != '{' {
		return j.fail("no object")
	}
	j.offset++
	for first := true; ; first = false {
		if c := j.next(); c == '}' && first {
			j.offset++
			return nil
		} else if c != '"' {
			return j.fail("no name")
		}
		name, err := j.string()
		if err != nil {
			return err
		}
		if j.next() != ':' {
			return j.fail("no colon")
		}
		j.offset++
		j.skipSpace()
		if err := member(name); err != nil {
			return err
		}
		switch j.next() {
		case ',':
			j.offset++
		case '}':
			j.offset++
			return nil
		default:
			return j.fail("no comma and no end of the object")
		}
	}
}

// array reads an array and calls element to read each value.
func (j *jsonReader) array(element func(index int) error) error {
	if j.next() != '[' {
		return j.fail("no list")
	}
	j.offset++
	if j.next() == ']' {
		j.offset++
		return nil
	}
	for index := 0; ; index++ {
		j.skipSpace()
		if err := element(index); err != nil {
			return err
		}
		switch j.next() {
		case ',':
			j.offset++
		case ']':
			j.offset++
			return nil
		default:
			return j.fail("no comma and no end of the list")
		}
	}
}

// value reads any value as a map[string]any, []any, string, float64 (infinite if it is too large), bool or nil.
func (j *jsonReader) value(depth int) (any, error) {
	if depth > maxDepth {
		return nil, j.fail("too deep")
	}
	switch j.next() {
	case '{':
		m := make(map[string]any, 8)
		return m, j.object(func(name string) (err error) {
			if _, twice := m[name]; twice {
				return j.fail(fmt.Sprintf("%.100q given twice", name))
			}
			m[name], err = j.value(depth + 1)
			return err
		})
	case '[':
		var list []any
		err := j.array(func(int) error {
			v, err := j.value(depth + 1)
			list = append(list, v)
			return err
		})
		return list, err
	case '"':
		return j.string()
	case 't':
		return true, j.literal("true")
	case 'f':
		return false, j.literal("false")
	case 'n':
		return nil, j.literal("null")
	default:
		return j.number()
	}
}

func (j *jsonReader) literal(s string) error {
	if len(j.text)-j.offset < len(s) || string(j.text[j.offset:j.offset+len(s)]) != s {
		return j.fail("no value")
	}
	j.offset += len(s)
	return nil
}

func (j *jsonReader) number() (float64, error) {
	start := j.offset
	j.skipOne("-")
	if !j.skipOne("0") && !j.skipDigits() {
		return 0, j.fail("no value")
	}
	if j.skipOne(".") && !j.skipDigits() {
		return 0, j.fail("no digits behind the point")
	}
	if j.skipOne("eE") {
		if j.skipOne("+-"); !j.skipDigits() {
			return 0, j.fail("no digits in the exponent")
		}
	}
	// The syntax is valid, so the only possible error is a number out of range, which becomes infinite.
	f, _ := strconv.ParseFloat(string(j.text[start:j.offset]), 64)
	return f, nil
}

// skipDigits skips decimal digits, and reports whether there was any.
func (j *jsonReader) skipDigits() bool {
	start := j.offset
	for j.offset < len(j.text) && j.text[j.offset]-'0' <= 9 {
		j.offset++
	}
	return j.offset > start
}

// skipOne skips a byte if it is one of a set, and reports whether it was.
func (j *jsonReader) skipOne(set string) bool {
	for i := 0; j.offset < len(j.text) && i < len(set); i++ {
		if j.text[j.offset] == set[i] {
			j.offset++
			return true
		}
	}
	return false
}

// string reads a string. The next byte must be its opening quote.
func (j *jsonReader) string() (string, error) {
	j.offset++
	start := j.offset // start of the bytes that are not yet copied to unescaped
	var unescaped []byte
	for {
		if j.offset == len(j.text) {
			return "", j.fail("a string without an end")
		}
		switch c := j.text[j.offset]; {
		case c == '"':
			raw := j.text[start:j.offset]
			j.offset++
			if unescaped != nil {
				raw = append(unescaped, raw...)
			}
			if s, ok := knownStrings[string(raw)]; ok {
				return s, nil
			}
			if !utf8.Valid(raw) {
				return "", j.fail("a string that is not UTF-8")
			}
			return string(raw), nil
		case c < ' ':
			return "", j.fail("a control character in a string")
		case c == '\\':
			unescaped = append(unescaped, j.text[start:j.offset]...)
			char, err := j.escape()
			if err != nil {
				return "", err
			}
			unescaped = utf8.AppendRune(unescaped, char)
			start = j.offset
		default:
			j.offset++
		}
	}
}

// escape reads an escape sequence. Half of a surrogate pair encodes no character and becomes U+FFFD.
func (j *jsonReader) escape() (rune, error) {
	if j.offset+1 >= len(j.text) {
		return 0, j.fail("a string without an end")
	}
	c := j.text[j.offset+1]
	j.offset += 2
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
		return j.unicodeEscape()
	}
	return 0, j.fail("an unknown escape")
}

// unicodeEscape reads the digits after \u and, if they are half of a surrogate pair, the other half.
func (j *jsonReader) unicodeEscape() (rune, error) {
	char, ok := j.codeUnit(j.offset)
	if !ok {
		return 0, j.fail("no four digits behind \\u")
	}
	j.offset += hexDigits
	if !utf16.IsSurrogate(char) {
		return char, nil
	}
	if j.offset+escapeBytes <= len(j.text) && j.text[j.offset] == '\\' && j.text[j.offset+1] == 'u' {
		if low, ok := j.codeUnit(j.offset + 2); ok {
			if both := utf16.DecodeRune(char, low); both != utf8.RuneError {
				j.offset += escapeBytes
				return both, nil
			}
		}
	}
	return utf8.RuneError, nil
}

// codeUnit returns the UTF-16 code unit that the four hexadecimal digits at an offset encode.
func (j *jsonReader) codeUnit(offset int) (rune, bool) {
	if offset+hexDigits > len(j.text) {
		return 0, false
	}
	unit, ok := parseHex(string(j.text[offset : offset+hexDigits]))
	return rune(unit), ok
}
