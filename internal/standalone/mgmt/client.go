package mgmt

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

const maxAnswerBytes = 4 << 20 // bytes of one line of an answer; a longer line is an error, which bounds its memory

// Call makes one call at a management address and returns the lines after ACK. The timeout applies to the dial, and
// again to the call. The error is ErrRejected or one of the connection.
func Call(addr, call string, timeout time.Duration) (lines []string, err error) {
	conn, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, call+"\n"); err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(nil, maxAnswerBytes)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	if len(lines) == 0 || lines[0] != ack {
		return nil, fmt.Errorf("mgmt: %s: %w", call, ErrRejected)
	}
	return lines[1:], nil
}
