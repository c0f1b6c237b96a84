package configuration

import "fmt"

// parseHex reads a number of hexadecimal digits and nothing else.
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

// compacted is a copy of valid JSON without the space outside of its strings, of exactly the length that it needs.
func compacted(text []byte) []byte {
	n := 0
	significantBytes(text, func(byte) { n++ })
	out := make([]byte, 0, n)
	if n == len(text) {
		return append(out, text...)
	}
	significantBytes(text, func(c byte) { out = append(out, c) })
	return out
}

// significantBytes goes through valid JSON without the space outside of its strings.
func significantBytes(text []byte, yield func(byte)) {
	inString := false
	for i := 0; i < len(text); i++ {
		c := text[i]
		if !inString && isSpace(c) {
			continue
		}
		yield(c)
		switch c {
		case '\\': // only in a string
			i++
			yield(text[i])
		case '"':
			inString = !inString
		}
	}
}

// quoted appends a string as JSON.
func quoted(out []byte, s string) []byte {
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
