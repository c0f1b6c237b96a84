package goldentest

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// CheckEncoding compares a value with a file in the calling package's testdata folder. Encoding the value must give
// the file's bytes, and decoding these must give the value.
func CheckEncoding(
	t *testing.T,
	name string,
	value any,
	encode func(any) ([]byte, error),
	decode func([]byte, any) error,
) {
	t.Helper()
	golden := Read(t, name)
	encoded, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encoded %q, want %q", encoded, golden)
	}
	decoded := reflect.New(reflect.TypeOf(value))
	if err := decode(golden, decoded.Interface()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(value, decoded.Elem().Interface()); diff != "" {
		t.Errorf("decoded (-want +got):\n%s", diff)
	}
}
