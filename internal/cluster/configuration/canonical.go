package configuration

import (
	"bytes"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/mutants"
)

// Two bodies say the same where they are one JSON value (RFC 8259): the order of members, space, the spelling of
// numbers and strings are the sender's. An operator's client may well write an order anew before it sends it again.
// The generation at the top is left out: it is the item's version, and has spellings of its own.

// canonicalBody is a body in the one form that all its spellings share; what cannot be read is its own.
func canonicalBody(body []byte) []byte {
	t := jsonReader{b: body}
	out, err := t.canonical(make([]byte, 0, len(body)), 0)
	if err != nil || t.end() != nil {
		return body
	}
	return out
}

// digest stands for what an item says, in a few bytes.
func (i Item) digest() uint64 {
	h := fnv.New64a()
	if i.Deleted {
		h.Write([]byte{0})
	} else {
		h.Write(canonicalBody(i.Body))
	}
	return h.Sum64()
}

// equalBodies tells whether two bodies are one value.
func equalBodies(a, b []byte) bool {
	return bytes.Equal(a, b) || bytes.Equal(canonicalBody(a), canonicalBody(b)) && !mutants.On("configuration/byte-for-byte")
}

func (t *jsonReader) canonical(out []byte, depth int) ([]byte, error) {
	if depth > maxDepth {
		return nil, t.wrong("too deep")
	}
	switch c := t.next(); c {
	case '{':
		type member struct {
			name string
			body []byte
		}
		var members []member
		err := t.object(func(name string) error {
			body, err := t.canonical(nil, depth+1)
			if depth > 0 || name != "generation" {
				members = append(members, member{name, body})
			}
			return err
		})
		slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.name, b.name) })
		out = append(out, '{')
		for _, m := range members {
			out = append(append(append(quoted(out, m.name), ':'), m.body...), ',')
		}
		return append(out, '}'), err
	case '[':
		out = append(out, '[')
		err := t.array(func(int) (err error) {
			out, err = t.canonical(out, depth+1)
			out = append(out, ',')
			return err
		})
		return append(out, ']'), err
	case '"':
		s, err := t.str()
		return quoted(out, s), err
	case 't', 'f', 'n':
		from := t.at
		_, err := t.value(depth)
		return append(out, t.b[from:t.at]...), err
	}
	from := t.at
	_, err := t.number()
	return decimal(out, string(t.b[from:t.at])), err
}

// decimal writes a number as whole digits, without a zero at their end, and the power of ten that goes with them. It
// loses nothing, as binary fractions would: two numbers are written alike only if they are equal.
func decimal(out []byte, number string) []byte {
	digits, power := number, 0
	if e := strings.IndexAny(number, "eE"); e >= 0 {
		p, err := strconv.ParseInt(number[e+1:], 10, 32)
		if err != nil {
			return append(out, number...) // nobody means that
		}
		digits, power = number[:e], int(p)
	}
	digits, minus := strings.CutPrefix(digits, "-")
	whole, part, _ := strings.Cut(digits, ".")
	digits, power = strings.TrimLeft(whole+part, "0"), power-len(part)
	short := strings.TrimRight(digits, "0")
	if power += len(digits) - len(short); short == "" {
		return append(out, '0')
	}
	if minus {
		out = append(out, '-')
	}
	return strconv.AppendInt(append(append(out, short...), 'e'), int64(power), 10)
}
