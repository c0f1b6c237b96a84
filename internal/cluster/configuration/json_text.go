package configuration

import "fmt"

// parseHex parses a text that consists of hexadecimal digits alone.
func parseHex(s string) (n uint64, ok bool) {
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

// compactJSON returns a copy of valid JSON without the space outside of its strings, in a slice of exactly the needed
// length.
func compactJSON(text []byte) []byte {
	n := 0
	significantBytes(text, func(byte) { n++ })
	out := make([]byte, 0, n)
	if n == len(text) {
		return append(out, text...)
	}
	significantBytes(text, func(c byte) { out = append(out, c) })
	return out
}

// significantBytes calls yield for each byte of valid JSON, except for the space outside of its strings.
func significantBytes(text []byte, yield func(byte)) {
	inString := false
	for i := 0; i < len(text); i++ {
		c := text[i]
		if !inString && isSpace(c) {
			continue
		}
		yield(c)
		switch c {
		case '\\': // occurs only in a string
			i++
			yield(text[i])
		case '"':
			inString = !inString
		}
	}
}

// appendQuoted appends a text as a JSON string.
func appendQuoted(out []byte, s string) []byte {
	out = append(out, '"')
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			out = append(out, '\\', c)
		case c < ' ':
			out = fmt.Appendf(out, `\u%04x`, c)
		default:
			out = append(out, c)
		}
	}
	return append(out, '"')
}
