package jsontext

import (
	"strings"
	"testing"
)

func TestDecodeErrorsAreOneLine(t *testing.T) {
	var v struct{ Number int }
	err := Decode([]byte("{\n\"Number\":\n\n\"one\"\n}"), &v)
	if err == nil || strings.ContainsAny(err.Error(), "\n\r\t") {
		t.Errorf("Decode() = %q, want an error of one line", err)
	}
}

func TestEncoderWritesALineForEachValue(t *testing.T) {
	var b strings.Builder
	encoder := NewEncoder(&b)
	for _, v := range []any{map[string]int{"b": 1, "a": 2}, []string{"x"}} {
		if err := encoder.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := b.String(), "{\"a\":2,\"b\":1}\n[\"x\"]\n"; got != want {
		t.Errorf("encoded %q, want %q", got, want)
	}
}
