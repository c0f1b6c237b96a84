package counterserver

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

const (
	maxArgs     = 8   // arguments of one call; bounds the memory that a caller can make the server allocate
	maxArgBytes = 256 // bytes of one argument; bounds the memory of a call, too
	lineEnd     = "\r\n"
)

// bulk returns a text as a bulk string of RESP2.
func bulk(text string) string { return "$" + strconv.Itoa(len(text)) + lineEnd + text + lineEnd }

// readCall reads the arguments of a call, which is an array of bulk strings or a line of words (an inline command).
func readCall(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "*") {
		if words := strings.Fields(line); len(words) > 0 && len(words) <= maxArgs {
			return words, nil
		}
		return nil, errProtocol
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 1 || n > maxArgs {
		return nil, errProtocol
	}
	args := make([]string, n)
	for i := range args {
		if args[i], err = readBulk(r); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// readBulk reads one bulk string.
func readBulk(r *bufio.Reader) (string, error) {
	line, err := readLine(r)
	if err != nil {
		return "", err
	}
	size, err := strconv.Atoi(strings.TrimPrefix(line, "$"))
	if err != nil || !strings.HasPrefix(line, "$") || size < 0 || size > maxArgBytes {
		return "", errProtocol
	}
	b := make([]byte, size+len(lineEnd))
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	if string(b[size:]) != lineEnd {
		return "", errProtocol
	}
	return string(b[:size]), nil
}

// readLine reads a line without its end. A line longer than the buffer is an error.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", errProtocol
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), lineEnd), nil
}
