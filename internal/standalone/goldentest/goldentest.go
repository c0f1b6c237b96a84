package goldentest

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Read returns the content of a file in the calling package's testdata folder. A file whose name ends in .gz is
// decompressed.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(name, ".gz") {
		return data
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if data, err = io.ReadAll(reader); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return data
}

// Fill sets each field of the struct that v points to, in the order of declaration, to a value that no other
// field has, except that each bool is set to true. next numbers the values and is continued by later calls.
// The golden files hold values that were set this way, so that a test doesn't depend on the names of fields
// and fails if two of them are swapped in the encoding.
func Fill(v any, next *int64) { fill(reflect.ValueOf(v).Elem(), next) }

func fill(v reflect.Value, next *int64) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
		return
	case reflect.Slice:
		const length = 2
		v.Set(reflect.MakeSlice(v.Type(), length, length))
		for i := range length {
			fill(v.Index(i), next)
		}
		return
	case reflect.Bool:
		v.SetBool(true)
		return
	}
	*next++
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d <&>", *next))
	case reflect.Int, reflect.Int64:
		v.SetInt(*next)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.125)
	default:
		panic(fmt.Sprintf("goldentest: no value for a %v", v.Kind()))
	}
}
