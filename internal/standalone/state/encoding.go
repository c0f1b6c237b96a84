package state

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"mulleinrouter/internal/standalone/jsontext"
)

// A file consists of a header line and the content as JSON. The header has four fields: magic, version, checksum of the
// content (CRC-32C in hexadecimal), and the quoted name of the ingress.
const (
	magic        = "mulleinrouter-state"
	version      = 1
	headerFields = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(content []byte) string {
	return fmt.Sprintf("%08x", crc32.Checksum(content, castagnoli))
}

// encode returns a file with v as its content.
func encode(ingress string, v any) ([]byte, error) {
	content, err := jsontext.Encode(v)
	if err != nil {
		return nil, err
	}
	header := fmt.Sprintf("%s %d %s %s\n", magic, version, checksum(content), ingress)
	return append([]byte(header), content...), nil
}

// decode reads a file's content into v.
func decode(file []byte, ingress string, v any) error {
	header, content, complete := bytes.Cut(file, []byte("\n"))
	fields := strings.SplitN(string(header), " ", headerFields)
	if !complete || len(fields) != headerFields || fields[0] != magic {
		return fmt.Errorf("%w: no header", ErrDamaged)
	}
	if fields[1] != strconv.Itoa(version) {
		return fmt.Errorf("%w: %.20s", ErrVersion, fields[1])
	}
	if fields[2] != checksum(content) {
		return fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	if fields[3] != ingress {
		return fmt.Errorf("%w: %.80s", ErrOtherIngress, fields[3])
	}
	if err := jsontext.Decode(content, v); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}
