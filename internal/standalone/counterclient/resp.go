package counterclient

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"mulleinrouter/internal/decision"
)

const (
	maxTotalBytes         = 64 // bytes of a total's text; a longer bulk string is an error
	millisecondsPerSecond = 1000
)

// ping is the request that keeps an idle connection open.
const ping = "*1\r\n$4\r\nPING\r\n"

// reply is one reply of the counter.
type reply struct {
	pong    bool // a reply to a ping, not to a call
	outcome decision.Outcome
	total   float64 // 0 unless the call succeeded
}

// readReply reads one reply: a bulk string or an integer with the total, or a status line with another outcome of the
// call. A bulk string or an integer without a valid number is an error, because its total is unknown rather than 0.
func readReply(r *bufio.Reader) (reply, error) {
	line, err := readLine(r)
	if err != nil {
		return reply{}, err
	}
	switch {
	case line == "+PONG":
		return reply{pong: true}, nil
	case strings.HasPrefix(line, "-BUSY"):
		return reply{outcome: decision.Rejected}, nil
	case strings.HasPrefix(line, "-"):
		return reply{outcome: decision.Failed}, nil
	case strings.HasPrefix(line, "$"):
		number, err := readBulk(r, line)
		if err != nil {
			return reply{}, err
		}
		return parseTotal(number)
	case strings.HasPrefix(line, ":"):
		return parseTotal(line[1:])
	default:
		return reply{}, fmt.Errorf("%w: %.20q", errProtocol, line)
	}
}

// readBulk reads the rest of a bulk string, after its header line.
func readBulk(r *bufio.Reader, header string) (string, error) {
	length, err := strconv.Atoi(header[1:])
	if err != nil || length < 1 || length > maxTotalBytes {
		return "", fmt.Errorf("%w: %.20q", errProtocol, header) // without a length, the next reply's start is unknown
	}
	text, err := readLine(r)
	if err != nil {
		return "", err
	}
	if len(text) != length {
		return "", fmt.Errorf("%w: length %d of %.20q", errProtocol, length, text)
	}
	return text, nil
}

// parseTotal returns the reply to a call that succeeded. Infinities and NaN are errors, although strconv accepts them.
func parseTotal(number string) (reply, error) {
	total, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.Trim(number, "0123456789.eE+-") != "" {
		return reply{}, fmt.Errorf("%w: %.20q", errProtocol, number)
	}
	return reply{outcome: decision.Succeeded, total: total}, nil
}

// readLine reads a line without its end. A line longer than the buffer is an error, because it may never end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: line without end", errProtocol)
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// appendAdd appends the request that adds an amount to a name. The counter keeps a new name for keep seconds.
func appendAdd(b []byte, name string, amount float64, keep decision.Seconds) []byte {
	b = append(b, "*4\r\n$7\r\nCNT.ADD\r\n"...)
	b = appendBulk(b, name)
	b = appendBulk(b, strconv.FormatFloat(amount, 'f', -1, 64))
	return appendBulk(b, strconv.FormatInt(max(1, int64(keep*millisecondsPerSecond)), 10))
}

func appendBulk(b []byte, s string) []byte {
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(s)), 10)
	b = append(b, "\r\n"...)
	b = append(b, s...)
	return append(b, "\r\n"...)
}
