package jsontext

import (
	"errors"
	"io"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// Raw is a value that is not decoded.
type Raw = jsoniter.RawMessage

var api = jsoniter.ConfigCompatibleWithStandardLibrary

// Decode reads a value. Its errors are one line: the decoder's quote what it read, line ends included.
func Decode(raw []byte, v any) error {
	if err := api.Unmarshal(raw, v); err != nil {
		return errors.New(strings.Join(strings.Fields(err.Error()), " "))
	}
	return nil
}

// Encode writes a value.
func Encode(v any) ([]byte, error) { return api.Marshal(v) }

// NewEncoder returns an encoder that writes each value on a line of its own.
func NewEncoder(w io.Writer) *jsoniter.Encoder { return api.NewEncoder(w) }
