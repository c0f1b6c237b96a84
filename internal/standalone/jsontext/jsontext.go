package jsontext

import (
	"errors"
	"io"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// Raw is a JSON value that is kept as text instead of being decoded.
type Raw = jsoniter.RawMessage

var api = jsoniter.ConfigCompatibleWithStandardLibrary

// Decode reads a value. The text of its errors is a single line. The decoder's own errors quote the input, including
// its line breaks, so white space is collapsed.
func Decode(raw []byte, v any) error {
	if err := api.Unmarshal(raw, v); err != nil {
		return errors.New(strings.Join(strings.Fields(err.Error()), " "))
	}
	return nil
}

// Encode writes a value.
func Encode(v any) ([]byte, error) { return api.Marshal(v) }

// NewEncoder returns an encoder that writes each value on a separate line.
func NewEncoder(w io.Writer) *jsoniter.Encoder { return api.NewEncoder(w) }
