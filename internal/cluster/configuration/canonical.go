package configuration

import (
	"bytes"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/mutants"
)

// Two bodies have the same content if they are the same JSON value (RFC 8259). The order of members, the white space,
// and the spelling of numbers and strings may differ, because a client may encode a call again before it repeats it.
// The generation at the top level is left out: it is the item's version, which can be spelled in several ways.

// canonicalBody returns the canonical form of a body, which all of its spellings share. A body that cannot be parsed is
// returned unchanged.
func canonicalBody(body []byte) []byte {
	j := jsonReader{text: body}
	out, err := j.appendCanonical(make([]byte, 0, len(body)), 0)
	if err != nil || j.end() != nil {
		return body
	}
	return out
}

// digest returns a hash of the item's content. Digests are stored in histories, so the hash must not change.
func (i Item) digest() uint64 {
	h := fnv.New64a()
	if i.Deleted {
		h.Write([]byte{0})
	} else {
		h.Write(canonicalBody(i.Body))
	}
	return h.Sum64()
}

// equalBodies reports whether two bodies are the same JSON value.
func equalBodies(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	return bytes.Equal(canonicalBody(a), canonicalBody(b)) && !mutants.On("configuration/byte-for-byte")
}

// appendCanonical reads a value and appends its canonical form.
func (j *jsonReader) appendCanonical(out []byte, depth int) ([]byte, error) {
	if depth > maxDepth {
		return nil, j.fail("too deep")
	}
	switch j.next() {
	case '{':
		return j.appendCanonicalObject(out, depth)
	case '[':
		out = append(out, '[')
		err := j.array(func(int) (err error) {
			out, err = j.appendCanonical(out, depth+1)
			out = append(out, ',')
			return err
		})
		return append(out, ']'), err
	case '"':
		s, err := j.string()
		return appendQuoted(out, s), err
	case 't', 'f', 'n':
		start := j.offset
		_, err := j.value(depth)
		return append(out, j.text[start:j.offset]...), err
	}
	start := j.offset
	_, err := j.number()
	return appendCanonicalNumber(out, string(j.text[start:j.offset])), err
}

// appendCanonicalObject reads an object and appends it with its members sorted by name.
func (j *jsonReader) appendCanonicalObject(out []byte, depth int) ([]byte, error) {
	type member struct {
		name  string
		value []byte
	}
	var members []member
	err := j.object(func(name string) error {
		value, err := j.appendCanonical(nil, depth+1)
		if depth > 0 || name != "generation" {
			members = append(members, member{name, value})
		}
		return err
	})
	slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.name, b.name) })
	out = append(out, '{')
	for _, m := range members {
		out = append(appendQuoted(out, m.name), ':')
		out = append(append(out, m.value...), ',')
	}
	return append(out, '}'), err
}

// appendCanonicalNumber appends a number as an integer without trailing zeros and a power of ten. Unlike a binary
// fraction, this form loses no precision, so two numbers have the same form only if they are equal.
func appendCanonicalNumber(out []byte, number string) []byte {
	digits, exponent := number, 0
	if e := strings.IndexAny(number, "eE"); e >= 0 {
		parsed, err := strconv.ParseInt(number[e+1:], 10, 32)
		if err != nil {
			return append(out, number...) // the exponent exceeds 32 bits: the number stays as spelled
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
