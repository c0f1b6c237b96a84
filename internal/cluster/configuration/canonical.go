package configuration

import (
	"bytes"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/mutants"
)

// Two bodies have the same content where they are one JSON value (RFC 8259): the order of members, space, and the
// spelling of numbers and strings are the sender's, and a client may well encode a call anew before it sends it
// again. The generation at the top is left out: it is the item's version, which has spellings of its own.

// canonicalBody is a body in the one form that all its spellings share. A body that can't be read is its own form.
func canonicalBody(body []byte) []byte {
	j := jsonReader{text: body}
	out, err := j.canonical(make([]byte, 0, len(body)), 0)
	if err != nil || j.end() != nil {
		return body
	}
	return out
}

// digest is a hash of an item's content. It is stored, so it must not change.
func (i Item) digest() uint64 {
	h := fnv.New64a()
	if i.Deleted {
		h.Write([]byte{0})
	} else {
		h.Write(canonicalBody(i.Body))
	}
	return h.Sum64()
}

// equalBodies reports whether two bodies are one value.
func equalBodies(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	return bytes.Equal(canonicalBody(a), canonicalBody(b)) && !mutants.On("configuration/byte-for-byte")
}

// canonical reads a value and appends its canonical form.
func (j *jsonReader) canonical(out []byte, depth int) ([]byte, error) {
	if depth > maxDepth {
		return nil, j.fail("too deep")
	}
	switch j.next() {
	case '{':
		return j.canonicalObject(out, depth)
	case '[':
		out = append(out, '[')
		err := j.array(func(int) (err error) {
			out, err = j.canonical(out, depth+1)
			out = append(out, ',')
			return err
		})
		return append(out, ']'), err
	case '"':
		s, err := j.string()
		return quoted(out, s), err
	case 't', 'f', 'n':
		start := j.offset
		_, err := j.value(depth)
		return append(out, j.text[start:j.offset]...), err
	}
	start := j.offset
	_, err := j.number()
	return canonicalNumber(out, string(j.text[start:j.offset])), err
}

// canonicalObject sorts the members by their names.
func (j *jsonReader) canonicalObject(out []byte, depth int) ([]byte, error) {
	type member struct {
		name  string
		value []byte
	}
	var members []member
	err := j.object(func(name string) error {
		value, err := j.canonical(nil, depth+1)
		if depth > 0 || name != "generation" {
			members = append(members, member{name, value})
		}
		return err
	})
	slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.name, b.name) })
	out = append(out, '{')
	for _, m := range members {
		out = append(quoted(out, m.name), ':')
		out = append(append(out, m.value...), ',')
	}
	return append(out, '}'), err
}

// canonicalNumber appends a number as an integer without trailing zeros and a power of ten. Nothing is lost, as it
// would be in binary fractions: two numbers have the same form only if they are equal.
func canonicalNumber(out []byte, number string) []byte {
	digits, exponent := number, 0
	if e := strings.IndexAny(number, "eE"); e >= 0 {
		parsed, err := strconv.ParseInt(number[e+1:], 10, 32)
		if err != nil {
			return append(out, number...) // beyond any use: its own form
		}
		digits, exponent = number[:e], int(parsed)
	}
	digits, negative := strings.CutPrefix(digits, "-")
	integer, fraction, _ := strings.Cut(digits, ".")
	digits = strings.TrimLeft(integer+fraction, "0")
	exponent -= len(fraction)
	significant := strings.TrimRight(digits, "0")
	exponent += len(digits) - len(significant)
	if significant == "" {
		return append(out, '0')
	}
	if negative {
		out = append(out, '-')
	}
	out = append(append(out, significant...), 'e')
	return strconv.AppendInt(out, int64(exponent), 10)
}
